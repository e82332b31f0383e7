#include "cicadaloft/usage/usage_counter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cicadaloft {
namespace {

/// How long after its end a window is still part of reports.
constexpr Duration kRepeatTime = std::chrono::seconds(2);

constexpr Duration kIntervalPerHost = std::chrono::milliseconds(10);
constexpr Duration kMinInterval = std::chrono::milliseconds(250);
/// A host that dies loses the counts of at most this time.
constexpr Duration kMaxInterval = std::chrono::seconds(1);

}  // namespace

UsageWindow WindowAt(Duration since_1970, Duration window) {
  return UsageWindow(static_cast<std::uint64_t>(
      std::max(Duration::zero(), since_1970) / window));
}

Duration WindowBegin(UsageWindow index, Duration window) {
  return window * static_cast<Duration::rep>(index.value());
}

Duration UsageCountInterval(std::size_t host_count) {
  return std::clamp(kIntervalPerHost * static_cast<Duration::rep>(host_count),
                    kMinInterval, kMaxInterval);
}

UsageCounter::UsageCounter(UsageSettings settings)
    : settings(std::move(settings)) {}

void UsageCounter::Begin(Duration since_1970) {
  this->begun_at = this->begun_at.value_or(since_1970);
}

void UsageCounter::Add(const UsageByCustomer& counts, Duration since_1970) {
  UsageByCustomer& window =
      this->windows[WindowAt(since_1970, this->settings.window)];
  for (const auto& [customer, count] : counts) {
    window[customer] += count;
  }
  while (this->windows.size() > kKeptWindows) {
    this->windows.erase(this->windows.begin());
  }
}

UsageCounts UsageCounter::Report(Duration since_1970,
                                 Duration own_time,
                                 bool has_all_windows) {
  const auto from = has_all_windows
                        ? this->windows.begin()
                        : this->windows.lower_bound(WindowAt(
                              since_1970 - kRepeatTime, this->settings.window));
  return UsageCounts{
      .host = this->settings.host,
      .process = this->settings.process,
      .number = ++this->number,
      .counted_since = static_cast<std::uint64_t>(
          this->begun_at.value_or(since_1970).count()),
      .counted_until = static_cast<std::uint64_t>(since_1970.count()),
      .own_time = static_cast<std::uint64_t>(own_time.count()),
      .windows = {from, this->windows.end()}};
}

std::optional<std::pair<UsageWindow, UsageByCustomer>> UsageCounter::TakeEnded(
    Duration since_1970) {
  const UsageWindow now = WindowAt(since_1970, this->settings.window);
  const auto before = std::exchange(this->current, now);
  if (!before || *before >= now) {
    return std::nullopt;
  }
  const auto found = this->windows.find(*before);
  return std::pair(*before, found == this->windows.end() ? UsageByCustomer()
                                                         : found->second);
}

}  // namespace cicadaloft
