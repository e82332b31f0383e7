#include "cicadaloft/placement/usage_history.h"

#include <algorithm>
#include <chrono>
#include <numbers>

#include "cicadaloft/core/half_life.h"

namespace cicadaloft {
namespace {

double Fade(TimePoint from, TimePoint now) {
  return DecayFactor(now - from, UsageHistory::kHalfLife);
}

}  // namespace

void UsageHistory::Add(const ModelUsageReport& report, TimePoint now) {
  std::map<ModelPath, ModelUsage> sums;
  const auto add = [&](const ModelPath& path, const ModelUsage& use) {
    ModelUsage& sum = sums[path];
    sum.path = path;
    sum.arrivals += use.arrivals;
    sum.running += use.running;
    sum.interactive += use.interactive;
  };
  for (const ModelUsage& use : report.usages) {
    add(use.path, use);
    if (use.path.IsAdapter()) {
      add(use.path.Base(), use);
    }
  }
  HostReport& last = this->reports[report.host];
  this->Forget(last);
  last = HostReport{.at = now, .running = {}};
  for (const auto& [path, sum] : sums) {
    this->Count(report, sum, now);
    if (sum.running > 0) {
      last.running.emplace(path, sum.running);
    }
  }
}

void UsageHistory::Count(const ModelUsageReport& report,
                         const ModelUsage& sum,
                         TimePoint now) {
  Use& known = this->uses[sum.path];
  const double fade = Fade(known.counted_at, now);
  known.weight = known.weight * fade + sum.arrivals;
  known.urgent = known.urgent * fade + sum.interactive;
  known.counted_at = now;
  known.running += sum.running;
  if (sum.arrivals > 0 || sum.running > 0) {
    known.last_use = now;
    known.users[report.host] = now;
  }
}

void UsageHistory::Forget(const HostReport& report) {
  for (const auto& [path, running] : report.running) {
    this->uses[path].running -= running;
  }
}

void UsageHistory::DropExpired(TimePoint now) {
  std::erase_if(this->reports, [&](const auto& entry) {
    const bool is_silent = now - entry.second.at >= kReportTtl;
    if (is_silent) {
      this->Forget(entry.second);
    }
    return is_silent;
  });
}

double UsageHistory::RequestRate(const ModelPath& path, TimePoint now) const {
  const auto found = this->uses.find(path);
  if (found == this->uses.end()) {
    return 0;
  }
  const std::chrono::duration<double> half = kHalfLife;
  return found->second.weight * Fade(found->second.counted_at, now) *
         std::numbers::ln2 / half.count();
}

double UsageHistory::UrgentFraction(const ModelPath& path) const {
  const auto found = this->uses.find(path);
  if (found == this->uses.end() || found->second.weight <= 0) {
    return 0;
  }
  return std::min(1.0, found->second.urgent / found->second.weight);
}

std::uint32_t UsageHistory::RunningCount(const ModelPath& path) const {
  const auto found = this->uses.find(path);
  return found == this->uses.end() ? 0 : found->second.running;
}

std::set<HostId> UsageHistory::HostsUsing(const ModelPath& path,
                                          TimePoint now) const {
  std::set<HostId> users;
  const auto found = this->uses.find(path);
  if (found == this->uses.end()) {
    return users;
  }
  for (const auto& [host, last_use] : found->second.users) {
    if (now - last_use < kReportTtl) {
      users.insert(host);
    }
  }
  return users;
}

TimePoint UsageHistory::LastUse(const ModelPath& path) const {
  const auto found = this->uses.find(path);
  return found == this->uses.end() ? TimePoint{} : found->second.last_use;
}

void UsageHistory::RecordRequest(const ModelPath& path, TimePoint now) {
  this->uses[path].last_use = now;
  this->uses[path.Base()].last_use = now;
}

}  // namespace cicadaloft
