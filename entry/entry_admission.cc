#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/entry/event_names.h"
#include "entry_core.h"
#include "request_fingerprints.h"

namespace cicadaloft {
namespace {

/// Fraction of a request's time limit that it may wait in a queue. The
/// remainder is for the run: a request that waits longer is seldom answered in
/// time.
constexpr double kMaxWaitFraction = 0.6;

/// A request that arrives later than this after a shutdown request is refused,
/// since it might still run when the process exits.
constexpr Duration kAcceptDurationAfterStop = std::chrono::milliseconds(2800);
/// The same as a fraction of the grace period, for short ones.
constexpr double kAcceptFractionAfterStop = 0.4;

/// Minimum Retry-After, so that callers don't retry before anything can have
/// changed.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);

// Whether a newer configuration may have the key or route that is missing.
bool FollowsFromConfiguration(const Error& error) {
  return error.kind == ErrorKind::kUnknownRoute ||
         error.kind == ErrorKind::kUnauthenticated;
}

}  // namespace

void EntryCore::Handle(const RequestArrived& arrived) {
  this->TakeArrival(arrived, this->now);
}

void EntryCore::TakeArrival(const RequestArrived& arrived,
                            TimePoint arrived_at) {
  const std::optional<Refusal> refusal =
      arrived.forwarded_by ? this->CheckForwarded() : std::nullopt;
  if (refusal) {
    this->RefuseArrival(arrived, *refusal);
  } else if (this->IsVersionUnknowable(arrived)) {
    this->RefuseOutdated(arrived);
  } else if (this->IsOutdatedFor(arrived)) {
    this->HoldForConfiguration(arrived, arrived_at);
  } else if (this->IsForwarderBehind(arrived) &&
             this->HoldForForwarder(arrived, arrived_at)) {
    return;
  } else {
    this->DecideAdmission(arrived, arrived_at);
  }
}

void EntryCore::DecideAdmission(const RequestArrived& arrived,
                                TimePoint arrived_at) {
  Admission admission = this->Admit(arrived, arrived_at);
  if (const auto* refusal = std::get_if<Refusal>(&admission)) {
    if (this->lag.IsBehind() && FollowsFromConfiguration(refusal->error)) {
      this->RefuseAsBehind(arrived);
    } else {
      this->RefuseArrival(arrived, *refusal);
    }
    return;
  }
  OpenRequest& admitted = std::get<OpenRequest>(admission);
  if (this->UsesDetours()) {
    this->RetryBudgetOf(admitted.queue_key.service).OnRequest();
    this->TakeDetour(
        this->requests.emplace(arrived.request, std::move(admitted))
            .first->second);
    return;
  }
  const LimitCheck check = this->CheckLimit(admitted);
  if (const auto* refusal = std::get_if<Refusal>(&check)) {
    this->RefuseArrival(arrived, *refusal);
    return;
  }
  OpenRequest& request =
      this->requests.emplace(arrived.request, std::move(admitted))
          .first->second;
  if (std::holds_alternative<NeedsQuota>(check)) {
    this->RequestQuota(request);
  } else {
    this->EnqueueAdmitted(request);
  }
}

// Takes a request that its customer's limit allows.
void EntryCore::EnqueueAdmitted(OpenRequest& request) {
  if (NeedsOrigin(request)) {
    this->FindOrigin(request);
  } else {
    this->EnqueueForTarget(request);
  }
}

// Counts a request and queues it for a target.
void EntryCore::EnqueueForTarget(OpenRequest& request) {
  const QueueKey queue_key = request.queue_key;
  const RequestId id = request.arrival.request;
  // The host that received it from its caller has counted it.
  if (!request.arrival.forwarded_by) {
    this->RetryBudgetOf(queue_key.service).OnRequest();
  }
  this->AssignPlace(request);
  this->RecordUsage(request);
  this->Enqueue(request);
  this->DispatchFromQueue(queue_key);
  const auto found = this->requests.find(id);
  if (found != this->requests.end() && !found->second.is_running &&
      !this->EstimateWait(found->second)) {
    this->LogWait(found->second);
  }
}

void EntryCore::RefuseArrival(const RequestArrived& arrived,
                              const Refusal& refusal) {
  const ErrorInfo& info = GetErrorInfo(refusal.error.kind);
  std::optional<Duration> retry_after;
  if (info.is_retryable) {
    retry_after = std::max(kMinRetryAfter, refusal.retry_after);
  }
  std::vector<LogField> fields = {
      {"kind", info.token},
      {"message", refusal.error.message},
      {"configuration", this->lag.adopted().value()},
      {"newest_known", this->lag.newest().value()}};
  std::ranges::move(ForwardedFields(arrived), std::back_inserter(fields));
  this->Log(event_names::kRefuse, arrived.caller_request_id, std::move(fields));
  this->effects.emplace_back(
      Refuse{.request = arrived.request,
             .error = refusal.error,
             .run_state = info.run_state,
             .retry_after = retry_after,
             .configuration = this->lag.adopted(),
             .takes_other_requests = this->TakesOtherRequests(arrived)});
}

TimePoint EntryCore::AcceptDeadline() const {
  const auto fraction = std::chrono::duration_cast<Duration>(
      this->stop_grace_period * kAcceptFractionAfterStop);
  return this->stop_requested_at +
         std::min<Duration>(kAcceptDurationAfterStop, fraction);
}

EntryCore::Admission EntryCore::Admit(const RequestArrived& arrived,
                                      TimePoint arrived_at) {
  if (this->is_stopping && this->now > this->AcceptDeadline()) {
    return Refusal{
        MakeError(ErrorKind::kStopping, "this host is shutting down")};
  }
  if (!this->configuration) {
    return Refusal{MakeError(ErrorKind::kNotConfigured,
                             "no configuration has been received yet")};
  }
  const Result<const Route*> route = this->FindRoute(arrived);
  if (!IsOk(route)) {
    return Refusal{ErrorOf(route)};
  }
  OpenRequest request{.arrival = arrived,
                      .arrived_at = arrived_at,
                      .sequence_number = ++this->last_sequence_number,
                      .configuration = this->configuration,
                      .route = ValueOf(route)};
  request.queue_key = QueueKey{
      .service = PickService(*request.route,
                             StableHash(arrived.caller_request_id.value())),
      .model = arrived.model};
  const Duration timeout = std::min(request.route->timeout, arrived.timeout);
  request.response_deadline = arrived_at + timeout;
  const Duration caller_timeout =
      std::min(timeout, request.route->caller_timeout);
  request.wait_deadline =
      std::min(this->stop_wait_deadline,
               arrived_at + std::chrono::duration_cast<Duration>(
                                caller_timeout * kMaxWaitFraction));
  if (auto error = this->CheckCustomer(request)) {
    return Refusal{*error};
  }
  request.fingerprints = FingerprintsOf(arrived);
  if (auto error = this->CheckPoison(request)) {
    return Refusal{*error};
  }
  return request;
}

Result<const Route*> EntryCore::FindRoute(const RequestArrived& arrived) const {
  const ActiveConfiguration& active = *this->configuration;
  const Route* route = nullptr;
  if (const auto* location = std::get_if<ByHostAndPath>(&arrived.destination)) {
    route = active.FindRoute(location->host, location->path);
  } else if (const auto* by_id = std::get_if<ByRoute>(&arrived.destination)) {
    route = active.FindRoute(by_id->route);
  } else if (const Service* service =
                 arrived.model ? active.FindServiceOfModel(arrived.model->model)
                               : nullptr) {
    const auto& routes = active.value().routes;
    const auto found = std::ranges::find_if(routes, [&](const Route& item) {
      return std::ranges::any_of(item.services,
                                 [&](const WeightedService& weighted) {
                                   return weighted.service == service->id;
                                 });
    });
    route = found == routes.end() ? nullptr : &*found;
  }
  if (route == nullptr) {
    return MakeError(
        ErrorKind::kUnknownRoute,
        "no route matches the request's host and path, route id or model");
  }
  return route;
}

std::optional<Error> EntryCore::CheckCustomer(OpenRequest& request) {
  if (request.route->is_public) {
    return std::nullopt;
  }
  // Without configured customers no key can match, so none is required.
  if (this->configuration->value().customers.empty()) {
    return std::nullopt;
  }
  request.customer =
      this->configuration->FindCustomerByKey(request.arrival.credential);
  if (request.customer == nullptr) {
    return MakeError(
        ErrorKind::kUnauthenticated,
        "the credential is not the key of any configured customer");
  }
  const Customer& customer = *request.customer;
  request.cost = customer.is_limited_by_tokens
                     ? request.arrival.tokens.value_or(customer.default_tokens)
                     : 1;
  return std::nullopt;
}

RetryBudget& EntryCore::RetryBudgetOf(const ServiceId& service) {
  const auto [entry, is_new] =
      this->retry_budgets.try_emplace(service, this->settings.is_first_start);
  if (is_new) {
    this->UpdateRetryBudget(entry->second);
  }
  return entry->second;
}

// Sets this host's share of the retries that all hosts may send.
void EntryCore::UpdateRetryBudget(RetryBudget& budget) const {
  const double host_count = std::max(1U, this->shares.host_count);
  budget.SetLimits(this->settings.retry_ratio,
                   this->settings.retry_slack / host_count);
}

std::optional<Duration> EntryCore::RetryAfter(const OpenRequest& request,
                                              ErrorKind kind) {
  if (!GetErrorInfo(kind).is_retryable) {
    return std::nullopt;
  }
  Duration wait = kMinRetryAfter;
  if (const auto expected = this->ExpectedReadyAt(request.queue_key)) {
    wait = std::max(wait, *expected - this->now);
  }
  return request.ranked_place ? this->RankedRetryAfter(request, wait) : wait;
}

}  // namespace cicadaloft
