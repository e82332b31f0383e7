#include "cicadaloft/claims/claim_owner.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "cicadaloft/core/control_reasons.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft {
namespace {

using std::chrono::seconds;

/// A claim that neither log nor mates have confirmed by then is refused.
constexpr Duration kGrantTime = seconds(5);
/// Mates that have not acknowledged a claim are told again.
constexpr Duration kMirrorRetry = seconds(1);
constexpr Duration kOrphanInterval = seconds(5);

bool OwnsClaimsOf(const ClaimView& view, const ClaimKey& key) {
  const std::optional<DutyId> duty = view.members.ClaimsDutyOf(TextOf(key));
  return duty.has_value() && view.members.Owns(view.self, *duty);
}

bool MayDecide(const ClaimView& view, const ClaimKey& key) {
  return view.may_use_rights && !view.is_stopping && OwnsClaimsOf(view, key) &&
         view.is_collected(*view.members.ClaimsDutyOf(TextOf(key)));
}

}  // namespace

void ClaimOwner::Ask(const ClaimView& view,
                     const HostId& from,
                     const ClaimRecord& asked) {
  const bool is_alone = view.is_outage && !view.has_linked_mate;
  if (!MayDecide(view, asked.key) || is_alone) {
    this->Refuse(from, asked);
    return;
  }
  const auto found = this->pending.find(asked.key);
  if (found != this->pending.end()) {
    Pending& before = found->second;
    const Claim claim{
        .record = before.record,
        .offset = LogOffset(),
        .outcome = before.outcome.has_value() ? before.outcome->outcome
                                              : ClaimOutcome::kRunning,
        .http_status =
            before.outcome.has_value() ? before.outcome->http_status : 0};
    const std::optional<ClaimVerdict> verdict = VerdictFor(claim, asked);
    if (verdict == ClaimVerdict::kGranted && !before.is_granted) {
      before.asker = from;
    } else if (verdict.has_value()) {
      this->Answer(from, asked, *verdict, claim.http_status);
    } else {
      this->Begin(view, from, asked);
    }
    return;
  }
  const Claim* claim = view.folded.Find(asked.key);
  const std::optional<ClaimVerdict> verdict =
      claim == nullptr ? std::nullopt : VerdictFor(*claim, asked);
  if (verdict.has_value()) {
    this->Answer(from, asked, *verdict, claim->http_status);
    return;
  }
  this->Begin(view, from, asked);
}

void ClaimOwner::Begin(const ClaimView& view,
                       const HostId& from,
                       const ClaimRecord& asked) {
  const SequenceNumber sequence = view.submit(asked);
  this->pending.erase(asked.key);
  this->pending.emplace(asked.key, Pending{.record = asked,
                                           .asker = from,
                                           .sequence = sequence,
                                           .since = view.now});
  this->MirrorWaiting(view);
}

void ClaimOwner::Finish(const ClaimView& view,
                        const ClaimOutcomeRecord& outcome) {
  const auto found = this->pending.find(outcome.key);
  if (found != this->pending.end() &&
      found->second.record.request == outcome.request) {
    this->SetOutcome(view, found->second, outcome);
    return;
  }
  const Claim* claim = view.folded.Find(outcome.key);
  if (claim != nullptr && claim->record.request == outcome.request &&
      claim->outcome == ClaimOutcome::kRunning) {
    const SequenceNumber sequence = view.submit(outcome);
    this->pending.emplace(outcome.key, Pending{.record = claim->record,
                                               .sequence = sequence,
                                               .since = view.now,
                                               .is_granted = true,
                                               .outcome = outcome,
                                               .outcome_sequence = sequence});
    if (view.is_outage) {
      this->effects.emplace_back(ClaimMirror{.sequence = sequence});
    }
  }
}

void ClaimOwner::SetOutcome(const ClaimView& view,
                            Pending& pending,
                            const ClaimOutcomeRecord& outcome) {
  if (pending.outcome.has_value()) {
    return;
  }
  pending.outcome.emplace(outcome);
  pending.outcome_sequence = view.submit(outcome);
  if (view.is_outage) {
    this->effects.emplace_back(
        ClaimMirror{.sequence = pending.outcome_sequence});
  }
}

void ClaimOwner::ReadBack(const ClaimView& view, SequenceNumber last) {
  std::ranges::for_each(this->pending | std::views::values,
                        [&](Pending& pending) {
                          if (pending.sequence <= last) {
                            this->Settle(view, pending);
                          }
                        });
  std::erase_if(this->pending, [&](const auto& entry) {
    const Pending& pending = entry.second;
    const bool has_ended =
        !pending.outcome.has_value() || pending.outcome_sequence <= last;
    return pending.sequence <= last && has_ended;
  });
  std::erase_if(this->ending,
                [&](const auto& entry) { return entry.second <= last; });
}

void ClaimOwner::Settle(const ClaimView& view, Pending& pending) {
  if (pending.is_granted || pending.outcome.has_value()) {
    return;
  }
  const Claim* claim = view.folded.Find(pending.record.key);
  if (claim != nullptr && claim->record == pending.record) {
    this->Grant(pending);
    return;
  }
  // Another owner's claim came first, or the duty has moved.
  const std::optional<ClaimVerdict> verdict =
      claim == nullptr ? std::nullopt : VerdictFor(*claim, pending.record);
  this->Answer(pending.asker, pending.record,
               verdict.value_or(ClaimVerdict::kUnavailable),
               claim == nullptr ? 0 : claim->http_status);
  pending.is_granted = true;
}

