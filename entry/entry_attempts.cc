#include <algorithm>

#include "cicadaloft/entry/event_names.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// Delay before a request may be sent again to a target that was overloaded or
/// lacked the model. An earlier attempt would only use up the retry budget.
constexpr Duration kTransientAvoidanceDuration = std::chrono::milliseconds(150);

bool MayHaveRun(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kShed:
    case AttemptOutcome::kOutdatedHost:
    case AttemptOutcome::kNotLoaded:
    case AttemptOutcome::kOtherInstance:
      return false;
    case AttemptOutcome::kCompleted:
    case AttemptOutcome::kErrorResponse:
    case AttemptOutcome::kBrokenBeforeResponse:
    case AttemptOutcome::kBrokenDuringResponse:
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kOversizedResponse:
    case AttemptOutcome::kMemoryLimit:
    case AttemptOutcome::kCancelled:
      return true;
  }
  return true;
}

Error ErrorAfter(AttemptOutcome outcome, const std::string& name) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
      return MakeError(ErrorKind::kTargetUnreachable, name + " is unreachable");
    case AttemptOutcome::kShed:
      return MakeError(ErrorKind::kQueueFull,
                       name + " is overloaded and has not run the request");
    case AttemptOutcome::kOutdatedHost:
      return MakeError(ErrorKind::kOutdatedConfiguration,
                       name + " has an older configuration than this host");
    case AttemptOutcome::kNotLoaded:
    case AttemptOutcome::kOtherInstance:
      return MakeError(
          ErrorKind::kNoCapacity,
          name + " no longer has the model or was replaced by another process");
    case AttemptOutcome::kTimedOut:
      return MakeError(ErrorKind::kTargetTimeout,
                       name + " did not respond in time");
    default:
      return MakeError(ErrorKind::kTargetFailed,
                       name + " sent an error or no complete response");
  }
}

}  // namespace

void EntryCore::Handle(const ResponseStarted& started) {
  const auto found = this->requests.find(started.request);
  if (found == this->requests.end() ||
      found->second.attempt != started.attempt) {
    return;
  }
  const bool is_direct = !found->second.via_host;
  if (started.has_run && is_direct && !found->second.has_response_started) {
    this->CountStarted(found->second);
  }
  if (is_direct) {
    this->reachability.OnSign(started.request, found->second.target, this->now);
  }
  found->second.has_response_started = true;
  found->second.response_started_at = this->now;
  this->RecordNotice(found->second, started.notice);
  this->RecordAnswer(found->second, started.notice);
  const auto target = this->targets.find(found->second.target);
  if (target != this->targets.end() && started.load) {
    target->second.OnLoadReport(*started.load, this->now);
  }
  if (target != this->targets.end() &&
      target->second.record().instance == found->second.instance) {
    this->RecordStart(found->second, started, target->second);
  }
}

void EntryCore::Handle(const AttemptEnded& ended) {
  const auto found = this->requests.find(ended.request);
  if (found == this->requests.end() || !found->second.is_running ||
      found->second.attempt != ended.attempt) {
    return;
  }
  OpenRequest& request = found->second;
  this->RecordOutcome(request, ended);
  request.is_running = false;
  this->expiries.erase({request.response_deadline, ended.request});
  if (ended.outcome == AttemptOutcome::kCompleted ||
      ended.outcome == AttemptOutcome::kCancelled ||
      request.has_response_started) {
    this->Close(request);
  } else {
    this->HandleFailure(request, ended);
  }
  this->DispatchFromAllQueues();
}

// Logs the outcome and updates the state of the target.
void EntryCore::RecordOutcome(const OpenRequest& request,
                              const AttemptEnded& ended) {
  std::vector<LogField> fields = {
      {request.via_host ? "host" : "target",
       request.via_host ? request.via_host->value() : request.target.value()},
      {"attempt", request.attempt.value()},
      {"outcome", ToString(ended.outcome)},
      {"status", ended.http_status},
      {"response_bytes", ended.response_bytes},
      {"response_ms", request.has_response_started
                          ? this->now - request.response_started_at
                          : Duration::zero()},
      {"total_ms", this->now - request.arrived_at}};
  if (request.via_host) {
    fields.emplace_back("host_configuration",
                        ended.host_configuration
                            ? std::to_string(ended.host_configuration->value())
                            : "-");
  }
  this->Log(event_names::kAttemptEnded, request.arrival.caller_request_id,
            std::move(fields));
  if (request.via_host) {
    this->RecordDetour(request, ended);
    return;
  }
  this->RecordLinks(request, ended);
  this->RecordPoisonEvidence(request, ended);
  const auto found = this->targets.find(request.target);
  if (found == this->targets.end() ||
      found->second.record().instance != request.instance) {
    return;
  }
  TargetView& target = found->second;
  target.OnRequestEnd();
  this->RecordRun(request, ended, target);
  this->RecordNotice(request, ended.notice);
  const bool is_answer = ended.http_status != 0 &&
                         !request.has_response_started &&
                         ended.outcome != AttemptOutcome::kOtherInstance;
  if (is_answer) {
    this->RecordAnswer(request, ended.notice);
  }
  if (ended.load) {
    target.OnLoadReport(*ended.load, this->now);
  }
  switch (ended.outcome) {
    case AttemptOutcome::kCompleted:
      target.OnSuccess();
      break;
    case AttemptOutcome::kShed:
      this->RecordShed(request, ended, target);
      break;
    case AttemptOutcome::kNotLoaded:
      if (request.queue_key.model) {
        this->model_locations.OnDenial(request.target, *request.queue_key.model,
                                       ModelLocations::kDenialTtl, this->now);
      }
      break;
    case AttemptOutcome::kOutdatedHost:
    case AttemptOutcome::kMemoryLimit:
    case AttemptOutcome::kCancelled:
      break;
    default:
      if (!this->AreLinksBlamed()) {
        target.OnFailure(this->now);
      }
      break;
  }
}

