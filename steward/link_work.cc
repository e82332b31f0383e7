#include "link_work.h"

#include <algorithm>
#include <ranges>
#include <variant>

#include "claim_work.h"
#include "log_work.h"
#include "member_work.h"
#include "mirror_work.h"
#include "placement_work.h"

namespace cicadaloft {
namespace {

/// Peers of other data centres get each this-th heartbeat.
constexpr std::uint64_t kOutsideHeartbeats = 4;

LogPosition PositionOf(const StewardParts& parts) {
  return LogPosition{
      .next = parts.ledger().next(),
      .log_reachable = parts.follower.IsLogReachable(),
      .applied_by_entry = parts.entry.applied.value_or(parts.ledger().next())};
}

bool IsMate(const StewardParts& parts, const HostId& peer) {
  return parts.links.DataCentreOf(peer) == parts.settings.data_centre;
}

/// One message for this steward.
class MessageTaker {
 public:
  MessageTaker(StewardParts& parts, const HostId& from, bool is_from_entry)
      : parts(parts), from(from), is_from_entry(is_from_entry) {}

  void operator()(const RelayRecords& message) {
    TakeAdvance(this->parts, this->parts.follower.Relayed(message.records));
  }
  void operator()(const LogPosition& message) {
    if (this->is_from_entry) {
      this->parts.entry.applied =
          std::max(message.applied_by_entry, message.next);
      return;
    }
    this->parts.links.SetPosition(this->from, message);
    if (IsMate(this->parts, this->from)) {
      this->parts.lease.NoteMatePosition(this->parts.now);
    }
  }
  void operator()(const StateRequest& message) {
    this->Answer(this->parts.relay.Answer(message.from, this->parts.ledger()));
  }
  void operator()(const StateTransfer& message) {
    TakeAdvance(this->parts,
                this->parts.follower.Transferred(message.checkpoint));
  }
  void operator()(const AppendForMe& message) {
    this->parts.writer.AddForMate(message.record);
  }
  void operator()(const MirrorRecord& message) {
    TakeMirrorRecord(this->parts, this->from, message);
  }
  void operator()(const MirrorAck& message) {
    TakeMirrorAck(this->parts, this->from, message);
  }
  void operator()(const MirrorRequest& message) {
    TakeMirrorRequest(this->parts, this->from, message);
  }
  void operator()(const MirrorReply& message) {
    TakeMirrorReply(this->parts, this->from, message);
  }
  void operator()(const DemandReport& message) {
    if (this->is_from_entry) {
      RouteDemands(this->parts, message);
    } else {
      TakeDemands(this->parts, message);
    }
  }
  void operator()(const ClaimAsk& message) {
    TakeClaimAsk(this->parts, this->from, message, this->is_from_entry);
  }
  void operator()(const ClaimFinished& message) {
    TakeClaimFinished(this->parts, message, this->is_from_entry);
  }
  void operator()(const SuspectNotice& message) {
    if (!this->is_from_entry) {
      this->PassToEntry(message);
      return;
    }
    std::ranges::for_each(
        this->parts.links.peers_up(),
        [&](const HostId& peer) { this->parts.Send(peer, message); });
  }
  void operator()(const ShareLease& /*message*/) {
    // Only the own steward gives one.
  }
  template <typename Message>
  void operator()(const Message& message) {
    // What is left goes between entries; peers' stewards only pass it on.
    if (!this->is_from_entry) {
      this->PassToEntry(message);
    }
  }

 private:
  void PassToEntry(LinkMessage message) {
    this->parts.Emit(
        SendEntry{.envelope = Envelope{.from = this->from,
                                       .to = this->parts.self().host,
                                       .message = std::move(message)}});
  }
  void Answer(LinkMessage message) {
    if (this->is_from_entry) {
      this->parts.SendToEntry(std::move(message));
    } else {
      this->parts.Send(this->from, std::move(message));
    }
  }

  StewardParts& parts;
  const HostId& from;
  bool is_from_entry;
};

void Forward(StewardParts& parts, const Envelope& envelope) {
  if (parts.links.IsUp(envelope.to)) {
    parts.Emit(SendPeer{.envelope = envelope});
  }
}

}  // namespace

void TakePeerChange(StewardParts& parts, const PeerChanged& change) {
  if (change.peer != parts.self().host) {
    parts.links.SetUp(change.peer, change.is_up);
    if (change.is_up) {
      parts.Send(change.peer, PositionOf(parts));
    }
    return;
  }
  parts.entry = EntryLink{.is_up = change.is_up, .applied = LogOffset()};
  if (!change.is_up) {
    return;
  }
  if (parts.ledger().next() > LogOffset()) {
    parts.SendToEntry(parts.relay.Answer(LogOffset(), parts.ledger()));
  }
  WorkOnShareLease(parts, true);
}

void TakeLinkMessage(StewardParts& parts, const StewardLinkReceived& received) {
  const Envelope& envelope = received.envelope;
  const HostId& self = parts.self().host;
  const bool is_for_self = envelope.to.empty() || envelope.to == self;
  if (!is_for_self && received.from_entry) {
    parts.Send(envelope.to, envelope.message);
  } else if (!is_for_self) {
    Forward(parts, envelope);
  } else {
    std::visit(MessageTaker(parts, envelope.from, received.from_entry),
               envelope.message);
  }
}

bool WorkOnLinks(StewardParts& parts) {
  if (parts.has_new_hosts) {
    parts.has_new_hosts = false;
    std::ranges::for_each(parts.links.Update(parts.ledger().members()),
                          [&](const HoldLink& change) { parts.Emit(change); });
  }
  if (parts.now < parts.next_heartbeat) {
    return false;
  }
  parts.next_heartbeat = parts.now + parts.settings.heartbeat_interval;
  const bool reaches_outside = parts.heartbeats++ % kOutsideHeartbeats == 0;
  std::ranges::for_each(parts.links.peers_up(), [&](const HostId& peer) {
    if (reaches_outside || IsMate(parts, peer)) {
      parts.Send(peer, PositionOf(parts));
    }
  });
  return true;
}

}  // namespace cicadaloft
