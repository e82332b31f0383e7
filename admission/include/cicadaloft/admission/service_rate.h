#ifndef CICADALOFT_ADMISSION_SERVICE_RATE_H_
#define CICADALOFT_ADMISSION_SERVICE_RATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// How often items of a line were served lately, while items waited in it or
/// before it. Begin a new one when none did.
class ServiceRate {
 public:
  /// Longest time over which a rate is known.
  static constexpr Duration kMaxPeriod = std::chrono::seconds(20);

  /// @param waiting_since when items began to wait.
  explicit ServiceRate(TimePoint waiting_since)
      : waiting_since(waiting_since) {}

  void OnServed(TimePoint now);

  /// @return how many were served in the last `period`; none if no item waited
  /// at its beginning, or if it is longer than kMaxPeriod.
  std::optional<double> CountIn(Duration period, TimePoint now) const;

  /// @return the shortest time in which `count` items are served, if the next
  /// while is like the last `period`: with the highest rate that would
  /// plausibly have led to what was served. None as for CountIn().
  std::optional<Duration> MinTimeFor(std::size_t count,
                                     Duration period,
                                     TimePoint now) const;

 private:
  struct Bucket {
    std::int64_t index = 0;
    std::uint32_t count = 0;
  };

  TimePoint waiting_since;
  std::deque<Bucket> buckets;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_SERVICE_RATE_H_
