#include "cicadaloft/admission/share_ledger.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <ranges>
#include <utility>

#include "cicadaloft/core/half_life.h"

namespace cicadaloft {
namespace {

/// Part of a customer's grantable share that is divided evenly whatever the
/// demand is, so that a host's first requests find some.
constexpr double kEvenPart = 0.25;

/// Grants of an earlier holder have lapsed so long after its last one; the
/// margin covers a message's way.
constexpr Duration kMargin = std::chrono::milliseconds(500);

/// What is spent is told for so many customers, those that have spent most.
constexpr std::size_t kMostListed = 64;
/// Parts below it are not told: they may double until the next record.
constexpr double kLeastSpent = 0.25;

}  // namespace

double SpentLimits::PartOf(const CustomerId& customer) const {
  const auto found =
      std::ranges::find(this->listed, customer, &GrantedShare::customer);
  return found == this->listed.end() ? this->others : found->share;
}

void ShareLedger::Begin(std::uint32_t hosts_before,
                        Duration silent_for,
                        SpentLimits spent,
                        TimePoint now) {
  this->hosts.clear();
  this->spent_before = std::move(spent);
  this->began = now;
  this->expected_hosts = hosts_before;
  this->lapsed_at = now + kGrantTerm + kMargin - silent_for;
  // Numbers of two tenures must not be mixed up.
  this->last_number =
      static_cast<std::uint64_t>(now.time_since_epoch().count());
}

void ShareLedger::OnReport(const DemandReported& report, TimePoint now) {
  Host& host = this->hosts[report.host];
  const double fade = FadeFactor(now - host.heard_at, kHalfLife);
  for (auto& [customer, cost] : host.demand) {
    cost *= fade;
  }
  host.spent.clear();
  for (const CustomerDemand& demand : report.demands) {
    host.demand[demand.customer] += demand.cost;
    host.spent[demand.customer] = demand.in_use;
  }
  host.heard_at = now;
  host.held.clear();
  for (const GrantedShare& share : report.held) {
    host.held[share.customer] = share.share;
  }
  const auto confirmed =
      std::ranges::find(host.grants, report.grant, &Grant::number);
  if (confirmed != host.grants.end()) {
    host.grants.erase(host.grants.begin(), confirmed);
    return;
  }
  if (host.grants.empty()) {
    // Granted by an earlier holder, or nothing yet.
    host.grants.push_back(
        Grant{.number = report.grant, .sent_at = now, .shares = host.held});
  }
}

std::map<HostId, SharesGranted> ShareLedger::Divide(
    const std::vector<CustomerId>& customers,
    TimePoint now) {
  std::erase_if(this->hosts, [&](const auto& entry) {
    return now - entry.second.heard_at > kMemberTerm;
  });
  const double grantable = (1 - kReservedPart) * this->ToldPart(now);
  std::map<HostId, SharesGranted> granted;
  for (auto& [id, host] : this->hosts) {
    if (now - host.heard_at > kHostTerm) {
      continue;
    }
    const auto wanted = this->Wanted(id, customers, now);
    Grant grant{.number = ++this->last_number, .sent_at = now};
    for (const auto& [customer, want] : wanted) {
      double others = 0;
      for (const auto& [other_id, other] : this->hosts) {
        others += other_id == id ? 0 : this->Outstanding(other, customer, now);
      }
      const double own = this->Outstanding(host, customer, now);
      // What the host uses anyway may stay with it.
      const double most = std::max(std::min(own, 1 - kReservedPart - others),
                                   grantable - others);
      grant.shares[customer] = std::clamp(want, 0.0, std::max(0.0, most));
    }
    SharesGranted message{.grant = grant.number, .hosts = this->HostCount(now)};
    for (const auto& [customer, share] : grant.shares) {
      message.customers.push_back(
          GrantedShare{.customer = customer, .share = share});
    }
    host.grants.push_back(std::move(grant));
    granted.emplace(id, std::move(message));
  }
  return granted;
}

SpentLimits ShareLedger::Spent(TimePoint now) const {
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
  SpentLimits spent{.others = kLeastSpent};
  if (listed.size() > kMostListed) {
    spent.others = std::max(kLeastSpent, listed[kMostListed].share);
    listed.resize(kMostListed);
  }
  std::erase_if(listed, [&](const GrantedShare& part) {
    return part.share <= spent.others;
  });
  spent.listed = std::move(listed);
  return spent;
}

std::uint32_t ShareLedger::HostCount(TimePoint now) const {
  const auto known = static_cast<std::uint32_t>(this->hosts.size());
  const std::uint32_t expected =
      now - this->began < kMemberTerm ? this->expected_hosts : 0;
  return std::max({1U, known, expected});
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
      const TimePoint lapsed = since + kGrantTerm + kMargin;
      most = std::max(most, found->second * this->InWindow(lapsed, now));
    }
  };
  for (const Grant& grant : host.grants) {
    count(grant.shares, grant.sent_at);
  }
  count(host.held, host.heard_at);
  return most;
}

std::map<CustomerId, double> ShareLedger::Wanted(
    const HostId& id,
    const std::vector<CustomerId>& customers,
    TimePoint now) const {
  const double even = 1.0 / this->HostCount(now);
  std::map<CustomerId, double> wanted;
  for (const CustomerId& customer : customers) {
    double total = 0;
    double own = 0;
    for (const auto& [other_id, host] : this->hosts) {
      const auto found = host.demand.find(customer);
      const double demand = found == host.demand.end() ? 0 : found->second;
      total += now - host.heard_at > kHostTerm ? 0 : demand;
      own = other_id == id ? demand : own;
    }
    const double by_demand = total > 0 ? own / total : even;
    wanted[customer] =
        (1 - kReservedPart) * (kEvenPart * even + (1 - kEvenPart) * by_demand);
  }
  return wanted;
}

}  // namespace cicadaloft
