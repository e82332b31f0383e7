#include "cicadaloft/admission/share_ledger.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <numbers>
#include <numeric>
#include <ranges>
#include <utility>

#include "cicadaloft/core/half_life.h"

namespace cicadaloft {
namespace {

/// Margin after the TTL of a grant before it counts as expired; it covers the
/// transit time of the message.
constexpr Duration kGrantExpiryMargin = std::chrono::milliseconds(500);

/// Time within which hosts connect to a new lease holder: the interval at which
/// they read the lease's log while they have no lease holder, and the setup of
/// the link.
constexpr Duration kHolderSwitchTime = std::chrono::milliseconds(1200);

}  // namespace

void ShareLedger::BeginTerm(std::uint32_t previous_host_count,
                            LimitUsage usage,
                            TimePoint now) {
  this->hosts.clear();
  this->pools.clear();
  this->usage_before_term = std::move(usage);
  this->hosts_with_history.clear();
  this->charged_before_term.clear();
  this->term_began_at = now;
  this->expected_host_count = previous_host_count;
  this->previous_grants_expire_at = now + kShareGrantTtl + kGrantExpiryMargin;
  // Grant numbers of two terms must not be confused.
  this->last_grant_number =
      static_cast<std::uint64_t>(now.time_since_epoch().count());
}

void ShareLedger::OnReport(const DemandReport& report, TimePoint now) {
  Host& host = this->hosts[report.host];
  Decay(host.demand, DecayFactor(now - host.last_report_at, kDemandHalfLife));
  Decay(host.steady_demand,
        DecayFactor(now - host.last_report_at, kSteadyDemandHalfLife));
  host.used_fractions.clear();
  for (const CustomerDemand& demand : report.demands) {
    for (auto* demands : {&host.demand, &host.steady_demand}) {
      Demand& total = (*demands)[demand.customer];
      total.cost += demand.cost;
      total.requests += demand.requests;
    }
    host.used_fractions[demand.customer] = demand.used_fraction;
  }
  host.last_report_at = now;
  host.is_linked = true;
  host.cores = report.cores;
  host.shares_in_use.clear();
  for (const GrantedShare& share : report.shares_in_use) {
    host.shares_in_use[share.customer] = share.share;
  }
  const auto confirmed =
      std::ranges::find(host.grants, report.grant_number, &Grant::number);
  if (confirmed != host.grants.end()) {
    host.grants.erase(host.grants.begin(), confirmed);
    return;
  }
  if (host.grants.empty()) {
    // Granted by an earlier lease holder, or no grant yet.
    host.grants.push_back(Grant{.number = report.grant_number,
                                .sent_at = now,
                                .shares = host.shares_in_use});
  }
}

void ShareLedger::Decay(std::map<CustomerId, Demand>& demands, double factor) {
  for (auto& [customer, demand] : demands) {
    demand.cost *= factor;
    demand.requests *= factor;
  }
}

bool ShareLedger::TakesRequests(const Host& host, TimePoint now) const {
  return now - host.last_report_at <= kHostTimeout;
}

void ShareLedger::OnLinkDown(const HostId& host) {
  const auto found = this->hosts.find(host);
  if (found != this->hosts.end()) {
    found->second.is_linked = false;
  }
}

std::map<HostId, ShareGrant> ShareLedger::Divide(
    const std::vector<LimitedCustomer>& customers,
    bool is_lease_valid,
    TimePoint now) {
  std::erase_if(this->hosts, [&](const auto& entry) {
    return now - entry.second.last_report_at > kMembershipTimeout;
  });
  std::map<HostId, Grant> grants;
  for (const auto& [id, host] : this->hosts) {
    if (this->TakesRequests(host, now)) {
      grants.emplace(
          id, Grant{.number = ++this->last_grant_number, .sent_at = now});
    }
  }
  const double usable_fraction =
      this->ReportedFraction(now) *
      (is_lease_valid ? 1 : this->LinkedFraction(now));
  for (const LimitedCustomer& customer : customers) {
    this->DivideLimit(customer, grants, usable_fraction, now);
  }
  std::map<HostId, ShareGrant> granted;
  for (auto& [id, grant] : grants) {
    ShareGrant message{.grant_number = grant.number,
                       .host_count = this->HostCount(now),
                       .is_lease_valid = is_lease_valid};
    for (const auto& [customer, share] : grant.shares) {
      message.shares.push_back(
          GrantedShare{.customer = customer, .share = share});
    }
    this->hosts.at(id).grants.push_back(std::move(grant));
    granted.emplace(id, std::move(message));
  }
  return granted;
}

void ShareLedger::DivideLimit(const LimitedCustomer& customer,
                              std::map<HostId, Grant>& grants,
                              double usable_fraction,
                              TimePoint now) {
  const double grantable = 1 - ReservedFraction(this->HostCount(now));
  const double grantable_now = grantable * usable_fraction;
  CustomerShare& pool = this->PoolOf(customer.id);
  pool.SetUsedBeforeStart(this->UnexplainedUsage(customer));
  const double pool_used = pool.UsedFraction(now);
  const DesiredShares desired =
      this->ChooseShares(customer, grants, grantable, now);
  double outstanding = this->TotalOutstanding(customer.id, now);
  for (auto& [id, grant] : grants) {
    const double host_outstanding =
        this->Outstanding(this->hosts.at(id), customer.id, now);
    const double used_by_others = outstanding - host_outstanding + pool_used;
    // A host may keep what it already uses.
    const double max_share =
        std::max(std::min(host_outstanding, grantable - used_by_others),
                 grantable_now - used_by_others - desired.pool_reserve);
    const double min_share =
        desired.min_requests * MeanCost(this->hosts.at(id), customer);
    const double possible =
        std::clamp(desired.shares.at(id), 0.0, std::max(0.0, max_share));
    const double share = possible < min_share ? 0 : possible;
    outstanding += std::max(0.0, share - host_outstanding);
    if (share > 0) {
      grant.shares[customer.id] = share;
    }
  }
  pool.SetLimit(customer.limit, std::max(0.0, grantable_now - outstanding), 0,
                now);
}

// As a fraction of the limit. Too few requests are too uncertain to predict
// from.
double ShareLedger::PredictedUsage(const Host& host,
                                   const LimitedCustomer& customer) {
  const auto found = host.demand.find(customer.id);
  if (found == host.demand.end() || customer.limit.MaxCostPerWindow() <= 0) {
    return 0;
  }
  // A decayed sum equals what arrives within the mean age of its terms.
  const std::chrono::duration<double> half_life = kDemandHalfLife;
  const std::chrono::duration<double> window = customer.limit.window;
  const double window_in_mean_ages =
      window.count() * std::numbers::ln2 / half_life.count();
  const double requests = found->second.requests * window_in_mean_ages;
  const double cost = found->second.cost * window_in_mean_ages;
  const double confident_fraction =
      requests <= 0 ? 0 : 1 - kStandardDeviations / std::sqrt(requests);
  return std::max(0.0, confident_fraction) * cost /
         customer.limit.MaxCostPerWindow();
}

// Of one request, as a fraction of the limit.
double ShareLedger::MeanCost(const Host& host,
                             const LimitedCustomer& customer) {
  const auto found = host.demand.find(customer.id);
  const bool is_known =
      found != host.demand.end() && found->second.requests > 0;
  return is_known ? found->second.cost / found->second.requests /
                        customer.limit.MaxCostPerWindow()
                  : 0;
}

CustomerShare& ShareLedger::PoolOf(const CustomerId& customer) {
  const auto found = this->pools.find(customer);
  if (found != this->pools.end()) {
    return found->second;
  }
  // Hosts may have used the pool of an earlier lease holder until they
  // connected to this one.
  CustomerShare& pool =
      this->pools
          .emplace(customer,
                   CustomerShare(this->term_began_at + kHolderSwitchTime))
          .first->second;
  pool.SetUsedBeforeStart(this->usage_before_term.UsedFraction(customer));
  return pool;
}

QuotaReply ShareLedger::HandleQuotaRequest(const QuotaRequest& request,
                                           TimePoint now) {
  const auto found = this->pools.find(request.customer);
  if (found == this->pools.end()) {
    return QuotaReply{.request = request.request};
  }
  CustomerShare& pool = found->second;
  if (pool.TryAcquire(request.cost, now)) {
    return QuotaReply{.request = request.request, .is_granted = true};
  }
  return QuotaReply{.request = request.request,
                    .retry_after = pool.TimeUntilAvailable(request.cost, now)};
}

std::uint32_t ShareLedger::HostCount(TimePoint now) const {
  const auto known = static_cast<std::uint32_t>(this->hosts.size());
  const std::uint32_t expected = now - this->term_began_at < kMembershipTimeout
                                     ? this->expected_host_count
                                     : 0;
  return std::max({1U, known, expected});
}

double ShareLedger::MaxCores() const {
  return std::accumulate(this->hosts.begin(), this->hosts.end(), 0.0,
                         [](double max, const auto& entry) {
                           return std::max(max, entry.second.cores);
                         });
}

// Hosts that an earlier lease holder knew and that have not reported yet may
// use shares that it granted until these expire; each is assumed to have an
// equal share.
double ShareLedger::ReportedFraction(TimePoint now) const {
  const auto reported = static_cast<double>(this->hosts.size());
  const double expected = this->expected_host_count;
  if (reported >= expected) {
    return 1;
  }
  return 1 - (1 - reported / expected) *
                 this->FractionInWindow(this->previous_grants_expire_at, now);
}

double ShareLedger::LinkedFraction(TimePoint now) const {
  const auto linked = static_cast<double>(std::ranges::count_if(
      this->hosts, [](const auto& entry) { return entry.second.is_linked; }));
  return linked / this->HostCount(now);
}

// Usage leaves the window gradually.
// @return 1 until the usage ended, falling to 0 one window after it.
double ShareLedger::FractionInWindow(TimePoint ended, TimePoint now) const {
  const std::chrono::duration<double> since = now - ended;
  const std::chrono::duration<double> whole = this->limit_window;
  return std::clamp(1 - since / whole, 0.0, 1.0);
}

double ShareLedger::Outstanding(const Host& host,
                                const CustomerId& customer,
                                TimePoint now) const {
  double max_outstanding = 0;
  const auto include = [&](const std::map<CustomerId, double>& shares,
                           TimePoint since) {
    const auto found = shares.find(customer);
    if (found != shares.end()) {
      const TimePoint expires_at = since + kShareGrantTtl + kGrantExpiryMargin;
      max_outstanding =
          std::max(max_outstanding,
                   found->second * this->FractionInWindow(expires_at, now));
    }
  };
  for (const Grant& grant : host.grants) {
    include(grant.shares, grant.sent_at);
  }
  include(host.shares_in_use, host.last_report_at);
  return max_outstanding;
}

double ShareLedger::TotalOutstanding(const CustomerId& customer,
                                     TimePoint now) const {
  return std::accumulate(this->hosts.begin(), this->hosts.end(), 0.0,
                         [&](double sum, const auto& entry) {
                           return sum + this->Outstanding(entry.second,
                                                          customer, now);
                         });
}

}  // namespace cicadaloft
