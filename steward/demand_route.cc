#include "demand_route.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <tuple>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

std::set<DataCentreId> PlacesOf(const Ledger& ledger,
                                const std::vector<TargetId>& targets) {
  std::set<DataCentreId> places;
  std::ranges::for_each(targets, [&](const TargetId& id) {
    const auto* target = ledger.config().Find<Target>(id.value());
    if (target != nullptr) {
      places.insert(target->data_centre);
    }
  });
  return places;
}

}  // namespace

std::vector<DataCentreId> PlacementOrderOf(const Ledger& ledger,
                                           const ModelId& model) {
  const Config& config = ledger.config();
  const auto* route = config.Find<ModelRoute>(model.value());
  if (route == nullptr) {
    return {};
  }
  const ModelId& anchor = route->base.has_value() ? *route->base : model;
  const std::set<DataCentreId> holders =
      PlacesOf(ledger, ledger.placements().HoldersOf(anchor));
  std::set<DataCentreId> places;
  std::ranges::for_each(
      config.All<Target>() | std::views::values, [&](const auto& target) {
        const bool is_possible = target->back_end == route->back_end &&
                                 TakesNewWork(config, *target);
        if (is_possible && PlacementOwnerOf(ledger, target->data_centre)) {
          places.insert(target->data_centre);
        }
      });
  std::vector<DataCentreId> order(places.begin(), places.end());
  std::ranges::sort(order, {}, [&](const DataCentreId& place) {
    return std::tuple(!holders.contains(place),
                      ~RendezvousWeight(anchor.value(), place.value()));
  });
  return order;
}

std::vector<DataCentreId> HoldingDataCentres(const Ledger& ledger,
                                             const ModelId& model) {
  const std::set<DataCentreId> places =
      PlacesOf(ledger, ledger.placements().HoldersOf(model));
  return {places.begin(), places.end()};
}

std::optional<HostId> PlacementOwnerOf(const Ledger& ledger,
                                       const DataCentreId& data_centre) {
  const DutyHolder* holder = ledger.members().FindDuty(
      DutyId{.kind = DutyKind::kPlacement, .data_centre = data_centre});
  return holder == nullptr ? std::nullopt
                           : std::optional<HostId>(holder->owner.host);
}

std::uint32_t CountDataCentres(const Ledger& ledger) {
  const auto is_active = [&](const auto& entry) {
    return entry.second->state == DataCentreState::kInService &&
           PlacementOwnerOf(ledger, entry.second->id).has_value();
  };
  const auto count =
      std::ranges::count_if(ledger.config().All<DataCentre>(), is_active);
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(count));
}

bool MayLoadCutOff(const Ledger& ledger,
                   const ModelId& model,
                   const DataCentreId& data_centre) {
  const std::vector<DataCentreId> order = PlacementOrderOf(ledger, model);
  const auto* route = ledger.config().Find<ModelRoute>(model.value());
  return route != nullptr && !order.empty() &&
         (order.front() == data_centre ||
          ledger.placements().HoldersOf(model).size() + order.size() <=
              route->max_replicas);
}

}  // namespace cicadaloft