// The target's own words take effect at once; the registry may show the same
// seconds later.
void EntryCore::RecordNotice(const OpenRequest& request,
                             const TargetNotice& notice) {
  const auto found = this->targets.find(request.target);
  if (notice == TargetNotice{} || found == this->targets.end() ||
      found->second.record().instance != request.instance) {
    return;
  }
  TargetView& target = found->second;
  const bool is_resting_already = target.notices().IsResting(this->now);
  if (target.OnNotice(notice, this->now)) {
    this->Log(event_names::kTargetLeaving, request.arrival.caller_request_id,
              {{"target", request.target.value()},
               {"instance", request.instance.value()}});
    this->effects.emplace_back(TargetLeavingReport{
        .target = request.target, .instance = request.instance});
  }
  if (target.notices().IsResting(this->now) && !is_resting_already) {
    this->Log(event_names::kTargetRests, request.arrival.caller_request_id,
              {{"target", request.target.value()},
               {"rest_ms", target.notices().resting_until() - this->now}});
  }
}

// A target that sheds a request although it has free slots is not overloaded:
// it refuses the model, because a load or unload order for that model is in
// progress.
void EntryCore::RecordShed(const OpenRequest& request,
                           const AttemptEnded& ended,
                           TargetView& target) {
  const bool has_free_slots =
      ended.load &&
      ended.load->running + ended.load->waiting < target.record().slots;
  const auto brittle = this->BrittleTargetOf(target);
  if (brittle && !(request.queue_key.model && has_free_slots)) {
    target.brittle_bound().OnRejection(*brittle, target.in_flight(), this->now);
    return;
  }
  if (request.queue_key.model && (has_free_slots || !this->IsFull(target))) {
    this->model_locations.OnDenial(request.target, *request.queue_key.model,
                                   ModelLocations::kShortDenialTtl, this->now);
  } else {
    target.OnOverload(this->now);
  }
}

void EntryCore::HandleFailure(OpenRequest& request, const AttemptEnded& ended) {
  const bool may_have_run = MayHaveRun(ended.outcome);
  request.run_count += may_have_run ? 1 : 0;
  this->RecordAvoidance(request, ended.outcome);
  if (const auto error = this->FinalError(request, ended)) {
    this->RefuseOpenRequest(request, *error);
    this->Close(request);
    return;
  }
  // A host that is outdated has sent it to no target.
  const bool was_delivered = ended.outcome != AttemptOutcome::kNotSent &&
                             ended.outcome != AttemptOutcome::kOutdatedHost;
  const bool may_be_links_fault = may_have_run && !request.via_host;
  if (may_be_links_fault &&
      this->reachability.links() == TargetLinks::kSuspected) {
    request.suspended_after = ended.outcome;
    this->expiries.emplace(request.wait_deadline, request.arrival.request);
    return;
  }
  const bool is_links_fault = may_be_links_fault && this->UsesDetours();
  // How often brittle targets reject is bounded by what is sent to them.
  const bool is_bounded = ended.outcome == AttemptOutcome::kShed &&
                          ended.notice.rejection_limit.has_value();
  request.delivery_count +=
      was_delivered && !is_links_fault && !is_bounded ? 1 : 0;
  this->TryRetry(request, ended.outcome, request.delivery_count > 0);
}

// A target that is only overloaded, or lacks the model at present, may serve
// the request later.
void EntryCore::RecordAvoidance(OpenRequest& request,
                                AttemptOutcome outcome) const {
  if (request.via_host) {
    request.tried_hosts.insert(*request.via_host);
    return;
  }
  const bool is_transient =
      outcome == AttemptOutcome::kShed || outcome == AttemptOutcome::kNotLoaded;
  request.avoided_until[request.target] =
      is_transient ? this->now + kTransientAvoidanceDuration : TimePoint::max();
}

// @return the error with which a request ends that must not be sent again.
std::optional<Error> EntryCore::FinalError(const OpenRequest& request,
                                           const AttemptEnded& ended) const {
  // Another host would find the customer over its limit as well.
  constexpr int kTooManyRequests = 429;
  if (request.via_host && ended.outcome == AttemptOutcome::kShed &&
      ended.http_status == kTooManyRequests) {
    return MakeError(ErrorKind::kRateLimited,
                     request.DestinationText() + " reports that the customer " +
                         "is over its rate limit");
  }
  if (MayHaveRun(ended.outcome) && !this->MayRunAgain(request)) {
    return ErrorAfter(ended.outcome, request.DestinationText());
  }
  return std::nullopt;
}

