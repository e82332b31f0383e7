#include <algorithm>
#include <cstdint>
#include <string>

#include "cicadaloft/core/rendezvous.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// The lease holder replies within a few ms, or 100 ms later if its CPU quota
/// is used up for the moment. A request without a reply by then is refused.
constexpr Duration kQuotaReplyTimeout = std::chrono::milliseconds(400);

/// Maximum Retry-After while no lease holder is reachable. A holder that has
/// crashed is replaced within about 4 s; on average half of that remains.
constexpr Duration kMaxRetryAfterWithoutHolder = std::chrono::seconds(2);

/// Maximum time after a denial in which the same cost or more is not requested
/// again, so that a customer far over its limit causes little load on the lease
/// holder.
constexpr Duration kMaxQuotaDenialDuration = std::chrono::milliseconds(250);

constexpr char kQuotaDenied[] = "the lease holder grants no more";

}  // namespace

EntryCore::LimitCheck EntryCore::CheckLimit(const OpenRequest& request) {
  if (request.customer == nullptr || request.customer->rate_per_second <= 0) {
    return WithinLimit{};
  }
  Demand& demand = this->demands[request.customer->id];
  demand.cost += request.cost;
  ++demand.requests;
  CustomerShare& share = this->ShareOf(*request.customer);
  // All hosts together would exceed the limit if each admitted one request that
  // costs more than its share.
  const bool fits = request.cost <= share.capacity() || this->IsOnlyHost();
  if (fits && share.TryAcquire(request.cost, this->now)) {
    return WithinLimit{};
  }
  if (!this->shares.is_lease_holder_reachable) {
    return this->MakeLimitRefusal(
        request,
        std::min(share.TimeUntilAvailable(request.cost, this->now),
                 kMaxRetryAfterWithoutHolder),
        "no lease holder is reachable to grant more");
  }
  const auto denied = this->denied_quotas.find(request.customer->id);
  const bool was_denied = denied != this->denied_quotas.end() &&
                          this->now < denied->second.until &&
                          request.cost >= denied->second.cost;
  if (was_denied) {
    return this->MakeLimitRefusal(request, denied->second.retry_at - this->now,
                                  kQuotaDenied);
  }
  return NeedsQuota{};
}

EntryCore::Refusal EntryCore::MakeLimitRefusal(const OpenRequest& request,
                                               Duration retry_after,
                                               const std::string& reason) {
  CustomerShare& share = this->ShareOf(*request.customer);
  const auto to_text = [](double number) {
    return std::to_string(static_cast<std::int64_t>(number));
  };
  return Refusal{
      .error = MakeError(
          ErrorKind::kRateLimited,
          "rate limit exceeded for customer " + request.customer->id.value() +
              ": request cost " + to_text(request.cost) + ", limit " +
              to_text(request.customer->rate_per_second) +
              " per second; this host's share of a window is " +
              to_text(share.capacity()) + ", of which " +
              to_text(share.Remaining(this->now)) + " remain; " + reason),
      .retry_after = retry_after};
}

void EntryCore::RequestQuota(OpenRequest& request) {
  request.quota_deadline =
      std::min(request.wait_deadline, this->now + kQuotaReplyTimeout);
  this->expiries.emplace(*request.quota_deadline, request.arrival.request);
  this->effects.emplace_back(QuotaRequest{.host = this->settings.host,
                                          .request = request.arrival.request,
                                          .customer = request.customer->id,
                                          .cost = request.cost});
}

void EntryCore::Handle(const QuotaReply& reply) {
  const auto found = this->requests.find(reply.request);
  if (found == this->requests.end() || !found->second.quota_deadline) {
    return;
  }
  OpenRequest& request = found->second;
  this->expiries.erase({*request.quota_deadline, reply.request});
  request.quota_deadline.reset();
  if (reply.is_granted) {
    request.is_charged_to_pool = true;
    this->quota_charges.Add(request.customer->id, request.cost, this->now);
    this->EnqueueAdmitted(request);
    return;
  }
  this->denied_quotas[request.customer->id] = DeniedQuota{
      .cost = request.cost,
      .until = this->now + std::min(reply.retry_after, kMaxQuotaDenialDuration),
      .retry_at = this->now + reply.retry_after};
  this->RefuseWithoutQuota(request, reply.retry_after, kQuotaDenied);
}

