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

/// Part of what may be granted that shares take at most; the rest is left to
/// the pool.
constexpr double kMostGranted = 0.8;

/// A share is what a host will use with this many standard deviations to spare,
/// where requests come independently.
constexpr double kDeviations = 2;
/// A share of fewer requests is not worth granting: a request more or less than
/// fits leaves a good part of it unused.
constexpr double kFewestRequests = 8;

/// Grants of an earlier holder have lapsed so long after its last one; the
/// margin covers a message's way.
constexpr Duration kMargin = std::chrono::milliseconds(500);

/// Hosts turn to a new holder within this time: the interval at which they read
/// the lease's log without one, and the making of the link.
constexpr Duration kTurnTime = std::chrono::milliseconds(1200);

/// What is spent is told for so many customers, those that have spent most.
constexpr std::size_t kMostListed = 64;
/// Parts below it are not told: they may double until the next record.
constexpr double kLeastSpent = 0.25;

}  // namespace

double LimitUsage::UsedFraction(const CustomerId& customer) const {
  const auto found =
      std::ranges::find(this->listed, customer, &GrantedShare::customer);
  return found == this->listed.end() ? this->max_unlisted : found->share;
}

void ShareLedger::BeginTerm(std::uint32_t hosts_before,
                            LimitUsage spent,
                            TimePoint now) {
  this->hosts.clear();
  this->pools.clear();
  this->spent_before = std::move(spent);
  this->began = now;
  this->expected_hosts = hosts_before;
  this->lapsed_at = now + kShareGrantTtl + kMargin;
  // Numbers of two tenures must not be mixed up.
  this->last_number =
      static_cast<std::uint64_t>(now.time_since_epoch().count());
}

void ShareLedger::OnReport(const DemandReport& report, TimePoint now) {
  Host& host = this->hosts[report.host];
  const double fade = DecayFactor(now - host.heard_at, kDemandHalfLife);
  for (auto& [customer, demand] : host.demand) {
    demand.cost *= fade;
    demand.requests *= fade;
  }
  host.spent.clear();
  for (const CustomerDemand& demand : report.demands) {
    Demand& known = host.demand[demand.customer];
    known.cost += demand.cost;
    known.requests += demand.requests;
    host.spent[demand.customer] = demand.used_fraction;
  }
  host.heard_at = now;
  host.is_linked = true;
  host.cores = report.cores;
  host.held.clear();
  for (const GrantedShare& share : report.shares_in_use) {
    host.held[share.customer] = share.share;
  }
  const auto confirmed =
      std::ranges::find(host.grants, report.grant_number, &Grant::number);
  if (confirmed != host.grants.end()) {
    host.grants.erase(host.grants.begin(), confirmed);
    return;
  }
  if (host.grants.empty()) {
    // Granted by an earlier holder, or nothing yet.
    host.grants.push_back(Grant{
        .number = report.grant_number, .sent_at = now, .shares = host.held});
  }
}

bool ShareLedger::TakesRequests(const Host& host, TimePoint now) const {
  return now - host.heard_at <= kHostTimeout;
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
    return now - entry.second.heard_at > kMembershipTimeout;
  });
  std::map<HostId, Grant> grants;
  for (const auto& [id, host] : this->hosts) {
    if (this->TakesRequests(host, now)) {
      grants.emplace(id, Grant{.number = ++this->last_number, .sent_at = now});
    }
  }
  const double part =
      this->ToldPart(now) * (is_lease_valid ? 1 : this->LinkedPart(now));
  for (const LimitedCustomer& customer : customers) {
    this->DivideOne(customer, grants, part, now);
  }
  std::map<HostId, ShareGrant> granted;
  for (auto& [id, grant] : grants) {
    ShareGrant message{.grant_number = grant.number,
                       .host_count = this->HostCount(now),
                       .is_lease_valid = is_lease_valid};
    for (const auto& [customer, share] : grant.shares) {
      message.customers.push_back(
          GrantedShare{.customer = customer, .share = share});
    }
    this->hosts.at(id).grants.push_back(std::move(grant));
    granted.emplace(id, std::move(message));
  }
  return granted;
}

void ShareLedger::DivideOne(const LimitedCustomer& customer,
                            std::map<HostId, Grant>& grants,
                            double part,
                            TimePoint now) {
  const double grantable = 1 - ReservedFraction(this->HostCount(now));
  const double told = grantable * part;
  CustomerShare& pool = this->PoolOf(customer.id);
  const double drawn = pool.UsedFraction(now);
  std::map<HostId, double> likely;
  double all_likely = 0;
  for (const auto& [id, grant] : grants) {
    const double use = LikelyUse(this->hosts.at(id), customer);
    likely[id] = use;
    all_likely += use;
  }
  const double scale =
      all_likely > 0 ? std::min(1.0, grantable * kMostGranted / all_likely) : 0;
  double outstanding = this->AllOutstanding(customer.id, now);
  for (auto& [id, grant] : grants) {
    const double own = this->Outstanding(this->hosts.at(id), customer.id, now);
    const double others = outstanding - own + drawn;
    // What the host uses anyway may stay with it.
    const double most =
        std::max(std::min(own, grantable - others), told - others);
    const double wanted =
        std::clamp(likely.at(id) * scale, 0.0, std::max(0.0, most));
    const double fewest =
        kFewestRequests * MeanCost(this->hosts.at(id), customer);
    const double share = wanted < fewest ? 0 : wanted;
    outstanding += std::max(0.0, share - own);
    if (share > 0) {
      grant.shares[customer.id] = share;
    }
  }
  pool.SetLimit(customer.limit, std::max(0.0, told - outstanding), 0, now);
}

