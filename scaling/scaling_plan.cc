#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>

#include "scaling_core.h"

namespace cicadaloft {
namespace {

/// Fraction of the slots that are in use at the peak with one data centre lost.
/// The margin covers the uneven load of targets. More targets are ordered above
/// the higher one and fewer below the lower one, so that a demand that stays
/// the same changes nothing.
constexpr double kMaxUtilization = 0.7;
constexpr double kMinUtilization = 0.55;

/// The largest step up, as a fraction of the number in force, and the least
/// such bound.
constexpr double kMaxStepUpFraction = 0.15;
constexpr std::uint32_t kMinStepUp = 2;

/// Between two orders that end a target of a service, over all data centres.
constexpr Duration kDownInterval = std::chrono::seconds(2);

}  // namespace

void ScalingCore::Plan(const Service& service, ScaledService& scaled) {
  const bool are_bounds_valid =
      service.scaling->min_targets <= service.scaling->max_targets &&
      service.scaling->max_targets > 0;
  // Until then targets that an earlier holder has ordered may still boot.
  const TimePoint first_order_at =
      this->started_at + service.scaling->boot_time;
  if (!are_bounds_valid || scaled.slots <= 0 || this->now < first_order_at) {
    return;
  }
  const Need need = this->NeedOf(scaled);
  this->RepeatOpenOrders(service, scaled);
  this->OrderUp(service, scaled, need);
  this->OrderDown(service, scaled, need);
}

ScalingCore::Need ScalingCore::NeedOf(const ScaledService& scaled) const {
  const auto known = static_cast<std::uint32_t>(scaled.zones.size());
  const auto usable = static_cast<std::uint32_t>(
      std::ranges::count_if(scaled.zones, [this](const auto& entry) {
        return entry.second.running > 0 &&
               !this->evacuated.contains(entry.first);
      }));
  const std::uint32_t survivors = known <= 1 ? 1 : std::min(usable, known - 1);
  return Need{.peak = scaled.load.Peak(),
              .survivors = std::max(1U, survivors),
              .is_any_lost = usable < known,
              .target_load = scaled.slots};
}

std::uint32_t ScalingCore::CountFor(const Need& need,
                                    double zone_peak,
                                    double utilization,
                                    const Scaling& bounds) {
  const double load = std::max(need.peak / need.survivors, zone_peak);
  const double count = std::ceil(load / (need.target_load * utilization));
  return static_cast<std::uint32_t>(
      std::clamp(count, static_cast<double>(bounds.min_targets),
                 static_cast<double>(bounds.max_targets)));
}

// An order without an answer may be in force: it is repeated before another
// number is ordered.
void ScalingCore::RepeatOpenOrders(const Service& service,
                                   ScaledService& scaled) {
  for (auto& [data_centre, zone] : scaled.zones) {
    const auto& in_doubt = zone.ordered.in_doubt();
    if (in_doubt && zone.ordered.MaySend(*in_doubt, this->now)) {
      this->Order(service, data_centre, scaled, *in_doubt, "repeated");
    }
  }
}

void ScalingCore::OrderUp(const Service& service,
                          ScaledService& scaled,
                          const Need& need) {
  for (auto& [data_centre, zone] : scaled.zones) {
    if (zone.running == 0 || zone.ordered.in_doubt() ||
        this->evacuated.contains(data_centre)) {
      continue;
    }
    const std::uint32_t current = zone.Current();
    const std::uint32_t wanted =
        this->CountFor(need, scaled.load.PeakIn(data_centre), kMaxUtilization,
                       *service.scaling);
    const auto max_step = std::max(
        kMinStepUp,
        static_cast<std::uint32_t>(std::ceil(current * kMaxStepUpFraction)));
    if (wanted <= current) {
      continue;
    }
    const std::uint32_t count = std::max(service.scaling->min_targets,
                                         std::min(wanted, current + max_step));
    if (count != zone.running && zone.ordered.MaySend(count, this->now)) {
      this->Order(service, data_centre, scaled, count, "up");
    }
  }
}

// The whole window of the last waves must show that fewer are enough.
bool ScalingCore::MayOrderDown(const ScaledService& scaled,
                               const Need& need) const {
  return !need.is_any_lost && this->HaveAllHostsReported() &&
         this->now - this->started_at >= LoadHistory::kPeakWindow &&
         this->now - scaled.last_down_at >= kDownInterval;
}

// While targets are missing, the number that is really needed isn't known: they
// boot, or come back.
bool ScalingCore::HasSurplus(const Service& service,
                             const ScaledService& scaled,
                             const Need& need,
                             const DataCentreId& data_centre) const {
  const Zone& zone = scaled.zones.at(data_centre);
  const std::uint32_t current = zone.Current();
  return current > CountFor(need, scaled.load.PeakIn(data_centre),
                            kMinUtilization, *service.scaling) &&
         zone.running >= current && !zone.ordered.in_doubt() &&
         zone.ordered.MaySend(current - 1, this->now);
}

std::set<ModelId> ScalingCore::ModelsInUseOf(const Service& service) const {
  std::set<ModelId> models = this->models_in_use.At(this->now);
  std::erase_if(models, [&](const ModelId& model) {
    return this->configuration->FindModel(service.id, model) == nullptr;
  });
  return models;
}

// Orders one target less in the data centre with the most of them. Which target
// ends is up to the platform: if it was one with the only copy of a model, the
// next one ends only when the model has been loaded elsewhere.
void ScalingCore::OrderDown(const Service& service,
                            ScaledService& scaled,
                            const Need& need) {
  if (!this->MayOrderDown(scaled, need)) {
    return;
  }
  std::vector<DataCentreId> surplus;
  std::ranges::copy_if(scaled.zones | std::views::keys,
                       std::back_inserter(surplus),
                       [&](const DataCentreId& id) {
                         return this->HasSurplus(service, scaled, need, id);
                       });
  if (surplus.empty()) {
    return;
  }
  const std::set<ModelId> models = this->ModelsInUseOf(service);
  ModelCopies copies =
      FindModelCopies(*this->fleet, service.id, this->evacuated, models);
  std::erase_if(surplus, [&](const DataCentreId& id) {
    const auto found = copies.only_holders.find(id);
    return found != copies.only_holders.end() &&
           scaled.zones.at(id).Current() <= found->second;
  });
  const bool has_lost_model =
      std::ranges::any_of(models, [&](const ModelId& model) {
        return scaled.held_at_last_down.contains(model) &&
               !copies.held.contains(model);
      });
  const auto most = std::ranges::max_element(
      surplus, {},
      [&](const DataCentreId& id) { return scaled.zones.at(id).Current(); });
  if (most != surplus.end() && !has_lost_model) {
    scaled.last_down_at = this->now;
    scaled.held_at_last_down = std::move(copies.held);
    this->Order(service, *most, scaled, scaled.zones.at(*most).Current() - 1,
                "down");
  }
}

void ScalingCore::Order(const Service& service,
                        const DataCentreId& data_centre,
                        ScaledService& scaled,
                        std::uint32_t count,
                        const char* reason) {
  Zone& zone = scaled.zones.at(data_centre);
  const OrderTargetCount order{.service = service.id,
                               .data_centre = data_centre,
                               .count = count,
                               .token = this->token};
  this->Log("scaling.order",
            {{"service", service.id.value()},
             {"data_centre", data_centre.value()},
             {"count", count},
             {"why", reason},
             {"running", zone.running},
             {"ordered", zone.ordered.accepted().value_or(0)},
             {"peak", static_cast<std::int64_t>(scaled.load.Peak())},
             {"zone_peak",
              static_cast<std::int64_t>(scaled.load.PeakIn(data_centre))},
             {"slots", static_cast<std::int64_t>(scaled.slots)},
             {"reports", this->reported_at.size()},
             {"hosts", this->host_count},
             {"token", this->token.value()}});
  zone.ordered.OnSent(order);
  this->effects.emplace_back(order);
}

}  // namespace cicadaloft
