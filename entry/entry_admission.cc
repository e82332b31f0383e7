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
  this->BudgetOf(admitted.line.service).OnRequest();
  this->CountUse(admitted);
  const LineKey line = admitted.line;
  const RequestId id = arrived.request;
  this->requests.emplace(id, std::move(admitted));
  this->Enqueue(this->requests.at(id));
  this->Pump(line);
  const auto found = this->requests.find(id);
  if (found != this->requests.end() && !found->second.is_running) {
    this->LogWait(found->second);
  }
}

void EntryCore::RefuseArrival(const RequestArrived& arrived,
                              const Refusal& refusal) {
  const ErrorAnswer& answer = AnswerFor(refusal.error.kind);
  std::optional<Duration> retry_after;
  if (answer.may_retry) {
    retry_after = std::max(kLeastRetryAfter, refusal.come_back_in);
  }
  this->Log(
      reasons::kRefuse, arrived.caller_id,
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
    return Refusal{Fail(ErrorKind::kStopping, "this host stops")};
  }
  if (!this->configuration) {
    return Refusal{
        Fail(ErrorKind::kNotConfigured, "no configuration is known yet")};
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
  request.line =
      LineKey{.service = PickService(*request.route,
                                     StableHash(arrived.caller_id.value())),
              .model = arrived.model};
  const Duration time = std::min(request.route->timeout, arrived.deadline);
  request.ends_at = this->now + time;
  const Duration patience = std::min(time, request.route->patience);
  request.gives_up_at = std::min(
      this->waits_end,
      this->now + std::chrono::duration_cast<Duration>(patience * kWaitPart));
  if (auto error = this->CheckCustomer(request)) {
    return Refusal{*error};
  }
  if (this->suspects.IsBarred(arrived.fingerprint, this->now)) {
    return Refusal{Fail(ErrorKind::kPoisonRequest,
                        "several targets have died running this request")};
  }
  if (auto refusal = this->TakeQuota(request)) {
    return *refusal;
  }
  return request;
}

Result<const Route*> EntryCore::FindRoute(const RequestArrived& arrived) const {
  const ActiveConfiguration& active = *this->configuration;
  const Route* route = nullptr;
  if (const auto* place = std::get_if<ByPlace>(&arrived.destination)) {
    route = active.FindRoute(place->host, place->path);
  } else if (const auto* named = std::get_if<ByRoute>(&arrived.destination)) {
    route = active.FindRoute(named->route);
  } else if (const Service* service =
                 arrived.model ? active.FindServiceOfModel(arrived.model->model)
                               : nullptr) {
    const auto& routes = active.value().routes;
    const auto found = std::ranges::find_if(routes, [&](const Route& item) {
      return std::ranges::any_of(item.shares, [&](const RouteShare& share) {
        return share.service == service->id;
      });
    });
    route = found == routes.end() ? nullptr : &*found;
  }
  if (route == nullptr) {
    return Fail(ErrorKind::kUnknownRoute, "no route matches host and path");
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
    return Fail(ErrorKind::kUnauthenticated, "the key is not known");
  }
  const Customer& customer = *request.customer;
  request.cost = customer.counts_tokens
                     ? request.arrival.tokens.value_or(customer.plain_tokens)
                     : 1;
  return std::nullopt;
}

std::optional<EntryCore::Refusal> EntryCore::TakeQuota(
    const OpenRequest& request) {
  if (request.customer == nullptr || request.customer->rate_per_second <= 0) {
    return std::nullopt;
  }
  this->demands[request.customer->id] += request.cost;
  CustomerShare& share = this->ShareOf(*request.customer);
  if (share.TryTake(request.cost, this->now)) {
    return std::nullopt;
  }
  const auto whole = [](double number) {
    return std::to_string(static_cast<std::int64_t>(number));
  };
  return Refusal{
      .error = Fail(
          ErrorKind::kRateLimited,
          "over the limit of customer " + request.customer->id.value() +
              ": cost " + whole(request.cost) + ", spent " +
              whole(share.Spent(this->now)) + " of " + whole(share.capacity()) +
              " in the window, limit " +
              whole(request.customer->rate_per_second) + " a second, share " +
              whole(share.share() * 1000) + " of 1000"),
      .come_back_in = share.TimeUntil(request.cost, this->now)};
}

void EntryCore::GiveQuotaBack(const OpenRequest& request) {
  if (request.customer != nullptr && request.customer->rate_per_second > 0) {
    this->ShareOf(*request.customer).GiveBack(request.cost, request.arrived);
  }
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
  const double hosts = std::max(1U, this->shares.hosts);
  budget.Set(this->settings.retry_ratio, this->settings.retry_slack / hosts);
}

CustomerShare& EntryCore::ShareOf(const Customer& customer) {
  const auto found = this->customer_shares.find(customer.id);
  if (found != this->customer_shares.end()) {
    return found->second;
  }
  CustomerShare& share =
      this->customer_shares.emplace(customer.id, CustomerShare(this->began))
          .first->second;
  this->SetShare(customer, share);
  return share;
}

void EntryCore::SetAllShares() {
  for (auto& [id, share] : this->customer_shares) {
    if (const Customer* customer = this->configuration->FindCustomer(id)) {
      this->SetShare(*customer, share);
    }
  }
}

void EntryCore::SetShare(const Customer& customer, CustomerShare& share) const {
  const auto granted = std::ranges::find(this->shares.customers, customer.id,
                                         &GrantedShare::customer);
  const double part = granted == this->shares.customers.end()
                          ? this->shares.usual_share
                          : granted->share;
  // What all hosts together may be over, each its part, so that a request is
  // not refused for where its customer's share lies. The rest is left for hosts
  // that come and go.
  constexpr double kCreditPart = 0.2;
  const CustomerLimit limit{.rate_per_second = customer.rate_per_second,
                            .burst = customer.burst,
                            .window = this->settings.limit_window};
  const double tolerated =
      limit.Allowed() * this->settings.limit_overshoot +
      (customer.counts_tokens ? this->settings.limit_slack : 0);
  share.SetSpentBefore(this->settings.is_first_start
                           ? 0
                           : this->shares.spent_before.PartOf(customer.id));
  share.Set(limit, part,
            tolerated * kCreditPart / std::max(1U, this->shares.hosts),
            this->now);
}

std::optional<Duration> EntryCore::RetryAfter(const OpenRequest& request,
                                              ErrorKind kind) {
  if (!AnswerFor(kind).may_retry) {
    return std::nullopt;
  }
  Duration wait = kLeastRetryAfter;
  if (request.line.model) {
    const auto expected =
        this->whereabouts.ExpectedAt(*request.line.model, this->now);
    if (expected) {
      wait = std::max(wait, *expected - this->now);
    }
  }
  return wait;
}

}  // namespace cicadaloft
