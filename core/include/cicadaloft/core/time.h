#ifndef CICADALOFT_CORE_TIME_H_
#define CICADALOFT_CORE_TIME_H_

#include <algorithm>
#include <chrono>

namespace cicadaloft {

using Duration = std::chrono::microseconds;

/// The clock of decisions. It has no now(): each event comes with its time,
/// which is from BootClock in a host and from the test itself in tests.
struct EventClock {};

using TimePoint = std::chrono::time_point<EventClock, Duration>;

/// Longer times in external input are not meaningful; sums of times up to this
/// don't overflow.
inline constexpr std::chrono::duration<double> kMaxTime =
    std::chrono::hours(24 * 365);

/// @param time finite, of any magnitude.
/// @return the time, clamped to kMaxTime in both directions.
inline Duration ToDuration(std::chrono::duration<double> time) {
  return std::chrono::duration_cast<Duration>(
      std::clamp(time, -kMaxTime, kMaxTime));
}

/// @param count seconds; finite.
inline Duration FromSeconds(double count) {
  return ToDuration(std::chrono::duration<double>(count));
}

/// @param count milliseconds; finite.
inline Duration FromMilliseconds(double count) {
  return ToDuration(std::chrono::duration<double, std::milli>(count));
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_TIME_H_
