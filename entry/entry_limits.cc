#include <algorithm>
#include <cstdint>
#include <string>

#include "entry_core.h"

namespace cicadaloft {
namespace {

/// The holder answers within a few ms, or a tenth of a second later where its
/// part of a core is used up for the moment. What has no answer by then is
/// refused.
constexpr Duration kDrawTerm = std::chrono::milliseconds(400);

/// A holder that has ended without a word is replaced within some 4 s; half of
/// that is left on the mean.
constexpr Duration kHolderReturn = std::chrono::seconds(2);

/// After a refusal the holder is not asked for as much again for this time, so
/// that a customer far over its limit costs it little.
constexpr Duration kLongestRefusal = std::chrono::milliseconds(250);

constexpr char kHolderGivesNoMore[] = "the holder gives no more";

}  // namespace

EntryCore::LimitCheck EntryCore::CheckLimit(const OpenRequest& request) {
  if (request.customer == nullptr || request.customer->rate_per_second <= 0) {
    return WithinLimit{};
  }
  Demand& demand = this->demands[request.customer->id];
  demand.cost += request.cost;
  ++demand.requests;
  CustomerShare& share = this->ShareOf(*request.customer);
  // Hosts together would exceed the limit if each let one request through that
  // costs more than its share.
  const bool fits = request.cost <= share.capacity() || this->IsAlone();
  if (fits && share.TryAcquire(request.cost, this->now)) {
    return WithinLimit{};
  }
  if (!this->shares.is_lease_holder_reachable) {
    return this->OverLimit(
        request,
        std::min(share.TimeUntilAvailable(request.cost, this->now),
                 kHolderReturn),
        "the holder is not reached");
  }
  const auto refused = this->refused_draws.find(request.customer->id);
  const bool was_refused = refused != this->refused_draws.end() &&
                           this->now < refused->second.until &&
                           request.cost >= refused->second.cost;
  if (was_refused) {
    return this->OverLimit(request, refused->second.come_back_at - this->now,
                           kHolderGivesNoMore);
  }
  return NeedsDraw{};
}

EntryCore::Refusal EntryCore::OverLimit(const OpenRequest& request,
                                        Duration come_back_in,
                                        const std::string& why) {
  CustomerShare& share = this->ShareOf(*request.customer);
  const auto whole = [](double number) {
    return std::to_string(static_cast<std::int64_t>(number));
  };
  return Refusal{
      .error = MakeError(
          ErrorKind::kRateLimited,
          "over the limit of customer " + request.customer->id.value() +
              ": cost " + whole(request.cost) + ", limit " +
              whole(request.customer->rate_per_second) +
              " a second; of its share of " + whole(share.capacity()) +
              " in the window this host has " +
              whole(share.Remaining(this->now)) + " left, and " + why),
      .come_back_in = come_back_in};
}

void EntryCore::AskForDraw(OpenRequest& request) {
  request.draw_ends_at = std::min(request.gives_up_at, this->now + kDrawTerm);
  this->expiries.emplace(*request.draw_ends_at, request.arrival.request);
  this->effects.emplace_back(QuotaRequest{.host = this->settings.host,
                                          .request = request.arrival.request,
                                          .customer = request.customer->id,
                                          .cost = request.cost});
}

void EntryCore::Take(const QuotaReply& drawn) {
  const auto found = this->requests.find(drawn.request);
  if (found == this->requests.end() || !found->second.draw_ends_at) {
    return;
  }
  OpenRequest& request = found->second;
  this->expiries.erase({*request.draw_ends_at, drawn.request});
  request.draw_ends_at.reset();
  if (drawn.is_granted) {
    request.is_drawn = true;
    this->Accept(request);
    return;
  }
  this->refused_draws[request.customer->id] = RefusedDraw{
      .cost = request.cost,
      .until = this->now + std::min(drawn.retry_after, kLongestRefusal),
      .come_back_at = this->now + drawn.retry_after};
  this->EndDraw(request, drawn.retry_after, kHolderGivesNoMore);
}

// The request is over its limit, or nobody has said that it is not.
void EntryCore::EndDraw(const OpenRequest& request,
                        Duration come_back_in,
                        const std::string& why) {
  this->RefuseArrival(request.arrival,
                      this->OverLimit(request, come_back_in, why));
  this->Close(request);
}

void EntryCore::GiveQuotaBack(const OpenRequest& request) {
  // What was drawn stays spent at the holder: its callers come back sooner than
  // a message about it could be of use.
  const bool is_own = request.customer != nullptr &&
                      request.customer->rate_per_second > 0 &&
                      !request.is_drawn && !request.draw_ends_at;
  if (is_own) {
    this->ShareOf(*request.customer).Refund(request.cost, request.arrived);
  }
}

// Whether no other host takes requests.
bool EntryCore::IsAlone() const {
  return this->shares.host_count <= 1;
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
                          ? this->shares.default_share
                          : granted->share;
  // What all hosts together may be over, each its part, so that a request is
  // not refused for where its customer's share lies. The rest is left for hosts
  // that come and go.
  constexpr double kCreditPart = 0.2;
  const CustomerLimit limit{.rate_per_second = customer.rate_per_second,
                            .burst = customer.burst,
                            .window = this->settings.limit_window};
  const double tolerated =
      limit.MaxCostPerWindow() * this->settings.limit_overshoot +
      (customer.is_limited_by_tokens ? this->settings.limit_slack : 0);
  share.SetUsedBeforeStart(
      this->settings.is_first_start
          ? 0
          : this->shares.usage_before_start.UsedFraction(customer.id));
  share.SetLimit(
      limit, part,
      tolerated * kCreditPart / std::max(1U, this->shares.host_count),
      this->now);
}

}  // namespace cicadaloft
