#ifndef CICADALOFT_USAGE_WALL_CLOCK_H_
#define CICADALOFT_USAGE_WALL_CLOCK_H_

#include <chrono>
#include <optional>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A larger difference between two clocks is not due to messages on their way.
inline constexpr Duration kMaxClockDifference = std::chrono::milliseconds(500);

/// The wall time of one host: what its clock shows, without sudden jumps, and
/// corrected if the clocks of most hosts show another time.
class WallClock {
 public:
  /// A jump is followed only after the clock has shown the new time for this
  /// long.
  static constexpr Duration kJumpDelay = std::chrono::seconds(20);

  /// @param since_1970 what the clock shows at `now`.
  void OnRead(Duration since_1970, TimePoint now);
  /// @param since_1970 what most hosts' clocks show at `now`.
  void OnCorrection(Duration since_1970, TimePoint now);

  bool IsKnown() const { return this->own_offset.has_value(); }
  /// @pre IsKnown().
  /// @return time since the start of 1970.
  Duration Time(TimePoint now) const;
  /// @pre IsKnown().
  /// @return the same without correction.
  Duration OwnTime(TimePoint now) const;

 private:
  struct Jump {
    Duration offset{};
    TimePoint since{};
  };

  /// Wall time minus the time of events.
  std::optional<Duration> own_offset;
  std::optional<Jump> jump;
  std::optional<Duration> corrected_offset;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_WALL_CLOCK_H_
