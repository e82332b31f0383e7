#include "cicadaloft/usage/usage_reporter.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cicadaloft/store/store_era.h"
#include "cicadaloft/usage/usage_counter.h"

namespace cicadaloft {
namespace {

/// Time after a failed call to the store until the next one.
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(250);
constexpr Duration kMinReportRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxReportRetryDelay = std::chrono::seconds(2);
/// The part of the calls that the platform accepts which reports may use; other
/// duties share the rest.
constexpr double kReportCallFraction = 0.5;

}  // namespace

UsageReporter::UsageReporter(UsageSettings settings)
    : settings(std::move(settings)) {}

void UsageReporter::OnTerm(const UsageTerm& new_term, TimePoint now) {
  const bool is_renewal = this->term && this->term->token == new_term.token;
  this->term = new_term;
  if (is_renewal) {
    return;
  }
  this->needs_read = true;
  this->has_read = false;
  this->is_store_call_stale = this->store_call != StoreCall::kNone;
  this->closed.clear();
  this->report_retry_delay = Duration::zero();
  this->next_report_at = now;
}

// Closed windows that have not been recorded may be recorded by a successor
// with other counts.
void UsageReporter::OnTermEnded() {
  this->term.reset();
  this->needs_read = true;
  this->has_read = false;
  this->is_store_call_stale = this->store_call != StoreCall::kNone;
  this->closed.clear();
}

// Whoever holds the lease with the topic read when the store steps back knows
// all windows that were recorded before. Any other host doesn't: the topic may
// lack some, and this host's counts may differ from theirs. A window that was
// recorded has ended before its record, and so before any host saw the new era.
void UsageReporter::OnEra(StoreEra stated, TimePoint now) {
  const EraChange change = CompareEras(this->era.value_or(StoreEra()), stated);
  if (!this->era || change == EraChange::kNew) {
    this->era = stated;
  }
  if (change != EraChange::kNew) {
    return;
  }
  this->is_era_unknown |= !this->has_read || !this->IsTermValid(now);
  this->needs_read = true;
  this->is_store_call_stale = this->store_call != StoreCall::kNone;
}

void UsageReporter::OnWindow(UsageWindow current) {
  if (std::exchange(this->is_era_unknown, false)) {
    this->first_known = std::max(this->first_known, current);
  }
}

void UsageReporter::OnTopicRead(const UsageTopicRead& read, TimePoint now) {
  this->store_call = StoreCall::kNone;
  if (std::exchange(this->is_store_call_stale, false) || !this->term) {
    return;
  }
  if (CompareEras(this->era.value_or(read.era), read.era) ==
      EraChange::kOutdated) {
    this->OnReadFailed(now);
    return;
  }
  this->needs_read = false;
  this->has_read = true;
  this->RepeatLostRecords(read);
  this->next_store_call_at = now;
  this->end = read.end;
  this->unreadable_slots = read.unreadable_slots;
  std::ranges::for_each(read.records, [this](const UsageRecord& record) {
    this->AddRecord(record, std::nullopt);
  });
}

// Windows before the newest one in the topic are never recorded any more.
void UsageReporter::RepeatLostRecords(const UsageTopicRead& read) {
  const auto newest =
      std::ranges::max_element(read.records, {}, &UsageRecord::window);
  const auto first_lost = newest == read.records.end()
                              ? this->recorded.begin()
                              : this->recorded.upper_bound(newest->window);
  std::erase_if(this->closed, [&](const Closed& each) {
    return this->recorded.contains(each.record.window);
  });
  std::deque<Closed> lost;
  for (auto each = first_lost; each != this->recorded.end(); ++each) {
    lost.push_back(Closed{
        .record =
            UsageRecord{.window = each->first, .counts = each->second.counts},
        .input_age = each->second.input_age.value_or(Duration())});
  }
  this->closed.insert(this->closed.begin(), lost.begin(), lost.end());
}

void UsageReporter::OnReadFailed(TimePoint now) {
  this->store_call = StoreCall::kNone;
  this->is_store_call_stale = false;
  this->next_store_call_at = now + kStoreRetryDelay;
}

void UsageReporter::OnAppendEnded(const UsageAppendEnded& ended,
                                  TimePoint now) {
  this->store_call = StoreCall::kNone;
  if (std::exchange(this->is_store_call_stale, false) || !this->term ||
      this->closed.empty()) {
    return;
  }
  switch (ended.outcome) {
    case UsageAppendOutcome::kWritten: {
      const Closed written = this->closed.front();
      this->end = this->end.Next();
      this->AddRecord(written.record, written.input_age);
      break;
    }
    case UsageAppendOutcome::kRefused:
      this->next_store_call_at = now + kStoreRetryDelay;
      break;
    case UsageAppendOutcome::kConflict:
      this->needs_read = true;
      break;
    case UsageAppendOutcome::kUnknown:
      this->needs_read = true;
      this->next_store_call_at = now + kStoreRetryDelay;
      break;
  }
}

// A window is closed once: what the store has takes the place of this host's
// own counts.
void UsageReporter::AddRecord(const UsageRecord& record,
                              std::optional<Duration> input_age) {
  this->known_settled_before =
      std::max(this->known_settled_before, record.settled_before);
  this->last_recorded =
      std::max(this->last_recorded.value_or(record.window), record.window);
  const auto own = std::ranges::find_if(this->closed, [&](const Closed& each) {
    return each.record.window == record.window;
  });
  if (own != this->closed.end() && own->record.counts == record.counts) {
    input_age = own->input_age;
  }
  std::erase_if(this->closed, [&](const Closed& each) {
    return each.record.window <= record.window;
  });
  this->newly_recorded.push_back(record.window);
  if (record.window >= this->known_settled_before) {
    this->recorded.try_emplace(record.window, Recorded{.counts = record.counts,
                                                       .input_age = input_age});
  }
  this->recorded.erase(this->recorded.begin(),
                       this->recorded.lower_bound(this->known_settled_before));
}

std::optional<UsageWindow> UsageReporter::LastWindow() const {
  return this->closed.empty()
             ? this->last_recorded
             : std::optional(this->closed.back().record.window);
}

void UsageReporter::Close(UsageWindow window,
                          UsageByCustomer counts,
                          Duration input_age) {
  this->closed.push_back(Closed{
      .record = UsageRecord{.window = window, .counts = std::move(counts)},
      .input_age = input_age});
}

UsageWindow UsageReporter::SettledBefore() const {
  const auto open = std::ranges::find_if(
      this->recorded, [](const auto& each) { return !each.second.is_settled; });
  return open != this->recorded.end() ? open->first
         : this->last_recorded
             ? std::max(this->known_settled_before, this->last_recorded->Next())
             : this->known_settled_before;
}

void UsageReporter::StartDueCalls(TimePoint now) {
  if (!this->IsTermValid(now)) {
    return;
  }
  this->StartStoreCall(now);
  this->StartReport(now);
}

// One call at a time: an append may only follow a read that shows where the
// topic ends.
void UsageReporter::StartStoreCall(TimePoint now) {
  if (this->store_call != StoreCall::kNone || now < this->next_store_call_at) {
    return;
  }
  if (this->needs_read) {
    this->store_call = StoreCall::kRead;
    this->effects.emplace_back(ReadUsageTopic{});
  } else if (!this->closed.empty()) {
    this->store_call = StoreCall::kAppend;
    UsageRecord record = this->closed.front().record;
    record.settled_before = std::min(this->SettledBefore(), record.window);
    this->closed.front().record.settled_before = record.settled_before;
    this->effects.emplace_back(AppendUsageRecord{.expected_end = this->end,
                                                 .record = std::move(record)});
  }
}

void UsageReporter::StartReport(TimePoint now) {
  if (this->is_report_pending || this->needs_read ||
      now < this->next_report_at || now < this->term->calls_allowed_from) {
    return;
  }
  const auto open = std::ranges::find_if(
      this->recorded, [](const auto& each) { return !each.second.is_settled; });
  const bool is_lost = open != this->recorded.end() && !this->closed.empty() &&
                       open->first >= this->closed.front().record.window;
  if (open == this->recorded.end() || is_lost) {
    return;
  }
  const std::uint64_t age = this->last_recorded->value() - open->first.value();
  if (age >= kUsageSlots) {
    this->GiveUp(open->first, "not accepted while it was kept in the store");
    return;
  }
  this->is_report_pending = true;
  this->next_report_at =
      now +
      FromSeconds(1 / (kReportCallFraction * this->settings.calls_per_second));
  this->effects.emplace_back(SendUsageReport{
      .window_index = open->first,
      .counts = open->second.counts,
      .token = this->term->token,
      .valid_until =
          std::min(this->term->valid_until, now + kMaxDutySendDelay)});
}

void UsageReporter::OnReportEnded(const UsageReportEnded& ended,
                                  Duration since_1970,
                                  TimePoint now) {
  this->is_report_pending = false;
  const auto found = this->recorded.find(ended.call.window_index);
  if (found == this->recorded.end()) {
    return;
  }
  Recorded& window = found->second;
  const Duration due =
      WindowBegin(ended.call.window_index.Next(), this->settings.window) +
      this->settings.delay;
  const bool is_late = since_1970 > due;
  this->LogReport(ended, window, is_late);
  if (ended.outcome == DutyCallOutcome::kAccepted) {
    window.is_settled = true;
    this->report_retry_delay = Duration::zero();
    this->CountOutcome(is_late ? UsageWindowOutcome::kLate
                               : UsageWindowOutcome::kSent);
  } else if (ended.outcome == DutyCallOutcome::kRejected && this->term &&
             this->term->token == ended.call.token) {
    this->GiveUp(ended.call.window_index, "rejected by the platform");
  } else {
    this->report_retry_delay =
        std::clamp(2 * this->report_retry_delay, kMinReportRetryDelay,
                   kMaxReportRetryDelay);
    this->next_report_at =
        std::max(this->next_report_at, now + this->report_retry_delay);
  }
}

void UsageReporter::GiveUp(UsageWindow window, const std::string& reason) {
  this->recorded.at(window).is_settled = true;
  this->CountOutcome(UsageWindowOutcome::kSkipped);
  this->effects.emplace_back(
      DecisionRecord{.event = "usage.skipped",
                     .fields = {{"window", window.value()}, {"why", reason}}});
}

void UsageReporter::LogReport(const UsageReportEnded& ended,
                              const Recorded& window,
                              bool is_late) {
  std::string counts;
  for (const auto& [customer, count] : window.counts) {
    counts += (counts.empty() ? "" : ",") + customer.value() + ":" +
              std::to_string(count);
  }
  DecisionRecord record{.event = "usage.report",
                        .fields = {{"window", ended.call.window_index.value()},
                                   {"token", ended.call.token.value()},
                                   {"outcome", ToString(ended.outcome)},
                                   {"is_late", is_late ? "yes" : "no"},
                                   {"counts", counts}}};
  if (window.input_age) {
    record.fields.emplace_back("input_age_ms", *window.input_age);
  } else {
    record.fields.emplace_back("recorded_by", "another holder");
  }
  this->effects.emplace_back(std::move(record));
}

void UsageReporter::CountOutcome(UsageWindowOutcome outcome) {
  this->effects.emplace_back(CountUsageWindow{.outcome = outcome});
}

std::vector<UsageWindow> UsageReporter::TakeRecorded() {
  return std::exchange(this->newly_recorded, {});
}

std::vector<UsageEffect> UsageReporter::TakeEffects() {
  return std::exchange(this->effects, {});
}

}  // namespace cicadaloft
