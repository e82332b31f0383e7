#ifndef CICADALOFT_CORE_TIME_H_
#define CICADALOFT_CORE_TIME_H_

#include <chrono>

namespace cicadaloft {

using Duration = std::chrono::microseconds;

/// The clock of decisions. It has no now(): the time comes in with each event,
/// from BootClock in a host and from the test itself in tests.
struct NodeClock {};

using TimePoint = std::chrono::time_point<NodeClock, Duration>;

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_TIME_H_
