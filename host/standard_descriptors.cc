#include "standard_descriptors.h"

#include <fcntl.h>
#include <unistd.h>

namespace cicadaloft {

// open() returns the lowest free number, so each open fills the lowest gap.
void OpenStandardDescriptors() {
  int opened = open("/dev/null", O_RDWR | O_CLOEXEC);
  while (opened >= 0 && opened <= STDERR_FILENO) {
    opened = open("/dev/null", O_RDWR | O_CLOEXEC);
  }
  if (opened >= 0) {
    close(opened);
  }
}

}  // namespace cicadaloft
