#include "cicadaloft/placement/placement_policy.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <tuple>

namespace cicadaloft {
namespace {

using std::chrono::seconds;

/// A model stays at least so long once it was loaded.
constexpr Duration kMinResidence = seconds(5);
/// How far ahead the worth of a loaded model is looked at.
constexpr Duration kKeepHorizon = seconds(120);
/// Time of a load per MiB, by tier, relative to the weight store.
constexpr double kDiskCost = 0.3;
constexpr double kMemoryCost = 0.05;

/// A model that could be unloaded, and what losing it costs.
struct Victim {
  ModelId model;
  std::uint64_t memory_mib = 0;
  double loss_per_mib = 0;
};

/// One target in view of a load.
struct Candidate {
  const Target* target = nullptr;
  const TargetReport* report = nullptr;
  CheckpointTier tier = CheckpointTier::kRemote;
  std::uint64_t free_mib = 0;
  std::uint64_t unloading_mib = 0;
};

bool IsAdapterOf(const Config& config,
                 const ModelId& model,
                 const ModelId& base) {
  const auto* route = config.Find<ModelRoute>(model.value());
  return route != nullptr && route->base == base;
}

/// What the target holds beyond what is reserved there.
std::uint64_t StrayMib(const PlacementScene& scene,
                       const TargetReport& report,
                       const TargetMemory& memory) {
  std::uint64_t sum = 0;
  std::ranges::for_each(report.models, [&](const ReportedModel& model) {
    const auto* route = scene.config.Find<ModelRoute>(model.model.value());
    const auto touched = scene.touched.find(
        PlaceKey{.target = report.target, .model = model.model});
    const bool is_lag = touched != scene.touched.end() &&
                        scene.now - touched->second < kMaxReportLag;
    if (!memory.reservations.contains(model.model) && route != nullptr &&
        !is_lag) {
      sum += route->memory_mib;
    }
  });
  return sum;
}

bool IsIdle(const PlacementScene& scene,
            const TargetId& target,
            const ModelId& model) {
  const Reservation* held = scene.table.Find(target, model);
  const auto loaded =
      scene.loaded_at.find(PlaceKey{.target = target, .model = model});
  const bool is_settled = loaded == scene.loaded_at.end() ||
                          scene.now - loaded->second >= kMinResidence;
  return held != nullptr && held->state == ReservationState::kLoaded &&
         is_settled && !scene.queue.IsInUse(model);
}

/// The idle models of a target, the cheapest to lose first. A base model comes
/// after its adapters and only if all of them are idle.
std::vector<Victim> VictimsOn(const PlacementScene& scene,
                              const Candidate& candidate,
                              const ModelRoute& wanted) {
  const TargetId& target = candidate.target->id;
  const auto& reservations = scene.table.MemoryOf(target).reservations;
  std::vector<Victim> victims;
  std::ranges::for_each(reservations, [&](const auto& entry) {
    const auto& [model, held] = entry;
    const bool needs_it = wanted.base == model;
    const bool adapters_idle = std::ranges::all_of(
        reservations | std::views::keys, [&](const ModelId& other) {
          return !IsAdapterOf(scene.config, other, model) ||
                 IsIdle(scene, target, other);
        });
    if (needs_it || !adapters_idle || !IsIdle(scene, target, model)) {
      return;
    }
    const double chance =
        scene.history.ChanceWanted(model, kKeepHorizon, scene.now);
    const double cost =
        LoadCost(held.memory_mib, TierOf(*candidate.report, model));
    victims.push_back(Victim{
        .model = model,
        .memory_mib = held.memory_mib,
        .loss_per_mib = chance * cost /
                        std::max(1.0, static_cast<double>(held.memory_mib))});
  });
  std::ranges::sort(victims, {}, &Victim::loss_per_mib);
  return victims;
}

std::uint64_t UnloadingMib(const TargetMemory& memory) {
  std::uint64_t sum = 0;
  std::ranges::for_each(memory.reservations | std::views::values,
                        [&](const Reservation& held) {
                          if (held.state == ReservationState::kUnloading) {
                            sum += held.memory_mib;
                          }
                        });
  return sum;
}

/// @return whether the target may ever take the model beside what it holds.
bool IsSuitable(const PlacementScene& scene,
                const Target& target,
                const ModelRoute& route) {
  const bool has_base = !route.base.has_value() ||
                        scene.table.Find(target.id, *route.base) != nullptr;
  return target.data_centre == scene.data_centre &&
         target.back_end == route.back_end && has_base &&
         target.memory_mib >= route.memory_mib &&
         TakesNewWork(scene.config, target) &&
         scene.table.Find(target.id, route.model) == nullptr;
}

/// @return whether an order may go to the suitable target right now.
bool IsReady(const PlacementScene& scene,
             const TargetId& target,
             const ModelRoute& route) {
  const auto bar =
      scene.barred.find(PlaceKey{.target = target, .model = route.model});
  const bool is_barred =
      bar != scene.barred.end() && scene.now < bar->second.until;
  const TargetReport* report = scene.watch.FreshReport(target, scene.now);
  const Reservation* base =
      route.base.has_value() ? scene.table.Find(target, *route.base) : nullptr;
  return !is_barred && report != nullptr &&
         scene.table.MemoryOf(target).instance == report->instance &&
         !scene.unready.contains(target) &&
         (base == nullptr || base->state == ReservationState::kLoaded);
}

/// @param may_come set where a suitable target is only not ready yet.
std::vector<Candidate> CandidatesFor(const PlacementScene& scene,
                                     const ModelRoute& route,
                                     bool& may_come) {
  std::vector<Candidate> candidates;
  std::ranges::for_each(
      scene.config.All<Target>() | std::views::values, [&](const auto& item) {
        const Target& target = *item;
        if (!IsSuitable(scene, target, route)) {
          return;
        }
        const TargetReport* report =
            scene.watch.FreshReport(target.id, scene.now);
        if (!IsReady(scene, target.id, route)) {
          const bool was_seen = scene.watch.Find(target.id) != nullptr;
          may_come = may_come || report != nullptr || !was_seen ||
                     scene.unready.contains(target.id);
          return;
        }
        const TargetMemory& memory = scene.table.MemoryOf(target.id);
        const std::uint64_t used =
            memory.ReservedMib() + StrayMib(scene, *report, memory);
        candidates.push_back(Candidate{
            .target = &target,
            .report = report,
            .tier = TierOf(*report, route.model),
            .free_mib = target.memory_mib - std::min(target.memory_mib, used),
            .unloading_mib = UnloadingMib(memory)});
      });
  return candidates;
}

/// @return the best candidate with room, or null.
const Candidate* PickWithRoom(const std::vector<Candidate>& candidates,
                              std::uint64_t memory_mib) {
  const auto rank = [](const Candidate& candidate) {
    return std::tuple(-static_cast<int>(candidate.tier),
                      candidate.report->running + candidate.report->queued,
                      -static_cast<double>(candidate.free_mib),
                      candidate.target->id);
  };
  const Candidate* best = nullptr;
  std::ranges::for_each(candidates, [&](const Candidate& candidate) {
    if (candidate.free_mib >= memory_mib &&
        (best == nullptr || rank(candidate) < rank(*best))) {
      best = &candidate;
    }
  });
  return best;
}

/// The victims to unload now, and what losing them costs; none where even all
/// of them would not make room.
std::optional<std::pair<double, std::vector<ModelId>>> PlanRoom(
    const PlacementScene& scene,
    const Candidate& candidate,
    const ModelRoute& route) {
  std::uint64_t room = candidate.free_mib + candidate.unloading_mib;
  double loss = 0;
  std::vector<ModelId> chosen;
  const auto& reservations =
      scene.table.MemoryOf(candidate.target->id).reservations;
  std::ranges::for_each(
      VictimsOn(scene, candidate, route), [&](const Victim& victim) {
        if (room >= route.memory_mib) {
          return;
        }
        room += victim.memory_mib;
        loss += victim.loss_per_mib * static_cast<double>(victim.memory_mib);
        // Adapters go first; the base follows in a later round.
        const bool carries_adapters = std::ranges::any_of(
            reservations | std::views::keys, [&](const ModelId& other) {
              return IsAdapterOf(scene.config, other, victim.model);
            });
        if (!carries_adapters) {
          chosen.push_back(victim.model);
          return;
        }
        std::ranges::copy_if(
            reservations | std::views::keys, std::back_inserter(chosen),
            [&](const ModelId& other) {
              return IsAdapterOf(scene.config, other, victim.model) &&
                     std::ranges::find(chosen, other) == chosen.end();
            });
      });
  if (room < route.memory_mib) {
    return std::nullopt;
  }
  return std::pair(loss, std::move(chosen));
}

}  // namespace

double LoadCost(std::uint64_t memory_mib, CheckpointTier tier) {
  const auto size = static_cast<double>(memory_mib);
  switch (tier) {
    case CheckpointTier::kMemory:
      return size * kMemoryCost;
    case CheckpointTier::kDisk:
      return size * kDiskCost;
    default:
      return size;
  }
}

PlanResult PlanLoad(const PlacementScene& scene, const ModelRoute& route) {
  bool may_come = false;
  const std::vector<Candidate> candidates =
      CandidatesFor(scene, route, may_come);
  const Candidate* best = PickWithRoom(candidates, route.memory_mib);
  if (best != nullptr) {
    return PlanResult{
        .state = PlanState::kPlanned,
        .plan = LoadPlan{.target = best->target->id, .tier = best->tier}};
  }
  std::optional<double> least;
  std::vector<ModelId> victims;
  std::ranges::for_each(candidates, [&](const Candidate& candidate) {
    const auto room = PlanRoom(scene, candidate, route);
    if (room.has_value() && (!least.has_value() || room->first < *least)) {
      least = room->first;
      victims = room->second;
      best = &candidate;
    }
  });
  if (best == nullptr) {
    return PlanResult{.state = may_come ? PlanState::kLater
                                        : PlanState::kNoCapacity};
  }
  if (victims.empty()) {
    return PlanResult{.state = PlanState::kLater};
  }
  return PlanResult{.state = PlanState::kPlanned,
                    .plan = LoadPlan{.target = best->target->id,
                                     .tier = best->tier,
                                     .victims = std::move(victims)}};
}

}  // namespace cicadaloft
