#include <algorithm>

#include "cicadaloft/entry/reasons.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// A request comes back to a target that could not take it after this time:
/// sooner it would only spend the budget of repeats.
constexpr Duration kPassingAvoidance = std::chrono::milliseconds(150);

bool MayHaveRun(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kShed:
    case AttemptOutcome::kNotLoaded:
    case AttemptOutcome::kOtherInstance:
      return false;
    case AttemptOutcome::kCompleted:
    case AttemptOutcome::kErrorResponse:
    case AttemptOutcome::kBrokenBeforeResponse:
    case AttemptOutcome::kBrokenDuringResponse:
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kCancelled:
      return true;
  }
  return true;
}

Error ErrorAfter(AttemptOutcome outcome, const TargetId& target) {
  const std::string who = "target " + target.value();
  switch (outcome) {
    case AttemptOutcome::kNotSent:
      return MakeError(ErrorKind::kTargetUnreachable,
                       who + " can't be reached");
    case AttemptOutcome::kShed:
      return MakeError(ErrorKind::kQueueFull, who + " has no room");
    case AttemptOutcome::kNotLoaded:
    case AttemptOutcome::kOtherInstance:
      return MakeError(ErrorKind::kNoCapacity,
                       who + " can't serve it any more");
    case AttemptOutcome::kTimedOut:
      return MakeError(ErrorKind::kTargetTimeout,
                       who + " did not answer in time");
    default:
      return MakeError(ErrorKind::kTargetFailed, who + " gave no whole answer");
  }
}

}  // namespace

void EntryCore::Take(const ResponseStarted& started) {
  const auto found = this->requests.find(started.request);
  if (found == this->requests.end() ||
      found->second.attempt != started.attempt) {
    return;
  }
  found->second.has_started = true;
  const auto target = this->targets.find(found->second.target);
  if (target != this->targets.end() && started.load) {
    target->second.OnLoadReport(*started.load, this->now);
  }
}

void EntryCore::Take(const AttemptEnded& ended) {
  const auto found = this->requests.find(ended.request);
  if (found == this->requests.end() || !found->second.is_running ||
      found->second.attempt != ended.attempt) {
    return;
  }
  OpenRequest& request = found->second;
  this->Note(request, ended);
  request.is_running = false;
  this->expiries.erase({request.ends_at, ended.request});
  if (ended.outcome == AttemptOutcome::kCompleted ||
      ended.outcome == AttemptOutcome::kCancelled || request.has_started) {
    this->Close(request);
  } else {
    this->TakeFailure(request, ended);
  }
  this->PumpAll();
}

// Updates what is known of the target.
void EntryCore::Note(const OpenRequest& request, const AttemptEnded& ended) {
  this->Log(reasons::kAttemptEnded, request.arrival.caller_request_id,
            {{"target", request.target.value()},
             {"attempt", request.attempt.value()},
             {"outcome", ToString(ended.outcome)},
             {"status", ended.http_status},
             {"total_ms", this->now - request.arrived}});
  const auto found = this->targets.find(request.target);
  if (found == this->targets.end() ||
      found->second.record().instance != request.instance) {
    return;
  }
  TargetView& target = found->second;
  target.OnRequestEnd();
  if (ended.load) {
    target.OnLoadReport(*ended.load, this->now);
  }
  const bool has_broken =
      ended.outcome == AttemptOutcome::kBrokenBeforeResponse ||
      ended.outcome == AttemptOutcome::kBrokenDuringResponse;
  if (has_broken) {
    this->TellDeaths(this->suspects.OnBrokenAttempt(
        BrokenAttempt{.fingerprint = request.arrival.fingerprint,
                      .target = request.target,
                      .instance = request.instance,
                      .had_response_started = request.has_started},
        this->now));
  }
  switch (ended.outcome) {
    case AttemptOutcome::kCompleted:
      target.OnSuccess();
      this->suspects.OnSuccess(request.arrival.fingerprint);
      break;
    case AttemptOutcome::kShed:
      this->NoteShed(request, ended, target);
      break;
    case AttemptOutcome::kNotLoaded:
      if (request.line.model) {
        this->whereabouts.OnDenial(request.target, *request.line.model,
                                   ModelLocations::kDenialTtl, this->now);
      }
      break;
    case AttemptOutcome::kNotSent:
      this->TellDeaths(this->suspects.OnTargetCrashed(request.target,
                                                      std::nullopt, this->now));
      target.OnFailure(this->now);
      break;
    case AttemptOutcome::kCancelled:
      break;
    default:
      target.OnFailure(this->now);
      break;
  }
}

void EntryCore::TellDeaths(const std::vector<TargetCrash>& deaths) {
  for (const TargetCrash& death : deaths) {
    this->Log(
        reasons::kTargetCrash, RequestId(),
        {{"target", death.target.value()}, {"fingerprint", death.fingerprint}});
    this->effects.emplace_back(TargetCrashReport{
        .fingerprint = death.fingerprint, .target = death.target});
  }
}

void EntryCore::Take(const TargetCrashReport& notice) {
  this->suspects.OnCrashReport(
      TargetCrash{.fingerprint = notice.fingerprint, .target = notice.target},
      this->now);
}

