#include "cicadaloft/admission/service_rate.h"

#include <cmath>

namespace cicadaloft {
namespace {

constexpr Duration kBucket = std::chrono::milliseconds(250);

std::int64_t IndexOf(TimePoint time) {
  return time.time_since_epoch() / kBucket;
}

/// @return the highest mean of a Poisson distribution that yields `count` or
/// less with a probability of about 1 in 20.
double MaxMean(double count) {
  return count + 2 * std::sqrt(count) + 3;
}

}  // namespace

void ServiceRate::OnServed(TimePoint now) {
  const std::int64_t index = IndexOf(now);
  if (this->buckets.empty() || this->buckets.back().index != index) {
    this->buckets.push_back(Bucket{.index = index});
  }
  ++this->buckets.back().count;
  while (this->buckets.front().index < index - kMaxPeriod / kBucket) {
    this->buckets.pop_front();
  }
}

std::optional<double> ServiceRate::CountIn(Duration period,
                                           TimePoint now) const {
  if (period > kMaxPeriod || period <= Duration::zero() ||
      this->waiting_since > now - period) {
    return std::nullopt;
  }
  const std::int64_t first = IndexOf(now - period);
  double count = 0;
  for (const Bucket& bucket : this->buckets) {
    count += bucket.index >= first ? bucket.count : 0;
  }
  return count;
}

std::optional<Duration> ServiceRate::MinTimeFor(std::size_t count,
                                                Duration period,
                                                TimePoint now) const {
  const std::optional<double> served = this->CountIn(period, now);
  if (!served) {
    return std::nullopt;
  }
  const double per_period = MaxMean(*served);
  return ToDuration(period * (static_cast<double>(count) / per_period));
}

}  // namespace cicadaloft
