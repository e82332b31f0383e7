#include "store_load_monitor.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>

namespace cicadaloft {
namespace {

/// A load is late if it takes longer than this multiple of the stated time, and
/// the time until its end shows in the registry.
constexpr double kLateFactor = 1.25;
constexpr Duration kRegistryDelay = std::chrono::seconds(1);
/// The end of a load that takes longer than this multiple was missed.
constexpr int kLostFactor = 5;

/// A load that runs alone is late for another reason.
constexpr double kMinConcurrent = 1.5;

/// One more load at once is tried this long after the last change and the last
/// late load. If it is one too many, the
/// loads of one try take half as long again.
constexpr Duration kRaiseInterval = std::chrono::minutes(2);

}  // namespace

Duration StoreLoadMonitor::LateAfter(const Load& load) {
  return ToDuration(load.stated * kLateFactor) + kRegistryDelay;
}

std::uint32_t StoreLoadMonitor::OverdueCount(TimePoint now) const {
  const bool is_limited = this->current_limit < kMaxLimit;
  return static_cast<std::uint32_t>(
      std::ranges::count_if(this->loads, [&](const auto& entry) {
        const Load& load = entry.second;
        return now - load.started_at >
               (is_limited ? load.stated : LateAfter(load));
      }));
}

void StoreLoadMonitor::OnStarted(const TargetId& target,
                                 const ModelPath& path,
                                 Duration stated,
                                 TimePoint now) {
  this->loads[target] = Load{.path = path, .started_at = now, .stated = stated};
}

std::optional<ModelPath> StoreLoadMonitor::RunningOn(
    const TargetId& target) const {
  const auto found = this->loads.find(target);
  return found == this->loads.end() ? std::nullopt
                                    : std::optional(found->second.path);
}

std::vector<TargetId> StoreLoadMonitor::Targets() const {
  const auto keys = this->loads | std::views::keys;
  return {keys.begin(), keys.end()};
}

void StoreLoadMonitor::Tick(TimePoint now) {
  std::erase_if(this->loads, [&](const auto& entry) {
    const Load& load = entry.second;
    return now - load.started_at > load.stated * kLostFactor + kRegistryDelay;
  });
  for (Load& load : this->loads | std::views::values) {
    ++load.samples;
    load.concurrent_sum += static_cast<double>(this->loads.size());
  }
  if (this->current_limit < kMaxLimit &&
      now - this->changed_at >= kRaiseInterval) {
    ++this->current_limit;
    this->changed_at = now;
  }
}

StoreLoadMonitor::Measurement StoreLoadMonitor::OnLoaded(const TargetId& target,
                                                         TimePoint now) {
  const Load load = this->loads.extract(target).mapped();
  Measurement measurement{
      .took = now - load.started_at,
      .stated = load.stated,
      .concurrent =
          load.samples == 0 ? 1.0 : load.concurrent_sum / load.samples,
      .is_late = now - load.started_at > LateAfter(load)};
  this->Adapt(measurement, now);
  measurement.limit = this->current_limit;
  return measurement;
}

// Two late loads in a row: one alone may be due to its target.
void StoreLoadMonitor::Adapt(const Measurement& measurement, TimePoint now) {
  if (!measurement.is_late || measurement.concurrent < kMinConcurrent) {
    this->last_late_capacity.reset();
    return;
  }
  this->changed_at = now;
  const std::chrono::duration<double> took = measurement.took;
  const std::chrono::duration<double> stated = measurement.stated;
  const double capacity = measurement.concurrent * (stated / took);
  if (this->last_late_capacity) {
    const double higher = std::max(capacity, *this->last_late_capacity);
    const auto limit = static_cast<std::uint32_t>(
        std::max(1.0, std::min(static_cast<double>(this->current_limit),
                               std::round(higher))));
    this->current_limit = limit;
  }
  this->last_late_capacity = capacity;
}

}  // namespace cicadaloft
