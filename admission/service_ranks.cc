#include "cicadaloft/admission/service_ranks.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

namespace cicadaloft {
namespace {

/// With a latency objective of at least this, a request can wait.
constexpr Duration kTolerantObjective = std::chrono::seconds(1);

/// Priorities below ServiceRanks::kBatchUrgency.
constexpr std::ptrdiff_t kLastUrgency = ServiceRanks::kBatchUrgency - 1;

using Routes = std::vector<const Route*>;

Routes RoutesTo(const Configuration& configuration, const ServiceId& service) {
  Routes routes;
  for (const Route& route : configuration.routes) {
    if (std::ranges::find(route.services, service, &WeightedService::service) !=
        route.services.end()) {
      routes.push_back(&route);
    }
  }
  return routes;
}

bool IsTolerant(const Route& route) {
  return route.latency_objective >= kTolerantObjective;
}

bool Contradict(const Route& first, const Route& second) {
  return IsTolerant(first) &&
         second.latency_objective < first.latency_objective &&
         first.priority < second.priority;
}

bool HaveContradiction(const Routes& routes) {
  return std::ranges::any_of(routes, [&](const Route* first) {
    return std::ranges::any_of(routes, [&](const Route* second) {
      return Contradict(*first, *second);
    });
  });
}

std::set<int> CustomerPriorities(const Configuration& configuration) {
  std::set<int> priorities;
  std::ranges::transform(configuration.customers,
                         std::inserter(priorities, priorities.end()),
                         &Customer::priority);
  return priorities;
}

ServiceRanks MakeServiceRanks(const Routes& routes,
                              const std::set<int>& customer_priorities) {
  std::set<Rank> ranks;
  std::set<Rank> tolerant;
  for (const Route* route : routes) {
    const bool has_no_customer =
        route->is_public || customer_priorities.empty();
    const std::set<int> priorities = has_no_customer
                                         ? std::set{Rank::kDefaultPriority}
                                         : customer_priorities;
    for (const int customer : priorities) {
      const Rank rank{.customer = customer, .route = route->priority};
      ranks.insert(rank);
      if (IsTolerant(*route)) {
        tolerant.insert(rank);
      }
    }
  }
  return ServiceRanks({ranks.begin(), ranks.end()},
                      tolerant.empty() ? *ranks.rbegin() : *tolerant.begin());
}

}  // namespace

ServiceRanks::ServiceRanks(std::vector<Rank> ranks, const Rank& first_tolerant)
    : ranks(std::move(ranks)), first_tolerant(first_tolerant) {
  std::ranges::sort(this->ranks);
}

int ServiceRanks::UrgencyOf(const Rank& rank) const {
  if (rank.route == Rank::kBatch) {
    return kBatchUrgency;
  }
  const auto higher = std::ranges::lower_bound(
      this->ranks, std::min(rank, this->first_tolerant));
  return static_cast<int>(
      std::min(kLastUrgency, std::distance(this->ranks.begin(), higher)));
}

std::map<ServiceId, ServiceRanks> FindRankedServices(
    const Configuration& configuration) {
  const std::set<int> priorities = CustomerPriorities(configuration);
  std::map<ServiceId, ServiceRanks> ranked;
  for (const Service& service : configuration.services) {
    const Routes routes = RoutesTo(configuration, service.id);
    if (HaveContradiction(routes)) {
      ranked.emplace(service.id, MakeServiceRanks(routes, priorities));
    }
  }
  return ranked;
}

}  // namespace cicadaloft
