#include "mirror_work.h"

#include <algorithm>
#include <variant>

#include "claim_work.h"
#include "placement_work.h"

namespace cicadaloft {
namespace {

/// A decision on loads needs one mate that knows it; a claim needs all linked
/// ones, since any of them may have to answer for it.
void Judge(StewardParts& parts, SequenceNumber sequence) {
  const MirrorTally& tally = parts.tallies.at(sequence);
  const MateView view = parts.ViewOfMates();
  if (!tally.acknowledged.empty() || view.is_only_member) {
    parts.placement.Mirrored(sequence, parts.now);
  }
  const std::vector<HostId> mates = parts.LinkedMates();
  const bool know_all = std::ranges::all_of(mates, [&](const HostId& mate) {
    return tally.acknowledged.contains(mate);
  });
  if (!tally.acknowledged.empty() && know_all) {
    parts.claims.Mirrored(ViewOfClaims(parts), sequence);
  }
}

}  // namespace

void TellMates(StewardParts& parts, SequenceNumber sequence) {
  const std::optional<LogRecord> record = parts.writer.Find(sequence);
  if (!record.has_value()) {
    return;
  }
  MirrorTally& tally = parts.tallies[sequence];
  std::ranges::for_each(parts.LinkedMates(), [&](const HostId& mate) {
    tally.told.insert(mate);
    parts.Send(mate, MirrorRecord{.record = *record});
  });
  Judge(parts, sequence);
}

void TakeMirrorRecord(StewardParts& parts,
                      const HostId& from,
                      const MirrorRecord& mirror) {
  if (parts.mirrors.Hold(parts.ledger(), mirror.record)) {
    parts.Send(from, MirrorAck{.sequence = mirror.record.sequence});
  }
}

void TakeMirrorAck(StewardParts& parts,
                   const HostId& from,
                   const MirrorAck& ack) {
  const auto found = parts.tallies.find(ack.sequence);
  if (found != parts.tallies.end()) {
    found->second.acknowledged.insert(from);
    Judge(parts, ack.sequence);
  }
}

void TakeMirrorRequest(StewardParts& parts,
                       const HostId& from,
                       const MirrorRequest& request) {
  parts.Send(from, MirrorReply{.duty = request.duty,
                               .records = parts.mirrors.HandOver(
                                   parts.ledger(), request.duty, from)});
}

void TakeMirrorReply(StewardParts& parts,
                     const HostId& from,
                     const MirrorReply& reply) {
  std::ranges::for_each(reply.records, [&](const LogRecord& record) {
    std::visit(Overloaded{
                   [&](const PlacementRecord& body) {
                     parts.placement.TakeMirrored(ViewOfPlacement(parts), body);
                   },
                   [&](const ClaimRecord& body) {
                     parts.claims.TakeMirrored(ViewOfClaims(parts), body);
                   },
                   [&](const ClaimOutcomeRecord& body) {
                     parts.claims.TakeMirrored(ViewOfClaims(parts), body);
                   },
                   [](const auto&) {},
               },
               record.body);
  });
  parts.collector.Replied(from, reply.duty);
}

void WorkOnMirrors(StewardParts& parts) {
  const MemberTable& members = parts.ledger().members();
  std::ranges::for_each(
      parts.collector.Work(members, parts.self(), parts.settings.data_centre,
                           parts.now),
      [&](const auto& ask) {
        parts.Send(ask.first, MirrorRequest{.duty = ask.second});
      });
  parts.mirrors.Prune(parts.ledger(), parts.now);
  std::erase_if(parts.tallies, [&](const auto& tally) {
    return !parts.writer.IsQueued(tally.first);
  });
}

}  // namespace cicadaloft
