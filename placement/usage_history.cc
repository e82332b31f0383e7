#include "cicadaloft/placement/usage_history.h"

#include <algorithm>
#include <chrono>
#include <numbers>

#include "cicadaloft/core/half_life.h"

namespace cicadaloft {
namespace {

double DecaySince(TimePoint from, TimePoint now) {
  return DecayFactor(now - from, UsageHistory::kHalfLife);
}

}  // namespace

void UsageHistory::Add(const ModelUsageReport& report, TimePoint now) {
  std::map<ModelPath, ModelUsage> totals;
  const auto add = [&](const ModelPath& path, const ModelUsage& usage) {
    ModelUsage& total = totals[path];
    total.path = path;
    total.arrivals += usage.arrivals;
    total.running += usage.running;
    total.interactive += usage.interactive;
  };
  for (const ModelUsage& usage : report.usages) {
    add(usage.path, usage);
    if (usage.path.IsAdapter()) {
      add(usage.path.Base(), usage);
    }
  }
  HostReport& last_report = this->reports[report.host];
  this->SubtractRunning(last_report);
  last_report = HostReport{.received_at = now, .running = {}};
  for (const auto& [path, total] : totals) {
    this->AddUsage(report, total, now);
    if (total.running > 0) {
      last_report.running.emplace(path, total.running);
    }
  }
}

void UsageHistory::AddUsage(const ModelUsageReport& report,
                            const ModelUsage& total,
                            TimePoint now) {
  Usage& usage = this->usages[total.path];
  const double decay = DecaySince(usage.updated_at, now);
  usage.request_weight = usage.request_weight * decay + total.arrivals;
  usage.interactive_weight =
      usage.interactive_weight * decay + total.interactive;
  usage.updated_at = now;
  usage.running += total.running;
  if (total.arrivals > 0 || total.running > 0) {
    usage.last_use = now;
    usage.hosts[report.host] = now;
  }
}

void UsageHistory::SubtractRunning(const HostReport& report) {
  for (const auto& [path, running] : report.running) {
    this->usages[path].running -= running;
  }
}

void UsageHistory::DropExpired(TimePoint now) {
  std::erase_if(this->reports, [&](const auto& entry) {
    const bool is_expired = now - entry.second.received_at >= kReportTtl;
    if (is_expired) {
      this->SubtractRunning(entry.second);
    }
    return is_expired;
  });
}

double UsageHistory::RequestRate(const ModelPath& path, TimePoint now) const {
  const auto found = this->usages.find(path);
  if (found == this->usages.end()) {
    return 0;
  }
  const std::chrono::duration<double> half_life = kHalfLife;
  return found->second.request_weight *
         DecaySince(found->second.updated_at, now) * std::numbers::ln2 /
         half_life.count();
}

double UsageHistory::InteractiveFraction(const ModelPath& path) const {
  const auto found = this->usages.find(path);
  if (found == this->usages.end() || found->second.request_weight <= 0) {
    return 0;
  }
  return std::min(
      1.0, found->second.interactive_weight / found->second.request_weight);
}

std::uint32_t UsageHistory::RunningCount(const ModelPath& path) const {
  const auto found = this->usages.find(path);
  return found == this->usages.end() ? 0 : found->second.running;
}

std::set<HostId> UsageHistory::HostsUsing(const ModelPath& path,
                                          TimePoint now) const {
  std::set<HostId> hosts;
  const auto found = this->usages.find(path);
  if (found == this->usages.end()) {
    return hosts;
  }
  for (const auto& [host, last_use] : found->second.hosts) {
    if (now - last_use < kReportTtl) {
      hosts.insert(host);
    }
  }
  return hosts;
}

TimePoint UsageHistory::LastUse(const ModelPath& path) const {
  const auto found = this->usages.find(path);
  return found == this->usages.end() ? TimePoint{} : found->second.last_use;
}

void UsageHistory::RecordRequest(const ModelPath& path, TimePoint now) {
  this->usages[path].last_use = now;
  this->usages[path.Base()].last_use = now;
}

}  // namespace cicadaloft
