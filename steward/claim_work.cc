#include "claim_work.h"

#include <algorithm>
#include <variant>

#include "mirror_work.h"

namespace cicadaloft {
namespace {

/// An ask waits so long for a duty that is moving.
constexpr Duration kHoldTime = std::chrono::seconds(2);

std::optional<HostId> OwnerOf(const StewardParts& parts, const ClaimKey& key) {
  const MemberTable& members = parts.ledger().members();
  const std::optional<DutyId> duty = members.ClaimsDutyOf(TextOf(key));
  const DutyHolder* holder =
      duty.has_value() ? members.FindDuty(*duty) : nullptr;
  return holder == nullptr ? std::nullopt
                           : std::optional<HostId>(holder->owner.host);
}

/// @return whether the key's duty is just being taken over or handed over here.
bool IsDutyMoving(const StewardParts& parts, const ClaimKey& key) {
  const MemberTable& members = parts.ledger().members();
  const std::optional<DutyId> duty = members.ClaimsDutyOf(TextOf(key));
  return duty.has_value() && members.Owns(parts.self(), *duty) &&
         parts.MayUseRights() && !parts.IsStopping() &&
         (parts.handovers.contains(*duty) ||
          !parts.collector.IsCollected(*duty));
}

/// Decides the asks whose duty has settled, and refuses those that have waited
/// too long for it.
void WorkOnHeldAsks(StewardParts& parts) {
  std::deque<HeldAsk> held;
  held.swap(parts.held_asks);
  std::ranges::for_each(held, [&](const HeldAsk& waiting) {
    if (parts.now - waiting.since >= kHoldTime) {
      parts.claims.Ask(ViewOfClaims(parts), waiting.from, waiting.ask.claim);
    } else if (IsDutyMoving(parts, waiting.ask.claim.key)) {
      parts.held_asks.push_back(waiting);
    } else {
      TakeClaimAsk(parts, waiting.from, waiting.ask, waiting.is_from_entry);
    }
  });
}

void SendReply(StewardParts& parts, const HostId& to, const ClaimReply& reply) {
  if (to == parts.self().host) {
    parts.SendToEntry(reply);
  } else if (!to.empty()) {
    parts.Send(to, reply);
  }
}

}  // namespace

ClaimView ViewOfClaims(StewardParts& parts) {
  const Ledger& ledger = parts.ledger();
  return ClaimView{
      .self = parts.self(),
      .members = ledger.members(),
      .folded = ledger.claims(),
      .may_use_rights = parts.MayUseRights(),
      .is_outage = parts.IsOutage(),
      .has_linked_mate = parts.ViewOfMates().is_mate_linked,
      .is_stopping = parts.IsStopping(),
      .now = parts.now,
      .is_collected =
          [&parts](const DutyId& duty) {
            return parts.collector.IsCollected(duty) &&
                   !parts.handovers.contains(duty);
          },
      .submit =
          [&parts](const ClaimBody& body) {
            return std::visit(
                [&](const auto& record) { return parts.writer.Submit(record); },
                body);
          }};
}

void TakeClaimAsk(StewardParts& parts,
                  const HostId& from,
                  const ClaimAsk& ask,
                  bool is_from_entry) {
  const HostId asker = is_from_entry ? parts.self().host : from;
  if (IsDutyMoving(parts, ask.claim.key)) {
    parts.held_asks.push_back(HeldAsk{.from = asker,
                                      .ask = ask,
                                      .is_from_entry = is_from_entry,
                                      .since = parts.now});
    return;
  }
  const std::optional<HostId> owner = OwnerOf(parts, ask.claim.key);
  const bool is_elsewhere =
      is_from_entry && owner.has_value() && *owner != parts.self().host;
  if (!is_elsewhere) {
    parts.claims.Ask(ViewOfClaims(parts), asker, ask.claim);
  } else if (!parts.Send(*owner, ask)) {
    parts.SendToEntry(ClaimReply{.key = ask.claim.key,
                                 .request = ask.claim.request,
                                 .verdict = ClaimVerdict::kUnavailable});
  }
}

void TakeClaimFinished(StewardParts& parts,
                       const ClaimFinished& finished,
                       bool is_from_entry) {
  const ClaimOutcomeRecord& outcome = finished.outcome;
  const std::optional<HostId> owner = OwnerOf(parts, outcome.key);
  if (owner == parts.self().host) {
    parts.claims.Finish(ViewOfClaims(parts), outcome);
  } else if (is_from_entry &&
             (!owner.has_value() || !parts.Send(*owner, finished))) {
    // Any member's word on an outcome counts.
    parts.writer.Submit(outcome);
  }
}

void WorkOnClaims(StewardParts& parts) {
  WorkOnHeldAsks(parts);
  parts.claims.Work(ViewOfClaims(parts));
  std::ranges::for_each(
      parts.claims.TakeEffects(), [&](const ClaimEffect& effect) {
        std::visit(Overloaded{
                       [&](const ClaimAnswer& answer) {
                         SendReply(parts, answer.to, answer.reply);
                       },
                       [&](const ClaimMirror& mirror) {
                         TellMates(parts, mirror.sequence);
                       },
                       [&](const DecisionLine& line) { parts.Emit(line); },
                   },
                   effect);
      });
}

}  // namespace cicadaloft