// The usage report goes with it: until then a new holder must assume that this
// host uses an equal share. All hosts do so at the same time, so the next
// report follows after a part of the interval that differs from host to host.
void EntryCore::Handle(const QuotaHistoryRequest&) {
  this->effects.emplace_back(
      this->quota_charges.History(this->settings.host, this->now));
  this->ReportUsage();
  const Duration interval = this->UsageReportInterval();
  this->usage_reported_at =
      this->now - Duration(StableHash(this->settings.host.value()) %
                           static_cast<std::uint64_t>(interval.count()));
}

// Ends a request whose quota was denied or whose QuotaRequest had no reply in
// time.
void EntryCore::RefuseWithoutQuota(const OpenRequest& request,
                                   Duration retry_after,
                                   const std::string& reason) {
  this->RefuseArrival(request.arrival,
                      this->MakeLimitRefusal(request, retry_after, reason));
  this->Close(request);
}

void EntryCore::RefundCost(const OpenRequest& request) {
  // A cost charged to the shared pool is not refunded: callers retry sooner
  // than a message about it could take effect.
  const bool is_charged_to_share =
      request.customer != nullptr && request.customer->rate_per_second > 0 &&
      !request.is_charged_to_pool && !request.is_charged_elsewhere &&
      !request.quota_deadline;
  if (is_charged_to_share) {
    this->ShareOf(*request.customer).Refund(request.cost, request.arrived_at);
  }
}

// Whether no other host takes requests.
bool EntryCore::IsOnlyHost() const {
  return this->shares.host_count <= 1;
}

CustomerShare& EntryCore::ShareOf(const Customer& customer) {
  const auto found = this->customer_shares.find(customer.id);
  if (found != this->customer_shares.end()) {
    return found->second;
  }
  CustomerShare& share =
      this->customer_shares
          .emplace(customer.id, CustomerShare(this->first_event_at))
          .first->second;
  this->UpdateShare(customer, share);
  return share;
}

void EntryCore::UpdateAllShares() {
  for (auto& [id, share] : this->customer_shares) {
    if (const Customer* customer = this->configuration->FindCustomer(id)) {
      this->UpdateShare(*customer, share);
    }
  }
}

void EntryCore::UpdateShare(const Customer& customer,
                            CustomerShare& share) const {
  const auto granted = std::ranges::find(this->shares.shares, customer.id,
                                         &GrantedShare::customer);
  const double fraction = granted == this->shares.shares.end()
                              ? this->shares.default_share
                              : granted->share;
  // Fraction of the tolerated overshoot that all hosts together may use as
  // credit, each an equal share, so that a request is not refused only because
  // its customer's share is at other hosts. The remainder is kept for hosts
  // that join and leave.
  constexpr double kCreditFraction = 0.2;
  const CustomerLimit limit{.rate_per_second = customer.rate_per_second,
                            .burst = customer.burst,
                            .window = this->settings.limit_window};
  const double max_overshoot =
      limit.MaxCostPerWindow() * this->settings.limit_overshoot +
      (customer.is_limited_by_tokens ? this->settings.limit_slack : 0);
  share.SetUsedBeforeStart(
      this->settings.is_first_start
          ? 0
          : this->shares.usage_before_start.UsedFraction(customer.id));
  const bool is_small_share =
      granted != this->shares.shares.end() &&
      this->shares.host_count > kMaxHostsWithFullReserve;
  share.SetMinBurstFraction(is_small_share
                                ? CustomerShare::kMinBurstFractionOfSmallShare
                                : CustomerShare::kMinBurstFraction);
  share.SetLimit(
      limit, fraction,
      max_overshoot * kCreditFraction / std::max(1U, this->shares.host_count),
      this->now);
}

}  // namespace cicadaloft
