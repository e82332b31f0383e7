#include "log_work.h"

#include <algorithm>
#include <memory>
#include <ranges>
#include <set>
#include <utility>

#include "cicadaloft/core/rendezvous.h"
#include "claim_work.h"

namespace cicadaloft {
namespace {

/// Members write a checkpoint one after another until one stands.
constexpr Duration kCheckpointRankDelay = std::chrono::seconds(2);
constexpr Duration kStateRequestInterval = std::chrono::seconds(1);

std::int64_t CheckpointRank(const StewardParts& parts) {
  const std::string key =
      "checkpoint/" + std::to_string(parts.last_checkpoint.value());
  const auto weight = [&](const HostId& host) {
    return RendezvousWeight(key, host.value());
  };
  const std::uint64_t own = weight(parts.self().host);
  return std::ranges::count_if(
      parts.ledger().members().members() | std::views::keys,
      [&](const HostId& host) { return weight(host) > own; });
}

/// @return a linked peer that reads the log, one of the own data centre first.
std::optional<HostId> PickLogMate(const StewardParts& parts) {
  const auto rank = [&](const HostId& peer) {
    const bool is_mate =
        parts.links.DataCentreOf(peer) == parts.settings.data_centre;
    return std::pair(is_mate ? 0 : 1, peer);
  };
  std::optional<HostId> best;
  std::ranges::for_each(parts.links.positions(), [&](const auto& entry) {
    if (entry.second.log_reachable &&
        (!best.has_value() || rank(entry.first) < rank(*best))) {
      best = entry.first;
    }
  });
  return best;
}

/// Asks a peer for what the log no longer has or can't be read for.
void AskForState(StewardParts& parts) {
  const bool is_cut_off =
      !parts.follower.IsLogReachable() || parts.follower.IsMissingRecords();
  if (!is_cut_off || parts.now < parts.next_state_request) {
    return;
  }
  const LogOffset next = parts.ledger().next();
  const auto ahead = std::ranges::find_if(
      parts.links.positions(),
      [&](const auto& entry) { return entry.second.next > next; });
  if (ahead == parts.links.positions().end()) {
    return;
  }
  parts.next_state_request = parts.now + kStateRequestInterval;
  parts.Send(ahead->first, StateRequest{.from = next});
}

void RelayToPeers(StewardParts& parts) {
  const LogOffset next = parts.ledger().next();
  const auto due =
      parts.relay.Due(parts.links, parts.self().host, next, parts.now);
  std::ranges::for_each(due, [&](const auto& peer) {
    parts.Send(peer.first, parts.relay.Answer(peer.second, parts.ledger()));
  });
}

void NoteRecord(StewardParts& parts, const PlacedRecord& placed) {
  const RecordBody& body = placed.record.body;
  const bool gives_up = std::holds_alternative<HandoverRecord>(body) ||
                        std::holds_alternative<LeaveRecord>(body);
  if (gives_up) {
    parts.given_up.insert(FencingToken(placed.offset.value()));
  }
  parts.has_new_hosts = parts.has_new_hosts || gives_up ||
                        std::holds_alternative<JoinRecord>(body) ||
                        std::holds_alternative<EvictRecord>(body);
  if (std::holds_alternative<CheckpointRecord>(body)) {
    parts.last_checkpoint = placed.offset;
    parts.checkpoint_due.reset();
  }
}

std::set<SequenceNumber> OwnRejected(const StewardParts& parts,
                                     const Advance& advance) {
  std::set<SequenceNumber> rejected;
  std::ranges::for_each(advance.rejected, [&](const RejectedRecord& record) {
    if (record.placed.record.writer == parts.self()) {
      rejected.insert(record.placed.record.sequence);
    }
  });
  return rejected;
}

}  // namespace

void TakeAdvance(StewardParts& parts, const Advance& advance) {
  if (advance.applied.empty() && !advance.has_jumped) {
    return;
  }
  const Ledger& ledger = parts.ledger();
  parts.relay.Note(advance);
  if (advance.has_jumped) {
    parts.has_new_hosts = true;
    parts.SendToEntry(parts.relay.Answer(advance.from, ledger));
    parts.last_checkpoint = ledger.next();
  } else {
    parts.SendToEntry(
        RelayRecords{.records = advance.applied, .next = ledger.next()});
  }
  std::ranges::for_each(advance.applied, [&](const PlacedRecord& placed) {
    NoteRecord(parts, placed);
  });
  const SequenceNumber last = ledger.LastSequenceOf(parts.self());
  parts.writer.ReadBack(last);
  parts.lease.NoteReadBack(last);
  if (advance.has_jumped) {
    parts.placement.StartOver();
  }
  parts.placement.ReadBack(last, OwnRejected(parts, advance), parts.now);
  parts.claims.ReadBack(ViewOfClaims(parts), last);
}

void WorkOnCheckpoint(StewardParts& parts) {
  const Ledger& ledger = parts.ledger();
  const std::uint64_t behind =
      ledger.next().value() - parts.last_checkpoint.value();
  if (!parts.IsInForce() || parts.IsStopping() ||
      !parts.follower.IsLogReachable() ||
      behind < parts.settings.checkpoint_records) {
    return;
  }
  if (!parts.checkpoint_due.has_value()) {
    parts.checkpoint_due =
        parts.now + CheckpointRank(parts) * kCheckpointRankDelay;
  }
  if (parts.now < *parts.checkpoint_due) {
    return;
  }
  parts.checkpoint_due = parts.now + std::chrono::seconds(30);
  parts.writer.Submit(
      CheckpointRecord{.offset = ledger.next(),
                       .state = std::make_shared<const Ledger>(ledger)});
}

void WorkOnLog(StewardParts& parts) {
  if (std::optional<ReadLog> read = parts.follower.NextRead()) {
    parts.Emit(*read);
  }
  AskForState(parts);
  RelayToPeers(parts);
  std::vector<LogRecord> batch = parts.writer.TakeBatch(parts.now);
  if (!batch.empty()) {
    parts.Emit(AppendRecords{.records = std::move(batch)});
  }
  if (parts.follower.IsLogReachable() && !parts.writer.IsFailing()) {
    return;
  }
  const std::optional<HostId> mate = PickLogMate(parts);
  if (!mate.has_value()) {
    return;
  }
  if (std::optional<LogRecord> record = parts.writer.TakeForMate(parts.now)) {
    parts.Send(*mate, AppendForMe{.record = *record});
  }
}

}  // namespace cicadaloft
