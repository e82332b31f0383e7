#include "cicadaloft/resumption/origin_state.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>
#include <variant>

namespace cicadaloft {

Step<OriginState, OriginEffect> Decide(OriginState state,
                                       const OriginEvent& event,
                                       TimePoint now) {
  state.now = now;
  state.DropExpired();
  std::visit([&](const auto& item) { state.Handle(item); }, event);
  state.RetryAppend();
  std::vector<OriginEffect> effects = std::exchange(state.effects, {});
  return Step<OriginState, OriginEffect>{.state = std::move(state),
                                         .effects = std::move(effects)};
}

void OriginState::Handle(const RecordOrigin& request) {
  this->known.Add(request.record, OriginSource::kThisHost, this->now);
  WaitingRecord added{.record = request.record,
                      .ticket = request.ticket,
                      .recorded_at = this->now};
  if (!KnownOrigins::IsValid(request.record.origin)) {
    this->Reply(added, false);
    return;
  }
  if (this->HasAppendFailedLately()) {
    this->Reply(added, false);
  }
  this->waiting.push_back(std::move(added));
  if (this->waiting.size() > kMaxWaitingRecords) {
    this->DropOldestWaitingRecord();
  }
}

void OriginState::RetryAppend() {
  if (!this->HasAppendFailedLately()) {
    this->StartAppend();
  }
}

void OriginState::Handle(const OriginAppendEnded& ended) {
  // An acknowledgement of an earlier era says nothing of the log as it is now;
  // the records are repeated.
  const bool is_recorded =
      ended.is_acknowledged && this->OnEra(ended.era) != EraChange::kOutdated;
  for (WaitingRecord& record : this->appending) {
    this->Reply(record, is_recorded);
  }
  if (ended.is_acknowledged) {
    this->append_failed_at.reset();
    this->appending.clear();
    return;
  }
  this->append_failed_at = this->now;
  for (WaitingRecord& record : this->waiting) {
    this->Reply(record, false);
  }
  std::ranges::move(this->appending | std::views::reverse,
                    std::front_inserter(this->waiting));
  this->appending.clear();
  while (this->waiting.size() > kMaxWaitingRecords) {
    this->DropOldestWaitingRecord();
  }
}

bool OriginState::HasAppendFailedLately() const {
  return this->append_failed_at &&
         this->now - *this->append_failed_at <= kAppendRetryInterval;
}

void OriginState::StartAppend() {
  const bool has_records = !this->waiting.empty() || !this->repeated.empty();
  if (!this->appending.empty() || !has_records) {
    return;
  }
  const auto end =
      this->waiting.begin() + static_cast<std::ptrdiff_t>(std::min(
                                  this->waiting.size(), kMaxRecordsPerAppend));
  std::move(this->waiting.begin(), end, std::back_inserter(this->appending));
  this->waiting.erase(this->waiting.begin(), end);
  while (!this->repeated.empty() &&
         this->appending.size() < kMaxRecordsPerAppend) {
    this->appending.push_back(WaitingRecord{
        .record = std::move(this->repeated.front()), .recorded_at = this->now});
    this->repeated.pop_front();
  }
  AppendOrigins append;
  std::ranges::transform(this->appending, std::back_inserter(append.records),
                         &WaitingRecord::record);
  this->effects.emplace_back(std::move(append));
}

void OriginState::Reply(WaitingRecord& record, bool is_acknowledged) {
  if (record.ticket) {
    this->effects.emplace_back(OriginRecorded{
        .ticket = *record.ticket, .is_acknowledged = is_acknowledged});
    record.ticket.reset();
  }
}

void OriginState::DropOldestWaitingRecord() {
  this->Reply(this->waiting.front(), false);
  this->waiting.pop_front();
}

void OriginState::DropExpired() {
  this->known.DropExpired(this->now);
  while (!this->waiting.empty() &&
         this->now - this->waiting.front().recorded_at >=
             KnownOrigins::kRetention) {
    this->DropOldestWaitingRecord();
  }
}

void OriginState::Handle(const LookUpOrigin& look_up) {
  const Question question{.request = look_up.request, .stream = look_up.stream};
  if (const auto result = this->known.Find(question.stream, this->now)) {
    this->Answer(question, *result);
    return;
  }
  if (this->asked.size() + this->next_asked.size() >= kMaxQuestions) {
    this->Answer(question, OriginLogUnreachable{});
    return;
  }
  this->next_asked.push_back(question);
  this->ReadOnIfNeeded();
}

void OriginState::Handle(const OriginsRead& read) {
  if (!this->reading_from) {
    return;
  }
  const bool is_current = this->IsCurrentAnswer(read.era);
  const LogOffset from = *std::exchange(this->reading_from, std::nullopt);
  std::ranges::for_each(read.records, [this](const OriginRecord& record) {
    this->known.Add(record, OriginSource::kLog, this->now);
  });
  this->AnswerKnown();
  if (!is_current) {
    this->OnFruitlessRead();
    return;
  }
  if (read.end < from) {
    // The store has come back from an older copy, which may differ from what
    // was read before.
    this->OnStepBack();
    this->OnFruitlessRead();
    return;
  }
  if (read.next <= from && read.next < read.end) {
    this->OnFruitlessRead();
    return;
  }
  this->fruitless_reads = 0;
  this->next_offset = read.next;
  if (read.next >= read.end) {
    this->AnswerAsked(OriginNotRecorded{});
  }
  this->ReadOnIfNeeded();
}

void OriginState::Handle(const OriginsTrimmed& trimmed) {
  if (!this->reading_from) {
    return;
  }
  const bool is_outdated = this->OnEra(trimmed.era) == EraChange::kOutdated;
  const LogOffset from = *std::exchange(this->reading_from, std::nullopt);
  if (!is_outdated && this->reading_era == this->era && trimmed.first < from) {
    // The log ends before what was read.
    this->OnStepBack();
  }
  if (!is_outdated) {
    this->next_offset = trimmed.first;
  }
  this->OnFruitlessRead();
}

void OriginState::Handle(const OriginReadFailed&) {
  if (!this->reading_from) {
    return;
  }
  this->reading_from.reset();
  this->fruitless_reads = 0;
  this->AnswerAsked(OriginLogUnreachable{});
  this->ReadOnIfNeeded();
}

void OriginState::Handle(const StoreEraSeen& seen) {
  this->OnEra(seen.era);
}

EraChange OriginState::OnEra(StoreEra stated) {
  const EraChange change = CompareEras(this->era.value_or(stated), stated);
  this->era = std::max(this->era.value_or(stated), stated);
  if (change == EraChange::kNew) {
    this->OnStepBack();
  }
  return change;
}

void OriginState::OnStepBack() {
  this->next_offset = LogOffset();
  std::vector<OriginRecord> own = this->known.OwnRecords();
  this->repeated.assign(std::make_move_iterator(own.begin()),
                        std::make_move_iterator(own.end()));
}

bool OriginState::IsCurrentAnswer(StoreEra stated) {
  const bool is_outdated = this->OnEra(stated) == EraChange::kOutdated;
  const bool has_offset_of_era = this->reading_from == LogOffset() ||
                                 this->reading_era.value_or(stated) == stated;
  return !is_outdated && has_offset_of_era;
}

void OriginState::OnFruitlessRead() {
  ++this->fruitless_reads;
  if (this->fruitless_reads >= kMaxFruitlessReads) {
    this->fruitless_reads = 0;
    this->AnswerAsked(OriginLogUnreachable{});
  }
  this->ReadOnIfNeeded();
}

void OriginState::ReadOnIfNeeded() {
  const bool has_questions = !this->asked.empty() || !this->next_asked.empty();
  if (has_questions && !this->reading_from) {
    this->StartRead();
  }
}

void OriginState::StartRead() {
  std::ranges::move(this->next_asked, std::back_inserter(this->asked));
  this->next_asked.clear();
  this->reading_from = this->next_offset;
  this->reading_era = this->era;
  this->effects.emplace_back(ReadOrigins{.from = this->next_offset});
}

void OriginState::AnswerKnown() {
  const auto answer = [this](const Question& question) {
    const auto result = this->known.Find(question.stream, this->now);
    if (result) {
      this->Answer(question, *result);
    }
    return result.has_value();
  };
  std::erase_if(this->asked, answer);
  std::erase_if(this->next_asked, answer);
}

void OriginState::AnswerAsked(const OriginResult& result) {
  for (const Question& question : this->asked) {
    this->Answer(question, result);
  }
  this->asked.clear();
}

void OriginState::Answer(const Question& question, const OriginResult& result) {
  this->effects.emplace_back(
      OriginLookedUp{.request = question.request, .result = result});
}

}  // namespace cicadaloft
