#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>

#include "cicadaloft/admission/share_ledger.h"

namespace cicadaloft {
namespace {

/// Maximum fraction of what may be granted that goes into shares; the remainder
/// is left to the pool.
constexpr double kMaxGrantedFraction = 0.8;

/// Where hosts are expected to make fewer requests in a window on average, most
/// of the headroom would stay unused, and be missed in the pool.
constexpr double kMinMeanRequests = 3;
/// Maximum fraction of what may be granted that goes into shares with headroom.
constexpr double kMaxFractionWithHeadroom = 0.85;
/// Fraction of what may be granted that the pool keeps free while shares grow.
/// With a larger one, shares take long to reach their size after the pool has
/// been used.
constexpr double kPoolReserveFraction = 0.03;
/// Maximum headroom of a share in standard deviations of the usage.
constexpr double kMaxHeadroom = 4;

/// Minimum size of a share, in requests of mean cost. A difference of one
/// request leaves a large part of a smaller share unused.
constexpr double kMinRequestsPerShare = 8;
/// The same for shares with headroom: there is room for what stays unused.
constexpr double kMinRequestsPerShareWithHeadroom = 1.5;

}  // namespace

ShareLedger::DesiredShares ShareLedger::ChooseShares(
    const LimitedCustomer& customer,
    const std::map<HostId, Grant>& grants,
    double grantable,
    TimePoint now) const {
  if (this->HostCount(now) <= kMaxHostsWithFullReserve) {
    return this->SharesSurelyUsed(customer, grants, grantable);
  }
  DesiredShares desired = this->SharesWithHeadroom(customer, grants, grantable);
  if (now - this->term_began_at < kSteadyDemandHalfLife) {
    // A new holder has seen too little demand to take back what hosts use.
    desired.min_requests = kMinRequestsPerShareWithHeadroom;
    for (auto& [id, share] : desired.shares) {
      share = std::max(share,
                       this->Outstanding(this->hosts.at(id), customer.id, now));
    }
  }
  return desired;
}

// What remains beyond the expected usage is headroom, in proportion to the
// standard deviations. If nothing remains, the pool is worth more than shares
// of which a part stays unused.
ShareLedger::DesiredShares ShareLedger::SharesWithHeadroom(
    const LimitedCustomer& customer,
    const std::map<HostId, Grant>& grants,
    double grantable) const {
  std::map<HostId, Prediction> predictions;
  Prediction total;
  for (const auto& [id, grant] : grants) {
    const Prediction prediction = Predict(this->hosts.at(id), customer);
    predictions.emplace(id, prediction);
    total.mean += prediction.mean;
    total.deviation += prediction.deviation;
    total.requests += prediction.requests;
  }
  const double room = grantable * kMaxFractionWithHeadroom - total.mean;
  const bool has_enough_requests =
      total.requests >= kMinMeanRequests * static_cast<double>(grants.size());
  if (!has_enough_requests || total.deviation <= 0 || room <= 0) {
    return this->SharesSurelyUsed(customer, grants, grantable);
  }
  const double headroom = std::min(kMaxHeadroom, room / total.deviation);
  DesiredShares desired{.min_requests = kMinRequestsPerShareWithHeadroom,
                        .pool_reserve = grantable * kPoolReserveFraction};
  for (const auto& [id, prediction] : predictions) {
    desired.shares[id] =
        std::max(0.0, prediction.mean + headroom * prediction.deviation);
  }
  return desired;
}

ShareLedger::DesiredShares ShareLedger::SharesSurelyUsed(
    const LimitedCustomer& customer,
    const std::map<HostId, Grant>& grants,
    double grantable) const {
  DesiredShares desired{.min_requests = kMinRequestsPerShare};
  double total = 0;
  for (const auto& [id, grant] : grants) {
    const double prediction = PredictedUsage(this->hosts.at(id), customer);
    desired.shares[id] = prediction;
    total += prediction;
  }
  const double scale =
      total > 0 ? std::min(1.0, grantable * kMaxGrantedFraction / total) : 0;
  for (auto& [id, share] : desired.shares) {
    share *= scale;
  }
  return desired;
}

ShareLedger::Prediction ShareLedger::Predict(const Host& host,
                                             const LimitedCustomer& customer) {
  const auto found = host.steady_demand.find(customer.id);
  if (found == host.steady_demand.end() || found->second.requests <= 0 ||
      customer.limit.MaxCostPerWindow() <= 0) {
    return {};
  }
  const std::chrono::duration<double> half_life = kSteadyDemandHalfLife;
  const std::chrono::duration<double> window = customer.limit.window;
  const double window_in_mean_ages =
      window.count() * std::numbers::ln2 / half_life.count();
  const double requests = found->second.requests * window_in_mean_ages;
  const double mean = found->second.cost * window_in_mean_ages /
                      customer.limit.MaxCostPerWindow();
  return Prediction{.mean = mean,
                    .deviation = mean / std::sqrt(requests),
                    .requests = requests};
}

}  // namespace cicadaloft
