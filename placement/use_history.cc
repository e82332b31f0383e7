#include "cicadaloft/placement/use_history.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>

namespace cicadaloft {
namespace {

/// Uses closer together than this are one.
constexpr Duration kSameUse = std::chrono::seconds(5);
constexpr std::size_t kKeptGaps = 8;
/// A regular model has this many gaps, each this near to their mean.
constexpr std::size_t kMinGaps = 3;
constexpr double kMaxSpread = 0.25;

Duration MeanOf(const std::deque<Duration>& gaps) {
  return std::accumulate(gaps.begin(), gaps.end(), Duration{}) /
         static_cast<std::int64_t>(gaps.size());
}

bool IsRegular(const std::deque<Duration>& gaps) {
  if (gaps.size() < kMinGaps) {
    return false;
  }
  const auto [shortest, longest] = std::ranges::minmax(gaps);
  const auto mean = static_cast<double>(MeanOf(gaps).count());
  return static_cast<double>((longest - shortest).count()) <= kMaxSpread * mean;
}

}  // namespace

void UseHistory::Note(const ModelId& model, TimePoint now) {
  const auto [found, is_new] =
      this->models.try_emplace(model, Uses{.last = now, .gaps = {}});
  Uses& uses = found->second;
  const Duration gap = now - uses.last;
  uses.last = now;
  if (is_new || gap < kSameUse) {
    return;
  }
  uses.gaps.push_back(gap);
  if (uses.gaps.size() > kKeptGaps) {
    uses.gaps.pop_front();
  }
}

std::optional<Duration> UseHistory::IdleTime(const ModelId& model,
                                             TimePoint now) const {
  const auto found = this->models.find(model);
  return found == this->models.end()
             ? std::nullopt
             : std::optional<Duration>(now - found->second.last);
}

double UseHistory::ChanceWanted(const ModelId& model,
                                Duration horizon,
                                TimePoint now) const {
  const auto found = this->models.find(model);
  if (found == this->models.end()) {
    return 0;
  }
  const Duration idle = now - found->second.last;
  const auto& gaps = found->second.gaps;
  const auto longer =
      std::ranges::count_if(gaps, [&](Duration gap) { return gap > idle; });
  const auto due = std::ranges::count_if(
      gaps, [&](Duration gap) { return gap > idle && gap <= idle + horizon; });
  // Without gaps to go by, what was used last is wanted first.
  const double prior = static_cast<double>(horizon.count()) /
                       static_cast<double>((horizon + idle).count());
  return (static_cast<double>(due) + prior) / static_cast<double>(longer + 1);
}

std::optional<TimePoint> UseHistory::ExpectedUse(const ModelId& model) const {
  const auto found = this->models.find(model);
  if (found == this->models.end() || !IsRegular(found->second.gaps)) {
    return std::nullopt;
  }
  return found->second.last + MeanOf(found->second.gaps);
}

std::vector<ModelId> UseHistory::RegularModels() const {
  std::vector<ModelId> regular;
  std::ranges::for_each(this->models, [&](const auto& entry) {
    if (IsRegular(entry.second.gaps)) {
      regular.push_back(entry.first);
    }
  });
  return regular;
}

}  // namespace cicadaloft
