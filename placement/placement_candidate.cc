#include <algorithm>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

#include "placement_core.h"

namespace cicadaloft {
namespace {

/// Fraction of a target's slots in use above which another target with the
/// model is worth its memory.
constexpr double kBusySlotFraction = 0.6;

/// Costs of unloading, in seconds of waiting. Requests for an unloaded model
/// wait about this long.
constexpr double kReloadSeconds = 0.6;
/// Running requests delay the unload by about the duration of a request.
constexpr double kTypicalRunSeconds = 1.5;
/// Age of the last request at which kRecentUseCost counts half.
constexpr std::chrono::duration<double> kRecentUseHalfAge(4);
/// Cost of unloading a model that was just in use, beyond the cost by its
/// request rate.
constexpr double kRecentUseCost = 0.5;
/// Urgency of a model that only batch requests use. The fraction of interactive
/// requests is added, since they lose more by waiting for a load.
constexpr double kBatchUrgency = 0.15;
/// Cost of unloading a model that other targets have loaded too, as a fraction
/// of its request rate: much less than that of a sole replica.
constexpr double kReplicaWeight = 0.05;

/// The best target is waited for if it can take an order within this time; a
/// load from the weight store takes several times as long.
constexpr Duration kMaxTimeUntilFree = std::chrono::seconds(1);

/// A newly loaded model first serves the requests that waited for it.
constexpr Duration kMinServingTime = std::chrono::milliseconds(1200);
/// Cost of unloading it before that time, in seconds of waiting.
constexpr double kEarlyUnloadCost = 3;

/// Added cost of unloading the only replica in a data centre, as a fraction of
/// its request rate: the link to another data centre may fail.
constexpr double kOnlyReplicaWeight = 0.08;

}  // namespace

// A load from the weight store takes several times as long as one from a copy,
// and is considered only if no target with a copy is suitable.
std::optional<PlacementCore::Candidate> PlacementCore::FindCandidate(
    const ModelPath& path,
    const Demand& demand) {
  const Model* model = this->FindModel(demand.service, path.model);
  const Engine* engine = this->FindEngine(demand.service);
  std::optional<Candidate> best;
  if (demand.reserved_target) {
    best = this->BestCandidate(std::set<TargetId>{*demand.reserved_target},
                               *model, demand);
  } else {
    best = this->BestCandidate(this->targets_with_copy.TargetsWith(path.model),
                               *model, demand);
    if (!best && this->CanLoadFromStore(*engine)) {
      best = this->BestCandidate(this->trackers | std::views::keys, *model,
                                 demand);
    }
  }
  // A target that is free soon and has a copy of the weights is waited for.
  const bool is_free = best && best->tracker->IsFree(this->now);
  return is_free ? best : std::nullopt;
}

template <typename Targets>
std::optional<PlacementCore::Candidate> PlacementCore::BestCandidate(
    const Targets& targets,
    const Model& model,
    const Demand& demand) {
  const Engine* engine = this->FindEngine(demand.service);
  std::optional<Candidate> best;
  for (const TargetId& id : targets) {
    TargetTracker& tracker = this->trackers.at(id);
    const std::chrono::duration<double> time_until_free =
        tracker.TimeUntilFree(this->now);
    if (time_until_free > kMaxTimeUntilFree ||
        !this->MayServe(tracker, demand) || demand.denied_by.contains(id) ||
        this->IsReserved(id, demand)) {
      continue;
    }
    auto candidate = this->CandidateOn(tracker, model, *engine);
    if (!candidate) {
      continue;
    }
    candidate->cost += time_until_free.count();
    if (!best || candidate->cost < best->cost) {
      best = std::move(candidate);
    }
  }
  return best;
}

bool PlacementCore::CanLoadFromStore(const Engine& engine) {
  return this->StoreLoadCount() < this->store_loads.limit() &&
         this->store_load_budget.CanAcquire(engine.store_loads_per_second,
                                            this->now);
}

std::optional<PlacementCore::Candidate> PlacementCore::CandidateOn(
    TargetTracker& tracker,
    const Model& model,
    const Engine& engine) {
  Candidate candidate{.tracker = &tracker,
                      .source = tracker.SourceOf(model.id)};
  if (candidate.source == WeightSource::kStore &&
      !this->CanLoadFromStore(engine)) {
    return std::nullopt;
  }
  const std::chrono::duration<double> load_time =
      LoadTime(model, candidate.source);
  candidate.cost = load_time.count();
  std::vector<std::pair<double, ModelPath>> models_by_cost;
  for (const ModelPath& loaded_path : tracker.paths()) {
    if (!loaded_path.IsAdapter()) {
      models_by_cost.emplace_back(this->UnloadCost(loaded_path, tracker),
                                  loaded_path);
    }
  }
  std::ranges::sort(models_by_cost);
  double used_mb = this->UsedMb(tracker);
  for (const auto& [unload_cost, victim] : models_by_cost) {
    if (used_mb + model.weights_mb <= engine.capacity_mb) {
      break;
    }
    const Model* victim_model =
        this->FindModel(tracker.record().service, victim.model);
    used_mb -= victim_model == nullptr ? 0 : victim_model->weights_mb;
    candidate.cost += unload_cost;
    candidate.victims.push_back(victim);
  }
  if (used_mb + model.weights_mb > engine.capacity_mb) {
    return std::nullopt;
  }
  return candidate;
}

// Expected cost of unloading the model from this target, in seconds of waiting.
double PlacementCore::UnloadCost(const ModelPath& path,
                                 const TargetTracker& tracker) const {
  const ServiceId& service = tracker.record().service;
  const std::uint32_t target_count = this->LoadedTargetCount(service, path);
  const double rate = this->history.RequestRate(path, this->now);
  const double running = this->history.RunningCount(path);
  const double urgency =
      kBatchUrgency + this->history.InteractiveFraction(path);
  const bool is_new = this->now < tracker.LoadedAt(path) + kMinServingTime;
  const double wait_cost =
      (running > 0 ? kTypicalRunSeconds : 0) + (is_new ? kEarlyUnloadCost : 0);
  if (target_count > 1) {
    const bool is_busy = running / (target_count - 1) >
                         tracker.record().slots * kBusySlotFraction;
    const double only_replica_cost =
        this->IsOnlyReplicaInDataCentre(path, tracker)
            ? rate * kOnlyReplicaWeight * urgency
            : 0;
    return wait_cost / target_count + rate * kReplicaWeight +
           only_replica_cost + (is_busy ? rate * kReloadSeconds : 0);
  }
  // Requests may resume; the longer ago the last one was, the less likely.
  const std::chrono::duration<double> age =
      this->now - this->history.LastUse(path);
  const double recent_use_cost =
      kRecentUseCost / (1 + age.count() / kRecentUseHalfAge.count());
  return wait_cost + (rate * kReloadSeconds + recent_use_cost) * urgency;
}

// Whether no other target of the data centre has the path loaded.
bool PlacementCore::IsOnlyReplicaInDataCentre(
    const ModelPath& path,
    const TargetTracker& tracker) const {
  return std::ranges::none_of(
      this->loaded_targets.TargetsWith(path), [&](const TargetId& target) {
        const TargetTracker& other = this->trackers.at(target);
        return &other != &tracker && other.HasPath(path) &&
               this->IsUsable(other) &&
               other.record().data_centre == tracker.record().data_centre;
      });
}

}  // namespace cicadaloft