// In parts of the limit. Few requests are too uncertain to be reckoned with.
double ShareLedger::LikelyUse(const Host& host,
                              const LimitedCustomer& customer) {
  const auto found = host.demand.find(customer.id);
  if (found == host.demand.end() || customer.limit.MaxCostPerWindow() <= 0) {
    return 0;
  }
  // Faded sums are what comes in the mean age of their parts.
  const std::chrono::duration<double> half = kDemandHalfLife;
  const std::chrono::duration<double> window = customer.limit.window;
  const double windows = window.count() * std::numbers::ln2 / half.count();
  const double requests = found->second.requests * windows;
  const double cost = found->second.cost * windows;
  const double sure = requests <= 0 ? 0 : 1 - kDeviations / std::sqrt(requests);
  return std::max(0.0, sure) * cost / customer.limit.MaxCostPerWindow();
}

// Of one request, in parts of the limit.
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
  // Hosts may have drawn from an earlier holder until they turned to this one.
  CustomerShare& pool =
      this->pools.emplace(customer, CustomerShare(this->began + kTurnTime))
          .first->second;
  pool.SetUsedBeforeStart(this->spent_before.UsedFraction(customer));
  return pool;
}

QuotaReply ShareLedger::HandleQuotaRequest(const QuotaRequest& asked,
                                           TimePoint now) {
  const auto found = this->pools.find(asked.customer);
  if (found == this->pools.end()) {
    return QuotaReply{.request = asked.request};
  }
  CustomerShare& pool = found->second;
  if (pool.TryAcquire(asked.cost, now)) {
    return QuotaReply{.request = asked.request, .is_granted = true};
  }
  return QuotaReply{.request = asked.request,
                    .retry_after = pool.TimeUntilAvailable(asked.cost, now)};
}

LimitUsage ShareLedger::Usage(TimePoint now) {
  std::map<CustomerId, double> sums;
  if (now - this->began < this->limit_window) {
    for (const GrantedShare& spent : this->spent_before.listed) {
      sums[spent.customer] = spent.share;
    }
  }
  std::map<CustomerId, double> told;
  for (const auto& [id, host] : this->hosts) {
    for (const auto& [customer, part] : host.spent) {
      told[customer] += part * this->InWindow(host.heard_at, now);
    }
  }
  for (auto& [customer, pool] : this->pools) {
    told[customer] += pool.UsedFraction(now);
  }
  for (const auto& [customer, part] : told) {
    double& sum = sums[customer];
    sum = std::clamp(part, sum, 1.0);
  }
  std::vector<GrantedShare> listed;
  listed.reserve(sums.size());
  for (const auto& [customer, part] : sums) {
    listed.push_back(GrantedShare{.customer = customer, .share = part});
  }
  std::ranges::sort(listed, std::greater(), &GrantedShare::share);
  LimitUsage spent{.max_unlisted = kLeastSpent};
  if (listed.size() > kMostListed) {
    spent.max_unlisted = std::max(kLeastSpent, listed[kMostListed].share);
    listed.resize(kMostListed);
  }
  std::erase_if(listed, [&](const GrantedShare& part) {
    return part.share <= spent.max_unlisted;
  });
  spent.listed = std::move(listed);
  return spent;
}

std::uint32_t ShareLedger::HostCount(TimePoint now) const {
  const auto known = static_cast<std::uint32_t>(this->hosts.size());
  const std::uint32_t expected =
      now - this->began < kMembershipTimeout ? this->expected_hosts : 0;
  return std::max({1U, known, expected});
}

double ShareLedger::MaxCores() const {
  return std::accumulate(this->hosts.begin(), this->hosts.end(), 0.0,
                         [](double most, const auto& entry) {
                           return std::max(most, entry.second.cores);
                         });
}

// Hosts that an earlier holder knew and that have not told yet may use shares
// of it until these lapse; each is taken to have its even part.
double ShareLedger::ToldPart(TimePoint now) const {
  const auto told = static_cast<double>(this->hosts.size());
  const double expected = this->expected_hosts;
  if (told >= expected) {
    return 1;
  }
  return 1 - (1 - told / expected) * this->InWindow(this->lapsed_at, now);
}

double ShareLedger::LinkedPart(TimePoint now) const {
  const auto linked = static_cast<double>(std::ranges::count_if(
      this->hosts, [](const auto& entry) { return entry.second.is_linked; }));
  return linked / this->HostCount(now);
}

// What was spent leaves the window bit by bit.
// @return from 1 until the spending ended to 0 a window after it.
double ShareLedger::InWindow(TimePoint ended, TimePoint now) const {
  const std::chrono::duration<double> since = now - ended;
  const std::chrono::duration<double> whole = this->limit_window;
  return std::clamp(1 - since / whole, 0.0, 1.0);
}

double ShareLedger::Outstanding(const Host& host,
                                const CustomerId& customer,
                                TimePoint now) const {
  double most = 0;
  const auto count = [&](const std::map<CustomerId, double>& shares,
                         TimePoint since) {
    const auto found = shares.find(customer);
    if (found != shares.end()) {
      const TimePoint lapsed = since + kShareGrantTtl + kMargin;
      most = std::max(most, found->second * this->InWindow(lapsed, now));
    }
  };
  for (const Grant& grant : host.grants) {
    count(grant.shares, grant.sent_at);
  }
  count(host.held, host.heard_at);
  return most;
}

double ShareLedger::AllOutstanding(const CustomerId& customer,
                                   TimePoint now) const {
  return std::accumulate(this->hosts.begin(), this->hosts.end(), 0.0,
                         [&](double sum, const auto& entry) {
                           return sum + this->Outstanding(entry.second,
                                                          customer, now);
                         });
}

}  // namespace cicadaloft