// A target with free slots refuses the model, not the work: an order concerns
// it.
void EntryCore::NoteShed(const OpenRequest& request,
                         const AttemptEnded& ended,
                         TargetView& target) {
  const bool has_slots =
      ended.load &&
      ended.load->running + ended.load->waiting < target.record().slots;
  if (request.line.model && (has_slots || !this->IsFull(target))) {
    this->whereabouts.OnDenial(request.target, *request.line.model,
                               ModelLocations::kShortDenialTtl, this->now);
  } else {
    target.OnOverload(this->now);
  }
}

void EntryCore::TakeFailure(OpenRequest& request, const AttemptEnded& ended) {
  const bool may_have_run = MayHaveRun(ended.outcome);
  request.runs += may_have_run ? 1 : 0;
  // A target that is merely full, or lacks the model for now, may serve it
  // later on.
  const bool is_passing = ended.outcome == AttemptOutcome::kShed ||
                          ended.outcome == AttemptOutcome::kNotLoaded;
  request.avoided[request.target] =
      is_passing ? this->now + kPassingAvoidance : TimePoint::max();
  if (may_have_run && !this->MayRunAgain(request)) {
    this->RefuseOpen(request, ErrorAfter(ended.outcome, request.target));
    this->Close(request);
    return;
  }
  const bool has_arrived = ended.outcome != AttemptOutcome::kNotSent;
  request.arrivals += has_arrived ? 1 : 0;
  this->TrySendAgain(request, ended, request.arrivals > 0);
}

void EntryCore::TrySendAgain(OpenRequest& request,
                             const AttemptEnded& ended,
                             bool needs_budget) {
  const bool is_barred =
      this->suspects.IsBlocked(request.arrival.fingerprint, this->now);
  const bool has_budget =
      !needs_budget || this->BudgetOf(request.line.service).TryAcquire();
  if (is_barred || !has_budget || this->now >= request.gives_up_at) {
    this->RefuseOpen(
        request, is_barred ? MakeError(ErrorKind::kPoisonRequest,
                                       "several targets have died running this")
                           : ErrorAfter(ended.outcome, request.target));
    this->Close(request);
    return;
  }
  this->Enqueue(request);
}

bool EntryCore::MayRunAgain(const OpenRequest& request) const {
  return request.route->retry_policy != RetryPolicy::kAtMostOnce &&
         request.runs < request.route->max_runs;
}

void EntryCore::RefuseOpen(const OpenRequest& request, const Error& error) {
  // What may have run must not be said not to have.
  const bool is_false = request.runs > 0 &&
                        GetErrorInfo(error.kind).run_state == RunState::kNotRun;
  const Error said = is_false
                         ? MakeError(ErrorKind::kTargetFailed,
                                     error.message + "; an earlier run broke")
                         : error;
  if (request.runs == 0) {
    this->GiveQuotaBack(request);
  }
  this->Log(
      reasons::kRefuse, request.arrival.caller_request_id,
      {{"kind", GetErrorInfo(said.kind).token},
       {"message", said.message},
       {"model", request.line.model ? request.line.model->ToString() : "-"},
       {"waited_ms", this->now - request.arrived},
       {"runs", request.runs}});
  this->effects.emplace_back(
      Refuse{.request = request.arrival.request,
             .error = said,
             .run_state = GetErrorInfo(said.kind).run_state,
             .retry_after = this->RetryAfter(request, said.kind)});
}

void EntryCore::Take(const CallerDisconnected& gone) {
  const auto found = this->requests.find(gone.request);
  if (found == this->requests.end()) {
    return;
  }
  const OpenRequest& request = found->second;
  this->Log(reasons::kCallerDisconnected, request.arrival.caller_request_id,
            {{"is_running", request.is_running ? "yes" : "no"},
             {"total_ms", this->now - request.arrived}});
  if (request.is_running) {
    // The attempt's end closes the request.
    this->effects.emplace_back(
        CancelAttempt{.request = gone.request, .attempt = request.attempt});
    return;
  }
  this->GiveQuotaBack(request);
  this->Close(request);
}

void EntryCore::EndExpired() {
  while (!this->expiries.empty() &&
         this->expiries.begin()->first <= this->now) {
    const RequestId id = this->expiries.begin()->second;
    this->expiries.erase(this->expiries.begin());
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
      continue;
    }
    OpenRequest& request = found->second;
    if (request.is_running) {
      request.runs += 1;
      this->effects.emplace_back(
          CancelAttempt{.request = id, .attempt = request.attempt});
      this->RefuseOpen(request,
                       MakeError(ErrorKind::kTargetTimeout,
                                 "no whole answer within the time limit"));
      continue;
    }
    if (request.draw_ends_at) {
      this->EndDraw(request, Duration::zero(), "the holder has not answered");
      continue;
    }
    this->RefuseOpen(
        request, MakeError(ErrorKind::kNoCapacity,
                           "no target could take it within the time to wait"));
    this->Close(request);
  }
}

void EntryCore::Close(const OpenRequest& request) {
  const RequestId id = request.arrival.request;
  this->expiries.erase({request.gives_up_at, id});
  this->expiries.erase({request.ends_at, id});
  if (request.draw_ends_at) {
    this->expiries.erase({*request.draw_ends_at, id});
  }
  if (!request.is_running) {
    this->LeaveLine(request);
  }
  this->requests.erase(id);
}

}  // namespace cicadaloft
