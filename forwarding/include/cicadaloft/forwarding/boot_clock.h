#ifndef CICADALOFT_FORWARDING_BOOT_CLOCK_H_
#define CICADALOFT_FORWARDING_BOOT_CLOCK_H_

#include <time.h>

#include <chrono>
#include <concepts>
#include <cstdint>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Source of time for the entry task.
template <typename C>
concept EntryClock = requires(const C& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
  { clock.UnixMilliseconds() } -> std::same_as<std::int64_t>;
};

/// Time since boot (CLOCK_BOOTTIME). It advances while the host is suspended,
/// so that a suspension is visible.
struct BootClock {
  TimePoint Now() const {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto since_boot = std::chrono::seconds(time.tv_sec) +
                            std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(since_boot));
  }

  /// @return the wall time, for display only.
  std::int64_t UnixMilliseconds() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_BOOT_CLOCK_H_
