#include "entry_claims.h"

#include <algorithm>
#include <string>
#include <utility>

#include "cicadaloft/entry/reasons.h"

#include "entry_requests.h"

namespace cicadaloft {
namespace {

/// An unanswered ask is sent again after this time.
constexpr Duration kAskInterval = std::chrono::milliseconds(500);

/// An end is sent again until the ledger shows it, ever less often.
constexpr Duration kFirstEndInterval = std::chrono::milliseconds(500);
constexpr Duration kLongestEndInterval = std::chrono::seconds(8);

/// An end that the ledger does not show is given up after this time. The claim
/// then stays "running" and its key is never run again.
constexpr Duration kEndTerm = std::chrono::minutes(10);

/// @return the host that decides the claim; none while nobody can.
std::optional<HostId> OwnerOf(const EntryCore& core, const ClaimKey& key) {
  const MemberTable& members = core.ledger.members();
  const std::optional<DutyId> duty = members.ClaimsDutyOf(TextOf(key));
  if (!duty.has_value()) {
    return std::nullopt;
  }
  const DutyHolder* holder = members.FindDuty(*duty);
  if (holder == nullptr) {
    return std::nullopt;
  }
  return holder->owner.host;
}

/// Sends to the claims' owner, which may be the own steward.
void SendToOwner(EntryCore& core, const ClaimKey& key, LinkMessage message) {
  const std::optional<HostId> owner = OwnerOf(core, key);
  if (owner.has_value()) {
    core.Send(*owner == core.settings.host ? HostId() : *owner,
              std::move(message));
  }
}

void SendAsk(EntryCore& core, OpenRequest& request) {
  SendToOwner(core, request.claim->key, ClaimAsk{.claim = *request.claim});
  core.claim_asks.emplace(core.now + kAskInterval, request.arrived.request);
}

void SendEnd(EntryCore& core, const ClaimEndKey& key, ClaimEnd& end) {
  SendToOwner(core, key.first, ClaimFinished{.outcome = end.outcome});
  core.claim_ends_due.emplace(core.now + end.interval, key);
  end.interval = std::min(kLongestEndInterval, end.interval * 2);
}

/// @return whether the ledger shows this request's claim as ended, or another
/// request as the key's holder.
bool IsSettled(const EntryCore& core, const ClaimEndKey& key) {
  const Claim* claim = core.ledger.claims().Find(key.first);
  return claim != nullptr && (claim->record.request != key.second ||
                              claim->outcome != ClaimOutcome::kRunning);
}

Error ErrorFor(const ClaimReply& reply) {
  switch (reply.verdict) {
    case ClaimVerdict::kRunning:
      return Fail(ErrorKind::kClaimRunning, "the first request still runs");
    case ClaimVerdict::kFinished:
      return Fail(ErrorKind::kClaimFinished,
                  "the first request has run with status " +
                      std::to_string(reply.http_status));
    case ClaimVerdict::kUnknown:
      return Fail(ErrorKind::kClaimUnknown, "the first request may have run");
    case ClaimVerdict::kMismatch:
      return Fail(ErrorKind::kClaimMismatch,
                  "the key was used for another request");
    default:
      return Fail(ErrorKind::kClaimsUnavailable,
                  "nobody can give the right to run once now");
  }
}

/// The right has come after its request was refused: nothing will run on it.
void EndLateGrant(EntryCore& core, const ClaimReply& reply) {
  const ClaimEndKey key(reply.key, reply.request);
  const auto found = core.claim_ends.find(key);
  if (found != core.claim_ends.end() && !found->second.is_granted) {
    found->second.is_granted = true;
    SendEnd(core, key, found->second);
  }
}

}  // namespace

bool NeedsClaim(const OpenRequest& request) {
  return !request.is_idempotent && request.customer.has_value() &&
         request.arrived.idempotency_key.has_value();
}

void StartClaim(EntryCore& core, OpenRequest& request) {
  const MemberInfo* self = core.ledger.members().Find(core.settings.host);
  request.phase = RequestPhase::kClaiming;
  request.claim.emplace(ClaimRecord{
      .key = ClaimKey{.customer = *request.customer,
                      .idempotency_key = *request.arrived.idempotency_key},
      .fingerprint = request.arrived.fingerprint,
      .request = request.arrived.request,
      .runner =
          self == nullptr ? Member{.host = core.settings.host} : self->member});
  core.Log(reason::kWaitClaim, request.arrived.request, "");
  SendAsk(core, request);
}

void ResendClaims(EntryCore& core) {
  while (!core.claim_asks.empty() &&
         core.claim_asks.begin()->first <= core.now) {
    const RequestId id = core.claim_asks.begin()->second;
    core.claim_asks.erase(core.claim_asks.begin());
    const auto found = core.requests.find(id);
    const bool still_asks = found != core.requests.end() &&
                            found->second.phase == RequestPhase::kClaiming;
    if (still_asks) {
      SendAsk(core, found->second);
    }
  }
  while (!core.claim_ends_due.empty() &&
         core.claim_ends_due.begin()->first <= core.now) {
    const ClaimEndKey key = core.claim_ends_due.begin()->second;
    core.claim_ends_due.erase(core.claim_ends_due.begin());
    const auto found = core.claim_ends.find(key);
    const bool is_over =
        IsSettled(core, key) || found->second.until <= core.now;
    if (is_over) {
      core.claim_ends.erase(found);
    } else if (found->second.is_granted) {
      SendEnd(core, key, found->second);
    } else {
      core.claim_ends_due.emplace(core.now + kLongestEndInterval, key);
    }
  }
}

void EndClaim(EntryCore& core,
              OpenRequest& request,
              ClaimOutcome outcome,
              int http_status) {
  if (!request.claim.has_value()) {
    return;
  }
  const ClaimEndKey key(request.claim->key, request.arrived.request);
  const auto [place, is_new] = core.claim_ends.try_emplace(
      key, ClaimEnd{.outcome = ClaimOutcomeRecord{.key = key.first,
                                                  .request = key.second,
                                                  .outcome = outcome,
                                                  .http_status = http_status},
                    .is_granted = request.has_claim,
                    .until = core.now + kEndTerm,
                    .interval = kFirstEndInterval});
  request.claim.reset();
  if (!is_new) {
    return;
  }
  if (place->second.is_granted) {
    SendEnd(core, key, place->second);
  } else {
    core.claim_ends_due.emplace(core.now + kLongestEndInterval, key);
  }
}

void OnClaimReply(EntryCore& core, const ClaimReply& reply) {
  const auto found = core.requests.find(reply.request);
  const bool is_awaited = found != core.requests.end() &&
                          found->second.phase == RequestPhase::kClaiming &&
                          found->second.claim.has_value() &&
                          found->second.claim->key == reply.key;
  const bool is_granted = reply.verdict == ClaimVerdict::kGranted;
  if (!is_awaited) {
    if (is_granted) {
      EndLateGrant(core, reply);
    }
    return;
  }
  OpenRequest& request = found->second;
  if (is_granted) {
    request.has_claim = true;
    EnqueueNew(core, request);
    return;
  }
  // An ask whose answer was lost may still have been granted if nobody could
  // decide now; in all other cases another request has the key.
  if (reply.verdict != ClaimVerdict::kUnavailable) {
    request.claim.reset();
  }
  const Error error = ErrorFor(reply);
  const ErrorAnswer& answer = AnswerFor(error.kind);
  RefuseOpen(core, request, error, answer.run_state,
             answer.may_retry ? std::optional<Duration>(std::chrono::seconds(1))
                              : std::nullopt);
}

}  // namespace cicadaloft
