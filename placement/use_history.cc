#include "cicadaloft/placement/use_history.h"

#include <algorithm>
#include <chrono>
#include <numbers>

#include "cicadaloft/core/half_life.h"

namespace cicadaloft {
namespace {

/// A host that has not reported for so long runs nothing that counts.
constexpr Duration kRunningTerm = std::chrono::seconds(3);

double Fade(TimePoint from, TimePoint now) {
  return FadeFactor(now - from, UseHistory::kHalfLife);
}

}  // namespace

void UseHistory::Add(const UseReported& report, TimePoint now) {
  std::map<ModelPath, ModelUse> sums;
  const auto count = [&](const ModelPath& path, const ModelUse& use) {
    ModelUse& sum = sums[path];
    sum.arrivals += use.arrivals;
    sum.running += use.running;
    sum.urgent += use.urgent;
  };
  for (const ModelUse& use : report.uses) {
    count(use.path, use);
    if (use.path.IsAdapter()) {
      count(use.path.Base(), use);
    }
  }
  for (const auto& [path, use] : sums) {
    Use& known = this->uses[path];
    const double fade = Fade(known.counted_at, now);
    known.weight = known.weight * fade + use.arrivals;
    known.urgent = known.urgent * fade + use.urgent;
    known.counted_at = now;
    if (use.arrivals > 0 || use.running > 0) {
      known.last_use = now;
    }
    known.running[report.host] = {now, use.running};
  }
}

double UseHistory::Rate(const ModelPath& path, TimePoint now) const {
  const auto found = this->uses.find(path);
  if (found == this->uses.end()) {
    return 0;
  }
  const std::chrono::duration<double> half = kHalfLife;
  return found->second.weight * Fade(found->second.counted_at, now) *
         std::numbers::ln2 / half.count();
}

double UseHistory::UrgentPart(const ModelPath& path) const {
  const auto found = this->uses.find(path);
  if (found == this->uses.end() || found->second.weight <= 0) {
    return 0;
  }
  return std::min(1.0, found->second.urgent / found->second.weight);
}

std::uint32_t UseHistory::Running(const ModelPath& path, TimePoint now) const {
  const auto found = this->uses.find(path);
  if (found == this->uses.end()) {
    return 0;
  }
  std::uint32_t running = 0;
  for (const auto& [host, report] : found->second.running) {
    running += now - report.first < kRunningTerm ? report.second : 0;
  }
  return running;
}

TimePoint UseHistory::LastUse(const ModelPath& path) const {
  const auto found = this->uses.find(path);
  return found == this->uses.end() ? TimePoint{} : found->second.last_use;
}

void UseHistory::Touch(const ModelPath& path, TimePoint now) {
  this->uses[path].last_use = now;
  this->uses[path.Base()].last_use = now;
}

}  // namespace cicadaloft
