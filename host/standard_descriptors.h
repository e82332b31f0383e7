#ifndef CICADALOFT_HOST_STANDARD_DESCRIPTORS_H_
#define CICADALOFT_HOST_STANDARD_DESCRIPTORS_H_

namespace cicadaloft {

/// Opens /dev/null for each of the descriptors 0 to 2 that is closed. Otherwise
/// the system gives their numbers to sockets, and log lines are written into
/// the connection of a caller. Call it before the process opens anything.
void OpenStandardDescriptors();

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_STANDARD_DESCRIPTORS_H_
