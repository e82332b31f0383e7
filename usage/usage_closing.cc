#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

#include "cicadaloft/usage/usage_state.h"

namespace cicadaloft {
namespace {

/// A window is closed this part of the delay after its end if all hosts have
/// reported. Reports on the way then have time to come.
constexpr double kEarlyFraction = 0.2;
/// Then it is closed without the hosts that have not reported, if little is
/// missing.
constexpr double kCloseFraction = 0.6;
/// The rest of the delay is for the calls to the store and to the platform. If
/// much is missing, the window waits this long after its report was due: a late
/// report is better than none.
constexpr Duration kMaxLateness = std::chrono::seconds(15);
/// Estimated fraction of the requests that may be missing in a report, which
/// must be within 5%.
constexpr double kMaxMissingFraction = 0.04;
/// Hosts connect to a new holder and report within this time.
constexpr Duration kGatherTime = std::chrono::seconds(3);
constexpr Duration kMaxGatherTime = std::chrono::seconds(5);
/// Hosts that have sent nothing this long after the term began have ended.
constexpr Duration kUnknownHostTime = std::chrono::seconds(15);

Duration Part(Duration time, double fraction) {
  return std::chrono::duration_cast<Duration>(time * fraction);
}

std::string Percent(double fraction) {
  return std::to_string(std::lround(fraction * 100));
}

}  // namespace

const char* ToText(UsageWindowOutcome outcome) {
  switch (outcome) {
    case UsageWindowOutcome::kDue:
      return "due";
    case UsageWindowOutcome::kSent:
      return "sent";
    case UsageWindowOutcome::kLate:
      return "late";
    case UsageWindowOutcome::kSkipped:
      return "skipped";
  }
  return "";
}

Duration UsageState::Time() const {
  return this->ledger.MedianTime(this->now).value_or(
      this->clock.IsKnown() ? this->clock.Time(this->now) : Duration::zero());
}

// Windows are closed in order, so that the newest record shows which windows
// can still be closed.
void UsageState::CloseWindows() {
  bool has_closed = true;
  while (has_closed && this->reporter.MayClose() &&
         this->now - this->term_began_at >= kGatherTime) {
    this->SkipUnknown();
    const auto window = this->NextWindow();
    if (window) {
      this->SkipOld(*window);
    }
    has_closed = window && this->CloseIfDue(*window);
  }
}

std::optional<UsageWindow> UsageState::FirstOpenWindow() const {
  const auto last = std::max(this->reporter.LastWindow(), this->last_skipped);
  return last ? std::optional(last->Next()) : this->ledger.FirstWindow();
}

// Hosts no longer have the counts of older windows.
std::optional<UsageWindow> UsageState::NextWindow() const {
  const auto first = this->FirstOpenWindow();
  const UsageWindow current = WindowAt(this->Time(), this->settings.window);
  const UsageWindow oldest(
      current.value() - std::min(current.value(), UsageCounter::kKeptWindows));
  return first ? std::optional(std::max(*first, oldest)) : std::nullopt;
}

// Another holder may have recorded and reported them with other counts.
void UsageState::SkipUnknown() {
  const auto first = this->FirstOpenWindow();
  const UsageWindow unknown_before = this->reporter.unknown_before();
  if (first && *first < unknown_before) {
    this->Skip(UsageWindow(unknown_before.value() - 1),
               "the store may have lost its record",
               {{"first_window", first->value()}});
  }
}

void UsageState::SkipOld(UsageWindow next) {
  const UsageWindow first = this->FirstOpenWindow().value_or(next);
  if (first < next) {
    this->Skip(UsageWindow(next.value() - 1),
               "no host has counts of it any more",
               {{"first_window", first.value()}});
  }
}

bool UsageState::CloseIfDue(UsageWindow window) {
  const Duration since_end =
      this->Time() - WindowBegin(window.Next(), this->settings.window);
  const Duration delay = this->settings.delay;
  if (since_end < Part(delay, kEarlyFraction)) {
    return false;
  }
  WindowSum sum =
      this->ledger.Sum(window, this->UnknownHosts(window), this->now);
  const bool is_close_time = since_end >= Part(delay, kCloseFraction);
  const bool is_skip_time = since_end >= delay + kMaxLateness &&
                            this->now - this->term_began_at >= kMaxGatherTime;
  const bool has_enough = sum.missing_fraction <= kMaxMissingFraction;
  const bool may_close =
      has_enough && (sum.awaited_processes == 0 || is_close_time);
  if (!may_close && !is_skip_time) {
    return false;
  }
  if (this->reporter.IsUnreadable(window)) {
    this->Skip(window, "the store has an unreadable record", {});
  } else if (!has_enough) {
    this->Skip(window, "counts of hosts are missing",
               {{"missing_percent", Percent(sum.missing_fraction)},
                {"hosts", sum.host_count},
                {"awaited", sum.awaited_processes}});
  } else {
    this->effects.emplace_back(DecisionRecord{
        .event = "usage.closed",
        .fields = {{"window", window.value()},
                   {"requests", sum.total},
                   {"hosts", sum.host_count},
                   {"awaited", sum.awaited_processes},
                   {"missing_percent", Percent(sum.missing_fraction)}}});
    this->CountOutcome(UsageWindowOutcome::kDue);
    this->reporter.Close(window, std::move(sum.counts), sum.input_age);
  }
  return true;
}

// A new holder doesn't know which hosts it has not heard of yet. The last
// holder, which is one of them, has served nothing since if it has ended.
std::size_t UsageState::UnknownHosts(UsageWindow window) const {
  const Duration begin = WindowBegin(window, this->settings.window);
  const std::size_t known = this->ledger.HostCount();
  const std::size_t expected =
      begin < this->term_wall_time ? this->term_host_count
      : begin < this->term_wall_time + kUnknownHostTime
          ? this->term_host_count - std::min(1U, this->term_host_count)
          : 0;
  return expected - std::min(expected, known);
}

void UsageState::Skip(UsageWindow window,
                      const std::string& reason,
                      std::vector<LogField> fields) {
  this->last_skipped = window;
  fields.insert(fields.begin(), {{"window", window.value()}, {"why", reason}});
  this->effects.emplace_back(
      DecisionRecord{.event = "usage.skipped", .fields = std::move(fields)});
  this->CountOutcome(UsageWindowOutcome::kDue);
  this->CountOutcome(UsageWindowOutcome::kSkipped);
}

void UsageState::CountOutcome(UsageWindowOutcome outcome) {
  this->effects.emplace_back(CountUsageWindow{.outcome = outcome});
}

}  // namespace cicadaloft
