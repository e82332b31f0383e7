#include "cicadaloft/relay/relay_reader.h"

#include <algorithm>
#include <utility>

#include "cicadaloft/core/result.h"

namespace cicadaloft {

void RelayReader::OnInput(const RelayInput& input) {
  std::visit(
      Overloaded{
          [this](const RelayReceived& received) { this->buffer.Add(received); },
          [this](const RelayRole& role) { this->is_reader = role.is_reader; },
          [this](const SnapshotReceived& received) {
            this->snapshot.emplace(received);
          }},
      input);
}

// A holder that lags behind must not take back what this host has read.
bool RelayReader::HasSnapshot(TimePoint now) const {
  if (!this->snapshot || now - this->snapshot->received_at >= kMaxSnapshotAge) {
    return false;
  }
  const RelayedSnapshot& relayed = this->snapshot->snapshot;
  return relayed.era > this->era ||
         (relayed.era == this->era && relayed.end >= this->position);
}

std::optional<RelayedSnapshot> RelayReader::TakeSnapshot(TimePoint now) {
  if (!this->HasSnapshot(now)) {
    return std::nullopt;
  }
  RelayedSnapshot taken = std::exchange(this->snapshot, std::nullopt)->snapshot;
  this->OnAnswer(taken.era);
  this->OnPosition(taken.end);
  return taken;
}

RelayReadStep RelayReader::Next(LogOffset from,
                                Duration wait,
                                TimePoint deadline,
                                TimePoint now) const {
  const bool is_relayed = !this->is_reader && this->buffer.era() == this->era &&
                          this->buffer.IsFresh(now) &&
                          this->buffer.Covers(from);
  if (is_relayed) {
    std::vector<std::string> records = this->buffer.RecordsFrom(from);
    if (!records.empty() || now >= deadline) {
      return AnswerFromRelay{.records = std::move(records),
                             .complete_at = this->buffer.complete_at()};
    }
    return WaitForRelay{.until = std::min(deadline, this->buffer.FreshUntil())};
  }
  const bool is_in_older_era = this->buffer.era() > this->era &&
                               this->buffer.era() > this->era_at_last_call;
  if (is_in_older_era) {
    return ReadFromStore{};
  }
  const TimePoint due =
      this->is_reader
          ? this->last_call_sent_at + this->settings.reader_interval
          : this->last_call_ended_at + this->settings.min_read_interval;
  if (now < due) {
    return WaitForRelay{.until = due};
  }
  return ReadFromStore{.wait =
                           this->is_reader ? this->settings.reader_wait : wait};
}

}  // namespace cicadaloft
