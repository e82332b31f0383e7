#include "log_writer.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;

/// Records in one append at most.
constexpr std::size_t kMaxBatch = 256;
/// Mates' records that are kept at most.
constexpr std::size_t kMaxForMates = 1024;
/// An answered append is read back within this time, or sent again.
constexpr Duration kReadBackTime = milliseconds(1000);
constexpr Duration kRetryTime = milliseconds(200);
constexpr Duration kMateRetryTime = milliseconds(1000);

}  // namespace

LogWriter::LogWriter(Member self) : self(std::move(self)) {}

SequenceNumber LogWriter::Submit(RecordBody body) {
  this->last_given = this->last_given.Next();
  this->queue.push_back(LogRecord{.writer = this->self,
                                  .sequence = this->last_given,
                                  .body = std::move(body)});
  return this->last_given;
}

std::vector<SequenceNumber> LogWriter::DropUnsentRenewals() {
  std::deque<LogRecord> kept;
  std::vector<SequenceNumber> dropped;
  std::size_t index = 0;
  std::ranges::for_each(this->queue, [&](const LogRecord& record) {
    const bool was_sent = index++ < this->sent;
    if (!was_sent && std::holds_alternative<RenewRecord>(record.body)) {
      dropped.push_back(record.sequence);
    } else {
      kept.push_back(record);
    }
  });
  this->queue.swap(kept);
  return dropped;
}

void LogWriter::AddForMate(const LogRecord& record) {
  const bool is_known =
      std::ranges::find(this->for_mates, record) != this->for_mates.end();
  if (!is_known && this->for_mates.size() < kMaxForMates) {
    this->for_mates.push_back(record);
  }
}

void LogWriter::ReadBack(SequenceNumber last) {
  while (!this->queue.empty() && this->queue.front().sequence <= last) {
    this->queue.pop_front();
    this->sent -= std::min<std::size_t>(this->sent, 1);
    this->mate_resend_at = TimePoint();
  }
}

void LogWriter::Clear() {
  this->queue.clear();
  this->sent = 0;
}

void LogWriter::Answered(bool is_ok, TimePoint now) {
  this->is_outstanding = false;
  this->failures = is_ok ? 0 : this->failures + 1;
  this->resend_at = now + (is_ok ? kReadBackTime : kRetryTime);
  this->mates_due_at = is_ok ? now : now + kRetryTime;
  while (is_ok && this->mates_sent > 0 && !this->for_mates.empty()) {
    this->for_mates.pop_front();
    --this->mates_sent;
  }
  this->mates_sent = 0;
}

std::vector<LogRecord> LogWriter::TakeBatch(TimePoint now) {
  std::vector<LogRecord> batch;
  if (this->is_outstanding) {
    return batch;
  }
  const bool sends_new = this->sent == 0;
  if (sends_new || now >= this->resend_at) {
    const std::size_t count =
        sends_new ? std::min(this->queue.size(), kMaxBatch) : this->sent;
    std::ranges::copy(this->queue | std::views::take(count),
                      std::back_inserter(batch));
    this->sent = count;
  }
  if (now >= this->mates_due_at) {
    this->mates_sent = std::min(this->for_mates.size(), kMaxBatch);
    std::ranges::copy(this->for_mates | std::views::take(this->mates_sent),
                      std::back_inserter(batch));
  }
  this->is_outstanding = !batch.empty();
  return batch;
}

std::optional<LogRecord> LogWriter::TakeForMate(TimePoint now) {
  if (this->queue.empty() || now < this->mate_resend_at) {
    return std::nullopt;
  }
  this->sent = std::max<std::size_t>(this->sent, 1);
  this->mate_resend_at = now + kMateRetryTime;
  return this->queue.front();
}

std::optional<LogRecord> LogWriter::Find(SequenceNumber sequence) const {
  const auto found =
      std::ranges::find(this->queue, sequence, &LogRecord::sequence);
  return found == this->queue.end() ? std::nullopt
                                    : std::optional<LogRecord>(*found);
}

bool LogWriter::IsQueued(SequenceNumber sequence) const {
  return std::ranges::any_of(this->queue, [&](const LogRecord& record) {
    return record.sequence == sequence;
  });
}

}  // namespace cicadaloft
