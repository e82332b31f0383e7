#ifndef CICADALOFT_ADMISSION_RECENT_MAXIMUM_H_
#define CICADALOFT_ADMISSION_RECENT_MAXIMUM_H_

#include <algorithm>
#include <chrono>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// The longest of the durations of the last one or two minutes.
class RecentMaximum {
 public:
  /// @return the longest duration, including this one.
  Duration Add(Duration value, TimePoint now) {
    if (now - this->period_start >= kPeriod) {
      // After a long pause, both periods are over.
      const bool is_recent = now - this->period_start < 2 * kPeriod;
      this->previous = is_recent ? this->current : Duration::zero();
      this->current = Duration::zero();
      this->period_start = now;
    }
    this->current = std::max(this->current, value);
    return std::max(this->current, this->previous);
  }

 private:
  static constexpr Duration kPeriod = std::chrono::minutes(1);

  TimePoint period_start{};
  Duration current{};
  Duration previous{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_RECENT_MAXIMUM_H_
