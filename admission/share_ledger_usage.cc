#include <algorithm>
#include <functional>
#include <utility>

#include "cicadaloft/admission/share_ledger.h"

namespace cicadaloft {
namespace {

/// Maximum number of customers whose usage is listed, those that have used
/// most.
constexpr std::size_t kMaxListedCustomers = 64;
/// Smaller used fractions are not listed: they may double before the next lease
/// record.
constexpr double kMinListedFraction = 0.25;

}  // namespace

double LimitUsage::UsedFraction(const CustomerId& customer) const {
  const auto found =
      std::ranges::find(this->listed, customer, &GrantedShare::customer);
  return found == this->listed.end() ? this->max_unlisted : found->share;
}

void ShareLedger::OnHistory(const QuotaHistory& history, TimePoint now) {
  if (!this->hosts_with_history.insert(history.host).second) {
    return;
  }
  for (const CustomerCharges& customer : history.customers) {
    CustomerShare& pool = this->PoolOf(customer.customer);
    for (const PastCharge& charge : customer.charges) {
      const TimePoint at = now - charge.age;
      pool.AddPastCharge(charge.cost, at);
      if (this->term_began_at - at < this->limit_window) {
        this->charged_before_term[customer.customer] += charge.cost;
      }
    }
  }
}

// What the record of the previous holder lists as used, and no host has told
// when it was used: hosts that are gone or cut off have used it.
// @return a fraction of the limit.
double ShareLedger::UnexplainedUsage(const LimitedCustomer& customer) const {
  const double max_cost = customer.limit.MaxCostPerWindow();
  const auto charged = this->charged_before_term.find(customer.id);
  double explained = charged == this->charged_before_term.end() || max_cost <= 0
                         ? 0
                         : charged->second / max_cost;
  for (const auto& [id, host] : this->hosts) {
    const auto used = host.used_fractions.find(customer.id);
    explained += used == host.used_fractions.end() ? 0 : used->second;
  }
  return std::max(
      0.0, this->usage_before_term.UsedFraction(customer.id) - explained);
}

LimitUsage ShareLedger::Usage(TimePoint now) {
  std::map<CustomerId, double> sums;
  if (now - this->term_began_at < this->limit_window) {
    for (const GrantedShare& item : this->usage_before_term.listed) {
      // A pool includes what is not explained otherwise.
      if (!this->pools.contains(item.customer)) {
        sums[item.customer] = item.share;
      }
    }
  }
  std::map<CustomerId, double> reported;
  for (const auto& [id, host] : this->hosts) {
    for (const auto& [customer, fraction] : host.used_fractions) {
      reported[customer] +=
          fraction * this->FractionInWindow(host.last_report_at, now);
    }
  }
  for (auto& [customer, pool] : this->pools) {
    reported[customer] += pool.UsedFraction(now);
  }
  for (const auto& [customer, fraction] : reported) {
    double& sum = sums[customer];
    sum = std::clamp(fraction, sum, 1.0);
  }
  std::vector<GrantedShare> listed;
  listed.reserve(sums.size());
  for (const auto& [customer, fraction] : sums) {
    listed.push_back(GrantedShare{.customer = customer, .share = fraction});
  }
  std::ranges::sort(listed, std::greater(), &GrantedShare::share);
  LimitUsage usage{.max_unlisted = kMinListedFraction};
  if (listed.size() > kMaxListedCustomers) {
    usage.max_unlisted =
        std::max(kMinListedFraction, listed[kMaxListedCustomers].share);
    listed.resize(kMaxListedCustomers);
  }
  std::erase_if(listed, [&](const GrantedShare& item) {
    return item.share <= usage.max_unlisted;
  });
  usage.listed = std::move(listed);
  return usage;
}

}  // namespace cicadaloft
