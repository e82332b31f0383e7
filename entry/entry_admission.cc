#include <algorithm>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/entry/reasons.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// Part of the time that a request has which it may wait unserved. What is
/// left is for the run; a wait beyond it seldom ends with an answer in time.
constexpr double kWaitPart = 0.6;

/// What arrives later after a stop was asked for may not end in time.
constexpr Duration kTakesAfterStop = std::chrono::milliseconds(2800);

/// A caller that is told to come back is told at least this, so that it does
/// not come back before anything can have changed.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(200);

}  // namespace

void EntryCore::Take(const RequestArrived& arrived) {
  Admission admission = this->Admit(arrived);
  if (const auto* refusal = std::get_if<Refusal>(&admission)) {
    this->RefuseArrival(arrived, *refusal);
    return;
  }
  OpenRequest& admitted = std::get<OpenRequest>(admission);
  const LimitCheck check = this->CheckLimit(admitted);
  if (const auto* refusal = std::get_if<Refusal>(&check)) {
    this->RefuseArrival(arrived, *refusal);
    return;
  }
  OpenRequest& request =
      this->requests.emplace(arrived.request, std::move(admitted))
          .first->second;
  if (std::holds_alternative<NeedsDraw>(check)) {
    this->AskForDraw(request);
  } else {
    this->Accept(request);
  }
}

// The request counts against its limit and waits for a target.
void EntryCore::Accept(OpenRequest& request) {
  const LineKey line = request.line;
  const RequestId id = request.arrival.request;
  this->BudgetOf(line.service).OnRequest();
  this->CountUse(request);
  this->Enqueue(request);
  this->Pump(line);
  const auto found = this->requests.find(id);
  if (found != this->requests.end() && !found->second.is_running) {
    this->LogWait(found->second);
  }
}

void EntryCore::RefuseArrival(const RequestArrived& arrived,
                              const Refusal& refusal) {
  const ErrorInfo& answer = GetErrorInfo(refusal.error.kind);
  std::optional<Duration> retry_after;
  if (answer.is_retryable) {
    retry_after = std::max(kLeastRetryAfter, refusal.come_back_in);
  }
  this->Log(
      reasons::kRefuse, arrived.caller_request_id,
      {{"kind", answer.token},
       {"message", refusal.error.message},
       {"configuration",
        this->configuration ? this->configuration->version().value() : 0}});
  this->effects.emplace_back(Refuse{.request = arrived.request,
                                    .error = refusal.error,
                                    .run_state = answer.run_state,
                                    .retry_after = retry_after});
}

EntryCore::Admission EntryCore::Admit(const RequestArrived& arrived) {
  if (this->is_stopping && this->now - this->stopped_at > kTakesAfterStop) {
    return Refusal{MakeError(ErrorKind::kStopping, "this host stops")};
  }
  if (!this->configuration) {
    return Refusal{
        MakeError(ErrorKind::kNotConfigured, "no configuration is known yet")};
  }
  const Result<const Route*> route = this->FindRoute(arrived);
  if (!IsOk(route)) {
    return Refusal{ErrorOf(route)};
  }
  OpenRequest request{.arrival = arrived,
                      .arrived = this->now,
                      .number = ++this->last_number,
                      .configuration = this->configuration,
                      .route = ValueOf(route)};
  request.line = LineKey{
      .service = PickService(*request.route,
                             StableHash(arrived.caller_request_id.value())),
      .model = arrived.model};
  const Duration time = std::min(request.route->timeout, arrived.deadline);
  request.ends_at = this->now + time;
  const Duration caller_timeout = std::min(time, request.route->caller_timeout);
  request.gives_up_at = std::min(
      this->waits_end, this->now + std::chrono::duration_cast<Duration>(
                                       caller_timeout * kWaitPart));
  if (auto error = this->CheckCustomer(request)) {
    return Refusal{*error};
  }
  if (this->suspects.IsBlocked(arrived.fingerprint, this->now)) {
    return Refusal{MakeError(ErrorKind::kPoisonRequest,
                             "several targets have died running this request")};
  }
  return request;
}

Result<const Route*> EntryCore::FindRoute(const RequestArrived& arrived) const {
  const ActiveConfiguration& active = *this->configuration;
  const Route* route = nullptr;
  if (const auto* place = std::get_if<ByHostAndPath>(&arrived.destination)) {
    route = active.FindRoute(place->host, place->path);
  } else if (const auto* named = std::get_if<ByRoute>(&arrived.destination)) {
    route = active.FindRoute(named->route);
  } else if (const Service* service =
                 arrived.model ? active.FindServiceOfModel(arrived.model->model)
                               : nullptr) {
    const auto& routes = active.value().routes;
    const auto found = std::ranges::find_if(routes, [&](const Route& item) {
      return std::ranges::any_of(item.services,
                                 [&](const WeightedService& share) {
                                   return share.service == service->id;
                                 });
    });
    route = found == routes.end() ? nullptr : &*found;
  }
  if (route == nullptr) {
    return MakeError(ErrorKind::kUnknownRoute,
                     "no route matches host and path");
  }
  return route;
}

std::optional<Error> EntryCore::CheckCustomer(OpenRequest& request) {
  if (request.route->is_public) {
    return std::nullopt;
  }
  // Without customers no key can be known, and none is asked for.
  if (this->configuration->value().customers.empty()) {
    return std::nullopt;
  }
  request.customer =
      this->configuration->FindCustomerByKey(request.arrival.credential);
  if (request.customer == nullptr) {
    return MakeError(ErrorKind::kUnauthenticated, "the key is not known");
  }
  const Customer& customer = *request.customer;
  request.cost = customer.is_limited_by_tokens
                     ? request.arrival.tokens.value_or(customer.default_tokens)
                     : 1;
  return std::nullopt;
}

RetryBudget& EntryCore::BudgetOf(const ServiceId& service) {
  const auto [place, is_new] =
      this->budgets.try_emplace(service, this->settings.is_first_start);
  if (is_new) {
    this->SetBudget(place->second);
  }
  return place->second;
}

// This host's part of the repeats that all hosts may send.
void EntryCore::SetBudget(RetryBudget& budget) const {
  const double hosts = std::max(1U, this->shares.host_count);
  budget.SetLimits(this->settings.retry_ratio,
                   this->settings.retry_slack / hosts);
}

std::optional<Duration> EntryCore::RetryAfter(const OpenRequest& request,
                                              ErrorKind kind) {
  if (!GetErrorInfo(kind).is_retryable) {
    return std::nullopt;
  }
  Duration wait = kLeastRetryAfter;
  if (request.line.model) {
    const auto expected =
        this->whereabouts.ExpectedReadyAt(*request.line.model, this->now);
    if (expected) {
      wait = std::max(wait, *expected - this->now);
    }
  }
  return wait;
}

}  // namespace cicadaloft
