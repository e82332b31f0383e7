#include "entry_attempts.h"

#include <algorithm>
#include <string>

#include "cicadaloft/entry/reasons.h"
#include "entry_claims.h"
#include "entry_demand.h"
#include "entry_dispatch.h"
#include "entry_permits.h"
#include "entry_requests.h"
#include "entry_suspects.h"
#include "entry_targets.h"

namespace cicadaloft {
namespace {

/// Attempts of one request that may have run.
constexpr std::uint32_t kMostRunAttempts = 3;

/// A suspect is sent once more, not oftener.
constexpr std::uint32_t kMostSuspectAttempts = 2;

/// Attempts of one request that surely have not run.
constexpr std::uint32_t kMostNotRunAttempts = 40;

/// The first HTTP status that tells of a fault of the target.
constexpr int kServerErrorStatus = 500;

OpenRequest* FindRunning(EntryCore& core,
                         const RequestId& id,
                         AttemptNumber attempt) {
  const auto found = core.requests.find(id);
  const bool is_running = found != core.requests.end() &&
                          found->second.phase == RequestPhase::kRunning &&
                          found->second.attempt == attempt;
  return is_running ? &found->second : nullptr;
}

bool IsSurelyNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kRefused ||
         outcome == AttemptOutcome::kNotLoaded;
}

/// Tells the target's books how the attempt has ended.
void JudgeTarget(EntryCore& core,
                 const OpenRequest& request,
                 const AttemptEnded& event) {
  TargetView& target = *request.running->target;
  const bool is_own_doing =
      request.running->canceled != CancelCause::kNone && request.is_idempotent;
  switch (event.outcome) {
    case AttemptOutcome::kCompleted:
      if (event.http_status < kServerErrorStatus) {
        target.OnGoodAnswer(core.now - request.running->begun);
        core.suspects.OnGoodAnswer(request.arrived.fingerprint);
      }
      return;
    case AttemptOutcome::kRefused:
      target.OnOverload(core.now);
      return;
    case AttemptOutcome::kNotLoaded:
      if (const auto* model = std::get_if<ModelId>(&request.path->key)) {
        target.OnNotLoaded(*model, core.now);
        MarkStale(core, *model);
      }
      return;
    default:
      if (is_own_doing) {
        return;
      }
      target.OnFailure(core.now);
      if (target.ejection().IsEjected(core.now)) {
        core.Log(reason::kEject, request.arrived.request,
                 "target=" + target.id().value());
      }
      NoteBrokenRun(core, request, event.outcome);
  }
}

/// Ends the books of the running attempt.
void CloseAttempt(EntryCore& core, OpenRequest& request) {
  TargetView& target = *request.running->target;
  target.OnEnd();
  --request.path->demand.running;
  FreeRoom(core, request);
  if (request.running->is_suspect) {
    target.RemoveSuspect();
    core.suspects.OnRunEnded(request.arrived.fingerprint);
  }
  request.last_target = &target;
  request.running.reset();
}

Error ErrorFor(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kTimedOut:
      return Fail(ErrorKind::kTargetTimeout, "the target did not answer");
    case AttemptOutcome::kNotSent:
      return Fail(ErrorKind::kTargetUnreachable, "no target can be reached");
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kNotLoaded:
      return Fail(ErrorKind::kNoCapacity, "the targets have no room");
    default:
      return Fail(ErrorKind::kTargetFailed, "the target broke off");
  }
}

