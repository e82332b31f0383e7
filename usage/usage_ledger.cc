#include "cicadaloft/usage/usage_ledger.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <ranges>
#include <utility>

#include "cicadaloft/usage/usage_counter.h"

namespace cicadaloft {
namespace {

/// Hosts report at least once a second, and links are closed after 2.2 s of
/// silence. A link that goes down earlier was closed by the other process.
constexpr Duration kSilence = std::chrono::milliseconds(1800);
/// A process that has closed its link and lives connects again within this.
constexpr Duration kReconnectTime = std::chrono::milliseconds(2500);
/// A process that has been silent for this long is taken for ended.
constexpr Duration kSilentProcessTime = std::chrono::seconds(25);
/// Processes that have been silent for this long are deleted.
constexpr Duration kKeptTime = std::chrono::minutes(2);
/// A clock reading that is older than this is not used.
constexpr Duration kMaxReadingAge = std::chrono::seconds(5);
/// Two clocks that differ don't tell which of them is off.
constexpr std::size_t kMinClocks = 3;
/// Windows from which the rate of a process is estimated, by the one with most
/// requests: demand has waves.
constexpr std::uint64_t kRateWindows = 2;

std::uint64_t Total(const UsageByCustomer& counts) {
  const auto values = counts | std::views::values;
  return std::accumulate(values.begin(), values.end(), std::uint64_t{0});
}

Duration ToTime(std::uint64_t microseconds) {
  return Duration(static_cast<Duration::rep>(microseconds));
}

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

UsageLedger::UsageLedger(UsageSettings settings)
    : settings(std::move(settings)) {}

void UsageLedger::OnCounts(const UsageCountsReceived& received, TimePoint now) {
  const UsageCounts& counts = received.counts;
  if (std::max({counts.counted_since, counts.counted_until, counts.own_time}) >
      kMaxWallTime) {
    return;
  }
  Process& process = this->processes[ProcessKey{.host = counts.host,
                                                .process = counts.process}];
  this->OnHeardFrom(received, process, now);
  if (counts.number >= process.counts.number) {
    auto windows = std::move(process.counts.windows);
    process.counts = counts;
    process.counts.windows = std::move(windows);
  }
  for (const auto& [window, by_customer] : counts.windows) {
    std::uint64_t& total = process.totals[window];
    total = std::max(total, Total(by_customer));
    if (window < this->first_kept) {
      continue;
    }
    UsageByCustomer& kept = process.counts.windows[window];
    for (const auto& [customer, count] : by_customer) {
      std::uint64_t& kept_count = kept[customer];
      kept_count = std::max(kept_count, count);
    }
    total = std::max(total, Total(kept));
  }
}

// Counts that another host forwards may be old, so they don't show that the
// process lives.
void UsageLedger::OnHeardFrom(const UsageCountsReceived& received,
                              Process& process,
                              TimePoint now) {
  const bool is_first = process.heard_at == TimePoint{};
  if (received.from == received.counts.host) {
    process.heard_at = now;
    process.is_direct = true;
    const Duration offset =
        ToTime(received.counts.own_time) - now.time_since_epoch();
    if (offset >= process.clock_offset ||
        now - process.clock_offset_at >= kMaxReadingAge) {
      process.clock_offset = offset;
      process.clock_offset_at = now;
    }
    process.has_link = true;
    process.is_closing_expected &= !this->is_in_term;
    process.closed_at.reset();
  } else if (is_first) {
    process.heard_at = now;
    process.closed_at =
        received.counts.has_ended ? std::optional(now) : std::nullopt;
  }
}

void UsageLedger::OnLinkChanged(const UsageLinkChanged& change, TimePoint now) {
  for (auto& [key, process] : this->processes) {
    if (key.host != change.host) {
      continue;
    }
    const bool is_closed_by_peer = !change.is_up && process.has_link &&
                                   !process.is_closing_expected &&
                                   now - process.heard_at < kSilence;
    process.is_closing_expected &= !change.is_up;
    process.has_link = process.has_link && change.is_up;
    if (is_closed_by_peer) {
      process.closed_at = now;
    }
  }
}

void UsageLedger::OnTermBegan() {
  this->is_in_term = true;
  for (Process& process : this->processes | std::views::values) {
    process.is_closing_expected = !process.has_link;
  }
}

void UsageLedger::OnTermEnded() {
  this->is_in_term = false;
  for (Process& process : this->processes | std::views::values) {
    process.is_closing_expected = true;
  }
}

void UsageLedger::OnHolderChanged() {
  for (Process& process : this->processes | std::views::values) {
    process.has_link = false;
    process.is_closing_expected = true;
  }
}

bool UsageLedger::IsNewest(const ProcessKey& key) const {
  const auto next = this->processes.upper_bound(key);
  return next == this->processes.end() || next->first.host != key.host;
}

bool UsageLedger::HasClosed(const ProcessKey& key,
                            const Process& process,
                            TimePoint now) const {
  return !this->IsNewest(key) ||
         (process.closed_at && now - *process.closed_at >= kReconnectTime);
}

bool UsageLedger::DoesSilenceCount(TimePoint now) const {
  const auto silent =
      std::ranges::count_if(this->processes, [&](const auto& entry) {
        return !this->HasClosed(entry.first, entry.second, now) &&
               now - entry.second.heard_at >= kSilentProcessTime;
      });
  return 2 * static_cast<std::size_t>(silent) < this->HostCount();
}

// Time of the window in which the process may have served requests that it has
// not reported.
Duration UsageLedger::UncountedTime(UsageWindow window,
                                    const Process& process) const {
  const Duration begin = WindowBegin(window, this->settings.window);
  const Duration since = std::max(begin, ToTime(process.counts.counted_since));
  const Duration until = std::max(since, ToTime(process.counts.counted_until));
  return std::max(Duration::zero(), begin + this->settings.window - until);
}

std::optional<double> UsageLedger::Rate(const Process& process) const {
  const UsageWindow last =
      WindowAt(ToTime(process.counts.counted_until), this->settings.window);
  const UsageWindow first(last.value() - std::min(last.value(), kRateWindows));
  if (ToTime(process.counts.counted_since) >
      WindowBegin(first, this->settings.window)) {
    return std::nullopt;
  }
  std::uint64_t total = 0;
  for (auto found = process.totals.lower_bound(first);
       found != process.totals.end() && found->first < last; ++found) {
    total = std::max(total, found->second);
  }
  return static_cast<double>(total) / Seconds(this->settings.window);
}

WindowSum UsageLedger::Sum(UsageWindow window,
                           std::size_t unknown_hosts,
                           TimePoint now) const {
  WindowSum sum{.host_count = this->HostCount()};
  for (const auto& process : this->processes | std::views::values) {
    const auto found = process.counts.windows.find(window);
    if (found != process.counts.windows.end()) {
      for (const auto& [customer, count] : found->second) {
        sum.counts[customer] += count;
        sum.total += count;
      }
    }
  }
  const double mean_rate =
      static_cast<double>(sum.total) /
      (Seconds(this->settings.window) *
       static_cast<double>(std::max<std::size_t>(1, sum.host_count)));
  double missing = mean_rate * Seconds(this->settings.window) *
                   static_cast<double>(unknown_hosts);
  const Duration begin = WindowBegin(window, this->settings.window);
  const Duration interval = UsageCountInterval(sum.host_count);
  const bool silence_counts = this->DoesSilenceCount(now);
  for (const auto& [key, process] : this->processes) {
    Duration uncounted = this->UncountedTime(window, process);
    const Duration until = ToTime(process.counts.counted_until);
    const bool is_silent =
        silence_counts && now - process.heard_at >= kSilentProcessTime;
    if (is_silent || this->HasClosed(key, process, now)) {
      uncounted = std::clamp(until + interval - begin, Duration::zero(),
                             std::min(uncounted, interval));
    } else {
      sum.awaited_processes += uncounted > Duration::zero() ? 1 : 0;
      sum.input_age = std::max(sum.input_age, now - process.heard_at);
    }
    missing += this->Rate(process).value_or(mean_rate) * Seconds(uncounted);
  }
  const double all = static_cast<double>(sum.total) + missing;
  sum.missing_fraction = all > 0 ? missing / all : 0;
  return sum;
}

void UsageLedger::Forget(UsageWindow last_window) {
  this->first_kept = std::max(this->first_kept, last_window.Next());
  for (Process& process : this->processes | std::views::values) {
    auto& windows = process.counts.windows;
    windows.erase(windows.begin(), windows.lower_bound(this->first_kept));
  }
}

void UsageLedger::ForgetOld(UsageWindow oldest_window, TimePoint now) {
  std::erase_if(this->processes, [now](const auto& entry) {
    return now - entry.second.heard_at >= kKeptTime;
  });
  for (Process& process : this->processes | std::views::values) {
    auto& windows = process.counts.windows;
    windows.erase(windows.begin(), windows.lower_bound(oldest_window));
    process.totals.erase(process.totals.begin(),
                         process.totals.lower_bound(oldest_window));
  }
}

std::optional<UsageWindow> UsageLedger::FirstWindow() const {
  std::optional<UsageWindow> first;
  for (const Process& process : this->processes | std::views::values) {
    const UsageWindow window =
        WindowAt(ToTime(process.counts.counted_since), this->settings.window);
    first = std::min(first.value_or(window), window);
  }
  return first;
}

std::size_t UsageLedger::HostCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->processes,
      [this](const auto& entry) { return this->IsNewest(entry.first); }));
}

std::set<HostId> UsageLedger::LinkedHosts() const {
  std::set<HostId> hosts;
  for (const auto& [key, process] : this->processes) {
    if (process.has_link && key.host != this->settings.host) {
      hosts.insert(key.host);
    }
  }
  return hosts;
}

std::vector<UsageCounts> UsageLedger::CountsOfOthers(TimePoint now) const {
  std::vector<UsageCounts> counts;
  for (const auto& [key, process] : this->processes) {
    const bool is_own = key.host == this->settings.host &&
                        key.process == this->settings.process;
    if (!is_own && !process.counts.windows.empty()) {
      counts.push_back(process.counts);
      counts.back().has_ended = this->HasClosed(key, process, now);
    }
  }
  return counts;
}

std::optional<Duration> UsageLedger::MedianTime(TimePoint now) const {
  std::vector<Duration> times;
  for (const auto& [key, process] : this->processes) {
    if (this->IsNewest(key) && process.is_direct &&
        now - process.heard_at < kMaxReadingAge) {
      times.push_back(now.time_since_epoch() + process.clock_offset);
    }
  }
  if (times.size() < kMinClocks) {
    return std::nullopt;
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  return *middle;
}

}  // namespace cicadaloft