void EntryCore::TryRetry(OpenRequest& request,
                         AttemptOutcome outcome,
                         bool needs_budget) {
  const std::optional<Error> poison = this->CheckPoison(request);
  const bool has_budget =
      !needs_budget ||
      this->RetryBudgetOf(request.queue_key.service).TryAcquire();
  if (poison || !has_budget || this->now >= request.wait_deadline) {
    this->RefuseOpenRequest(request, poison.value_or(ErrorAfter(
                                         outcome, request.DestinationText())));
    this->Close(request);
    return;
  }
  if (this->NeedsDetour(request)) {
    this->TakeDetour(request);
  } else {
    this->Enqueue(request);
  }
}

bool EntryCore::MayRunAgain(const OpenRequest& request) const {
  return request.route->retry_policy != RetryPolicy::kAtMostOnce &&
         request.run_count < request.route->max_runs;
}

void EntryCore::RefuseOpenRequest(const OpenRequest& request,
                                  const Error& error) {
  // A request that may have run must not be reported as not run.
  const bool contradicts_run =
      request.run_count > 0 &&
      GetErrorInfo(error.kind).run_state == RunState::kNotRun;
  const Error reported =
      contradicts_run
          ? MakeError(ErrorKind::kTargetFailed,
                      error.message + "; an earlier attempt may have run")
          : error;
  if (request.run_count == 0) {
    this->RefundCost(request);
  }
  this->Log(
      event_names::kRefuse, request.arrival.caller_request_id,
      {{"kind", GetErrorInfo(reported.kind).token},
       {"message", reported.message},
       {"model",
        request.queue_key.model ? request.queue_key.model->ToString() : "-"},
       {"rank", request.RankText()},
       {"waited_ms", this->now - request.arrived_at},
       {"runs", request.run_count}});
  this->effects.emplace_back(Refuse{
      .request = request.arrival.request,
      .error = reported,
      .run_state = GetErrorInfo(reported.kind).run_state,
      .retry_after = this->RetryAfter(request, reported.kind),
      .configuration = request.configuration->version(),
      .takes_other_requests = this->TakesOtherRequests(request.arrival)});
}

void EntryCore::Handle(const CallerDisconnected& disconnected) {
  const auto found = this->requests.find(disconnected.request);
  if (found == this->requests.end()) {
    this->held_arrivals.erase(disconnected.request);
    return;
  }
  const OpenRequest& request = found->second;
  this->Log(event_names::kCallerDisconnected, request.arrival.caller_request_id,
            {{"is_running", request.is_running ? "yes" : "no"},
             {"total_ms", this->now - request.arrived_at}});
  if (request.is_running) {
    // The AttemptEnded event closes the request.
    this->effects.emplace_back(CancelAttempt{.request = disconnected.request,
                                             .attempt = request.attempt});
    return;
  }
  this->RefundCost(request);
  this->Close(request);
}

void EntryCore::HandleExpired() {
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
      request.run_count += 1;
      this->effects.emplace_back(
          CancelAttempt{.request = id, .attempt = request.attempt});
      this->RefuseOpenRequest(
          request, MakeError(ErrorKind::kTargetTimeout,
                             "no complete response within the time limit"));
      continue;
    }
    this->RefuseExpired(request);
  }
}

// Ends a request that has waited too long for a target, for quota or for the
// origin of a stream.
void EntryCore::RefuseExpired(const OpenRequest& request) {
  const Error stopping = MakeError(
      ErrorKind::kStopping,
      "this host is shutting down and no target could accept the request early "
      "enough");
  const bool is_late = this->now >= this->stop_wait_deadline;
  if (request.quota_deadline) {
    this->RefuseWithoutQuota(request, Duration::zero(),
                             "the lease holder has not replied in time");
  } else if (request.origin_deadline) {
    this->RefuseTakeUp(
        request, is_late
                     ? stopping
                     : MakeError(ErrorKind::kStreamOriginUnreachable,
                                 "the version that began the stream could not "
                                 "be looked up in time"));
  } else {
    this->RefuseOpenRequest(
        request, is_late ? stopping
                         : MakeError(ErrorKind::kNoCapacity,
                                     "no target could accept the request "
                                     "within its maximum wait time"));
    this->Close(request);
  }
}

void EntryCore::Close(const OpenRequest& request) {
  const RequestId id = request.arrival.request;
  this->expiries.erase({request.wait_deadline, id});
  this->expiries.erase({request.response_deadline, id});
  if (request.quota_deadline) {
    this->expiries.erase({*request.quota_deadline, id});
  }
  if (request.origin_deadline) {
    this->expiries.erase({*request.origin_deadline, id});
  }
  if (!request.is_running) {
    this->RemoveFromQueue(request);
  }
  this->requests.erase(id);
}

}  // namespace cicadaloft