void ClaimOwner::Grant(Pending& pending) {
  pending.is_granted = true;
  this->Answer(pending.asker, pending.record, ClaimVerdict::kGranted);
  this->effects.emplace_back(
      DecisionLine{.reason = reasons::kClaimGranted,
                   .request = pending.record.request,
                   .detail = "runner=" + pending.record.runner.host.value()});
}

void ClaimOwner::Mirrored(const ClaimView& view, SequenceNumber sequence) {
  const auto found = std::ranges::find_if(
      this->pending,
      [&](const auto& entry) { return entry.second.sequence == sequence; });
  if (found == this->pending.end()) {
    return;
  }
  Pending& pending = found->second;
  if (!pending.is_granted && !pending.outcome.has_value() &&
      MayDecide(view, pending.record.key)) {
    this->Grant(pending);
  }
}

void ClaimOwner::TakeMirrored(const ClaimView& view, const ClaimBody& body) {
  std::visit(Overloaded{
                 [&](const ClaimRecord& record) {
                   const Claim* claim = view.folded.Find(record.key);
                   const bool is_free = claim == nullptr ||
                                        claim->outcome == ClaimOutcome::kNotRun;
                   if (!is_free || this->pending.contains(record.key)) {
                     return;
                   }
                   this->pending.emplace(
                       record.key, Pending{.record = record,
                                           .sequence = view.submit(record),
                                           .since = view.now,
                                           .is_granted = true});
                 },
                 [&](const ClaimOutcomeRecord& outcome) {
                   this->Finish(view, outcome);
                 },
             },
             body);
}

void ClaimOwner::StartOver(const ClaimView& /*view*/) {
  std::ranges::for_each(this->pending | std::views::values,
                        [this](const Pending& pending) {
                          if (!pending.is_granted && !pending.outcome) {
                            this->Refuse(pending.asker, pending.record);
                          }
                        });
  this->pending.clear();
  this->ending.clear();
}

void ClaimOwner::Work(const ClaimView& view) {
  this->GiveUpLate(view);
  this->MirrorWaiting(view);
  if (view.now >= this->next_orphans) {
    this->next_orphans = view.now + kOrphanInterval;
    this->EndOrphans(view);
  }
}

void ClaimOwner::GiveUpLate(const ClaimView& view) {
  std::ranges::for_each(this->pending, [&](auto& entry) {
    Pending& pending = entry.second;
    if (pending.is_granted || pending.outcome.has_value() ||
        view.now - pending.since < kGrantTime) {
      return;
    }
    this->Refuse(pending.asker, pending.record);
    // The claim may stand in the log one day: it must not hold its key then.
    this->SetOutcome(view, pending,
                     ClaimOutcomeRecord{.key = pending.record.key,
                                        .request = pending.record.request,
                                        .outcome = ClaimOutcome::kNotRun});
  });
}

void ClaimOwner::MirrorWaiting(const ClaimView& view) {
  if (!view.is_outage) {
    return;
  }
  std::ranges::for_each(this->pending, [&](auto& entry) {
    Pending& pending = entry.second;
    if (pending.is_granted || pending.outcome.has_value() ||
        view.now - pending.mirrored < kMirrorRetry) {
      return;
    }
    pending.mirrored = view.now;
    this->effects.emplace_back(ClaimMirror{.sequence = pending.sequence});
  });
}

void ClaimOwner::EndOrphans(const ClaimView& view) {
  std::ranges::for_each(
      view.folded.claims() | std::views::values, [&](const Claim& claim) {
        const ClaimKey& key = claim.record.key;
        if (claim.outcome != ClaimOutcome::kRunning ||
            view.members.IsInForce(claim.record.runner) ||
            this->pending.contains(key) || this->ending.contains(key) ||
            !MayDecide(view, key)) {
          return;
        }
        const SequenceNumber sequence =
            view.submit(ClaimOutcomeRecord{.key = key,
                                           .request = claim.record.request,
                                           .outcome = ClaimOutcome::kUnknown});
        this->ending.emplace(key, sequence);
        this->effects.emplace_back(DecisionLine{
            .reason = reasons::kClaimOrphaned,
            .request = claim.record.request,
            .detail = "runner=" + claim.record.runner.host.value()});
      });
}

bool ClaimOwner::IsQuiet() const {
  return std::ranges::all_of(
      this->pending | std::views::values, [](const Pending& pending) {
        return pending.is_granted || pending.outcome.has_value();
      });
}

void ClaimOwner::Answer(const HostId& to,
                        const ClaimRecord& asked,
                        ClaimVerdict verdict,
                        int http_status) {
  this->effects.emplace_back(
      ClaimAnswer{.to = to,
                  .reply = ClaimReply{.key = asked.key,
                                      .request = asked.request,
                                      .verdict = verdict,
                                      .http_status = http_status}});
}

void ClaimOwner::Refuse(const HostId& to, const ClaimRecord& asked) {
  this->Answer(to, asked, ClaimVerdict::kUnavailable);
  this->effects.emplace_back(DecisionLine{.reason = reasons::kClaimUnavailable,
                                          .request = asked.request,
                                          .detail = ""});
}

std::vector<ClaimEffect> ClaimOwner::TakeEffects() {
  std::vector<ClaimEffect> taken;
  taken.swap(this->effects);
  return taken;
}

}  // namespace cicadaloft
