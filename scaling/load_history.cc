#include "load_history.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <numeric>
#include <ranges>
#include <vector>

#include "cicadaloft/core/half_life.h"

namespace cicadaloft {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
/// Seconds whose mean is the peak: a pile-up of one second, as when a data
/// centre is lost, does not decide alone.
constexpr std::size_t kPeakSeconds = 3;

/// Arrivals and started attempts of this age count half.
constexpr Duration kHalfLife = std::chrono::seconds(4);
/// Fewer attempts say nothing about how many requests find no target.
constexpr double kMinStarts = 20;
/// Callers retry what is refused, so a higher ratio of arrivals to attempts
/// overstates the demand.
constexpr double kMaxUnservedRatio = 2;

}  // namespace

void LoadHistory::Add(const HostId& host,
                      const ServiceLoad& load,
                      TimePoint now) {
  const double decay = DecayFactor(now - this->weights_at, kHalfLife);
  this->weights_at = now;
  this->arrival_weight = this->arrival_weight * decay + load.arrivals;
  this->start_weight = this->start_weight * decay + load.started;
  HostLoad& entry = this->hosts[host];
  entry = HostLoad{.received_at = now,
                   .waiting = static_cast<double>(load.waiting),
                   .running = {}};
  for (const DataCentreLoad& part : load.running) {
    entry.running[part.data_centre] += part.running;
  }
}

void LoadHistory::Sample(TimePoint now) {
  std::erase_if(this->hosts, [&](const auto& entry) {
    return now - entry.second.received_at >= kReportTtl;
  });
  if (this->seconds.empty() || now - this->seconds.back().began_at >= kSecond) {
    this->seconds.push_back(Second{.began_at = now, .running = {}});
  }
  while (now - this->seconds.front().began_at >= kPeakWindow) {
    this->seconds.pop_front();
  }
  Second& second = this->seconds.back();
  ++second.samples;
  second.load += this->Load();
  for (const HostLoad& host : this->hosts | std::views::values) {
    for (const auto& [data_centre, running] : host.running) {
      second.running[data_centre] += running;
    }
  }
}

// What runs and waits; or, where requests are refused before they wait, what
// would run if as many attempts began as requests arrive.
double LoadHistory::Load() const {
  double running = 0;
  double waiting = 0;
  for (const HostLoad& host : this->hosts | std::views::values) {
    waiting += host.waiting;
    running += std::accumulate(
        host.running.begin(), host.running.end(), 0.0,
        [](double sum, const auto& entry) { return sum + entry.second; });
  }
  const double ratio =
      this->start_weight < kMinStarts
          ? 1
          : std::min(kMaxUnservedRatio,
                     this->arrival_weight / this->start_weight);
  return std::max(running + waiting, running * ratio);
}

template <typename Value>
double LoadHistory::MeanOfHighest(Value value) const {
  std::vector<double> means;
  means.reserve(this->seconds.size());
  std::ranges::transform(
      this->seconds, std::back_inserter(means),
      [&](const Second& second) { return value(second) / second.samples; });
  const std::size_t count = std::min(kPeakSeconds, means.size());
  if (count == 0) {
    return 0;
  }
  const auto end = means.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::partial_sort(means, end, std::greater<>());
  return std::accumulate(means.begin(), end, 0.0) / static_cast<double>(count);
}

double LoadHistory::Peak() const {
  return this->MeanOfHighest([](const Second& second) { return second.load; });
}

double LoadHistory::PeakIn(const DataCentreId& data_centre) const {
  return this->MeanOfHighest([&](const Second& second) {
    const auto found = second.running.find(data_centre);
    return found == second.running.end() ? 0.0 : found->second;
  });
}

}  // namespace cicadaloft