/// @return why the request is not sent again; none if it may be.
std::optional<Error> WhyNoRetry(EntryCore& core,
                                const OpenRequest& request,
                                AttemptOutcome outcome) {
  const std::uint64_t fingerprint = request.arrived.fingerprint;
  if (core.suspects.IsBarred(fingerprint, core.now)) {
    return Fail(ErrorKind::kPoisonRequest,
                "targets have died while running this content");
  }
  if (request.deadline <= core.now) {
    return ErrorFor(outcome);
  }
  if (IsSurelyNotRun(outcome)) {
    return request.attempts_not_run < kMostNotRunAttempts
               ? std::nullopt
               : std::optional(ErrorFor(outcome));
  }
  const std::uint32_t most = core.suspects.IsSuspect(fingerprint, core.now)
                                 ? kMostSuspectAttempts
                                 : kMostRunAttempts;
  if (!request.is_idempotent || request.attempts_run >= most) {
    return ErrorFor(outcome);
  }
  const bool is_in_budget =
      !request.customer.has_value() ||
      core.rates[*request.customer].retries.TryTake(core.now);
  return is_in_budget
             ? std::nullopt
             : std::optional(Fail(ErrorKind::kRetryBudgetSpent,
                                  "the customer's retries are used up"));
}

void RetryOrRefuse(EntryCore& core,
                   OpenRequest& request,
                   AttemptOutcome outcome) {
  ++(IsSurelyNotRun(outcome) ? request.attempts_not_run : request.attempts_run);
  ReopenWaiting(core, request);
  if (const std::optional<Error> error = WhyNoRetry(core, request, outcome)) {
    RefuseOpen(core, request, *error, RunState::kNotRun,
               error->kind == ErrorKind::kTargetFailed ||
                       error->kind == ErrorKind::kTargetTimeout
                   ? std::nullopt
                   : std::optional<Duration>(std::chrono::seconds(1)));
    return;
  }
  core.Log(reason::kRetry, request.arrived.request,
           "attempts=" + std::to_string(request.attempt.value()));
  Enqueue(core, request);
}

/// An attempt that was ended from here.
void EndCanceled(EntryCore& core,
                 OpenRequest& request,
                 CancelCause cause,
                 const AttemptEnded& event) {
  const bool has_answer_begun = event.outcome == AttemptOutcome::kDiedStarted;
  if (cause == CancelCause::kCallerGone || has_answer_begun) {
    EndClaim(core, request,
             IsSurelyNotRun(event.outcome) ? ClaimOutcome::kNotRun
                                           : ClaimOutcome::kUnknown,
             0);
    Forget(core, request);
    return;
  }
  request.attempts_run += IsSurelyNotRun(event.outcome) ? 0 : 1;
  ReopenWaiting(core, request);
  RefuseOpen(core, request,
             cause == CancelCause::kKeyWithdrawn
                 ? Fail(ErrorKind::kUnauthenticated, "the key was withdrawn")
                 : Fail(ErrorKind::kTargetTimeout, "lent room had to go back"));
}

void EndAttempt(EntryCore& core,
                OpenRequest& request,
                CancelCause cause,
                const AttemptEnded& event) {
  if (event.outcome == AttemptOutcome::kCompleted) {
    EndClaim(core, request, ClaimOutcome::kRan, event.http_status);
    Forget(core, request);
    return;
  }
  if (cause != CancelCause::kNone) {
    EndCanceled(core, request, cause, event);
    return;
  }
  if (event.outcome == AttemptOutcome::kDiedStarted) {
    core.Log(reason::kTruncated, event.request, "");
    EndClaim(core, request, ClaimOutcome::kUnknown, 0);
    Forget(core, request);
    return;
  }
  RetryOrRefuse(core, request, event.outcome);
}

}  // namespace

void OnStarted(EntryCore& core, const AttemptStarted& event) {
  if (OpenRequest* request = FindRunning(core, event.request, event.attempt)) {
    request->running->has_started = true;
  }
}

void OnEnded(EntryCore& core, const AttemptEnded& event) {
  OpenRequest* request = FindRunning(core, event.request, event.attempt);
  if (request == nullptr) {
    return;
  }
  TargetView& target = *request->running->target;
  Path& path = *request->path;
  const CancelCause cause = request->running->canceled;
  JudgeTarget(core, *request, event);
  CloseAttempt(core, *request);
  NoteDemand(core, path);
  EndAttempt(core, *request, cause, event);
  if (path.WaitingCount() > 0) {
    Pump(core, path);
  }
  PumpTarget(core, target);
  ReturnUnused(core, target.id());
}

}  // namespace cicadaloft
