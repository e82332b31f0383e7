#ifndef CICADALOFT_DAEMONS_STEWARD_BOOT_CLOCK_H_
#define CICADALOFT_DAEMONS_STEWARD_BOOT_CLOCK_H_

#include <chrono>
#include <ctime>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// @return the time since the host's start, which also goes on while the host
/// or the process is suspended.
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace cicadaloft

#endif  // CICADALOFT_DAEMONS_STEWARD_BOOT_CLOCK_H_
