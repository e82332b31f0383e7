#include "log_follower.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace cicadaloft {

std::optional<ReadLog> LogFollower::NextRead() {
  if (this->is_outstanding) {
    return std::nullopt;
  }
  this->is_outstanding = true;
  this->position = std::max(this->position, this->folded.next());
  return ReadLog{.from = this->position};
}

Advance LogFollower::Read(const LogRead& read) {
  this->is_outstanding = false;
  this->is_reachable = true;
  this->has_read = true;
  if (read.first_kept <= this->folded.next() && !this->is_missing) {
    return this->Fold(read.records, false);
  }
  this->is_missing = true;
  this->position = std::max(this->position, read.next);
  this->Buffer(read.records);
  return this->TakeBufferedCheckpoint();
}

void LogFollower::ReadFailed() {
  this->is_outstanding = false;
  this->is_reachable = false;
}

Advance LogFollower::Relayed(const std::vector<PlacedRecord>& records) {
  return this->Fold(records, false);
}

Advance LogFollower::Transferred(const CheckpointRecord& checkpoint) {
  if (checkpoint.state == nullptr ||
      checkpoint.state->next() <= this->folded.next()) {
    return this->Fold({}, false);
  }
  this->folded = Ledger(*checkpoint.state);
  const std::vector<PlacedRecord> records(this->buffered);
  return this->Fold(records, true);
}

Advance LogFollower::Fold(const std::vector<PlacedRecord>& records,
                          bool has_jumped) {
  const LogOffset from = this->folded.next();
  Step<Ledger, RejectedRecord> step =
      ApplyAll(std::move(this->folded), records);
  this->folded = std::move(step.state);
  std::vector<PlacedRecord> applied;
  std::ranges::copy_if(
      records, std::back_inserter(applied), [&](const PlacedRecord& placed) {
        return placed.offset >= from && placed.offset < this->folded.next();
      });
  const bool is_joined = this->buffered.empty() ||
                         this->folded.next() >= this->buffered.front().offset;
  if (this->is_missing && is_joined && this->folded.next() >= this->position) {
    this->is_missing = false;
    this->buffered.clear();
  }
  return Advance{.from = from,
                 .applied = std::move(applied),
                 .rejected = std::move(step.effects),
                 .has_jumped = has_jumped};
}

void LogFollower::Buffer(const std::vector<PlacedRecord>& records) {
  std::ranges::for_each(records, [this](const PlacedRecord& placed) {
    const bool follows_on =
        this->buffered.empty() ||
        this->buffered.back().offset.Next() == placed.offset;
    const bool is_repeat = !this->buffered.empty() &&
                           placed.offset <= this->buffered.back().offset;
    if (is_repeat) {
      return;
    }
    if (!follows_on) {
      this->buffered.clear();
    }
    this->buffered.push_back(placed);
  });
}

Advance LogFollower::TakeBufferedCheckpoint() {
  const std::vector<PlacedRecord> records(this->buffered);
  const auto usable = std::ranges::find_if(records, [&](const auto& placed) {
    const auto* body = std::get_if<CheckpointRecord>(&placed.record.body);
    return body != nullptr && body->state != nullptr &&
           body->offset >= records.front().offset &&
           body->offset == body->state->next() &&
           body->offset > this->folded.next();
  });
  if (usable == records.end()) {
    return this->Fold(records, false);
  }
  const auto& body = std::get<CheckpointRecord>(usable->record.body);
  this->folded = Ledger(*body.state);
  return this->Fold(records, true);
}

}  // namespace cicadaloft
