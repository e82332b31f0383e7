#include "scenarios/runner/fake_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cicadaloft::scenarios {
namespace {

constexpr Duration kPlatformDelay = std::chrono::milliseconds(1);
constexpr Duration kLongPoll = std::chrono::seconds(5);
constexpr Duration kAppendTimeout = std::chrono::seconds(2);
constexpr Duration kReaderBackOff = std::chrono::milliseconds(200);
constexpr std::uint64_t kMaxRecords = 1000;

}  // namespace

LogOffset FakeLog::Next() const {
  return LogOffset(this->history.size());
}

LogRead FakeLog::Collect(LogOffset from) const {
  std::vector<PlacedRecord> records;
  const std::uint64_t begin = std::max(from.value(), this->first_kept.value());
  const std::uint64_t end =
      std::min<std::uint64_t>(this->history.size(), begin + kMaxRecords);
  for (std::uint64_t at = begin; at < end; ++at) {
    records.push_back(
        PlacedRecord{.offset = LogOffset(at), .record = this->history[at]});
  }
  return LogRead{.records = std::move(records),
                 .first_kept = this->first_kept,
                 .next = LogOffset(std::max(begin, end))};
}

void FakeLog::Read(LogOffset from, ReadAnswer answer) {
  this->time.After(kPlatformDelay + this->slowness, [this, from, answer] {
    if (this->is_out) {
      this->time.After(kReaderBackOff, [answer] { answer(std::nullopt); });
      return;
    }
    if (from < this->Next()) {
      this->time.After(kPlatformDelay,
                       [answer, read = this->Collect(from)] { answer(read); });
      return;
    }
    const std::uint64_t id = this->next_reader++;
    this->readers.push_back(Reader{.id = id, .from = from, .answer = answer});
    this->time.After(kLongPoll, [this, id] {
      const auto found = std::ranges::find(this->readers, id, &Reader::id);
      if (found != this->readers.end()) {
        const ReadAnswer answer = std::move(found->answer);
        const LogOffset from = found->from;
        this->readers.erase(found);
        answer(this->Collect(from));
      }
    });
  });
}

void FakeLog::Append(const std::vector<LogRecord>& records,
                     AppendAnswer answer) {
  this->time.After(kPlatformDelay + this->slowness, [this, records, answer] {
    if (this->is_out) {
      this->time.After(kReaderBackOff, [answer] { answer(false); });
      return;
    }
    std::ranges::copy(records, std::back_inserter(this->history));
    if (this->history.size() > this->kept) {
      this->first_kept = LogOffset(this->history.size() - this->kept);
    }
    this->AnswerReaders();
    if (this->answers_to_lose > 0) {
      --this->answers_to_lose;
      this->time.After(kAppendTimeout, [answer] { answer(false); });
      return;
    }
    this->time.After(kPlatformDelay, [answer] { answer(true); });
  });
}

void FakeLog::SetOutage(bool out) {
  this->is_out = out;
  if (!out) {
    return;
  }
  std::ranges::for_each(std::exchange(this->readers, {}), [this](auto& reader) {
    this->time.After(kPlatformDelay,
                     [answer = reader.answer] { answer(std::nullopt); });
  });
}

void FakeLog::AnswerReaders() {
  std::ranges::for_each(std::exchange(this->readers, {}), [this](auto& reader) {
    this->time.After(kPlatformDelay,
                     [answer = reader.answer,
                      read = this->Collect(reader.from)] { answer(read); });
  });
}

}  // namespace cicadaloft::scenarios
