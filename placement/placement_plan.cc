#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <string>

#include "placement_core.h"

namespace cicadaloft {
namespace {

/// A demand that is not repeated expires. Hosts repeat it every 400 ms while
/// requests wait.
constexpr Duration kDemandTtl = std::chrono::milliseconds(1300);

/// Free memory is filled at this interval, with one model per target.
constexpr Duration kFillInterval = std::chrono::milliseconds(200);
/// Requests per second on each target up to which a model is not loaded on a
/// further target.
constexpr double kMinRatePerTarget = 0.5;

/// Between two log records on demands that are not placed yet.
constexpr Duration kWaitingLogInterval = std::chrono::seconds(1);

/// Requests with at least this latency objective are batch work, which may
/// wait.
constexpr Duration kBatchLatencyObjective = std::chrono::seconds(1);
/// At most this fraction of the targets frees memory for batch work at a time:
/// a target serves no requests meanwhile, and too few would be left.
constexpr double kMaxBatchReservationFraction = 1.0 / 3;

/// Number of adapters for which a filled target keeps memory free.
constexpr double kReservedAdapterCount = 4;

}  // namespace

void PlacementCore::Plan() {
  if (this->token == FencingToken() || !this->configuration) {
    return;
  }
  this->RequestReports();
  this->DropExpiredDemands();
  std::vector<DemandKey> keys;
  std::ranges::copy(this->demands | std::views::keys, std::back_inserter(keys));
  this->ServeByDeadline(keys);
  this->LogWaiting();
  this->FillFreeMemory();
}

void PlacementCore::DropExpiredDemands() {
  std::erase_if(this->demands, [this](const auto& entry) {
    return this->now - entry.second.last_requested_at > kDemandTtl;
  });
}

// Serves the demand with the earliest deadline first.
void PlacementCore::ServeByDeadline(const std::vector<DemandKey>& keys) {
  if (this->token == FencingToken() || !this->configuration) {
    return;
  }
  std::vector<std::pair<TimePoint, DemandKey>> by_deadline;
  by_deadline.reserve(keys.size());
  for (const DemandKey& key : keys) {
    const Demand& demand = this->demands.at(key);
    by_deadline.emplace_back(
        demand.first_requested_at + demand.latency_objective, key);
  }
  std::ranges::sort(by_deadline);
  for (const auto& [deadline, key] : by_deadline) {
    if (this->Serve(key.path, this->demands.at(key))) {
      this->demands.erase(key);
    }
  }
}

// Continues with the demands for which an order on this target has ended.
void PlacementCore::ServeDemandsOrderedOn(const TargetId& target) {
  std::vector<DemandKey> keys;
  for (const auto& [key, demand] : this->demands) {
    if (demand.ordered_target == target) {
      keys.push_back(key);
    }
  }
  this->ServeByDeadline(keys);
}

void PlacementCore::LogWaiting() {
  if (this->demands.empty() ||
      this->now - this->last_waiting_log_at < kWaitingLogInterval) {
    return;
  }
  this->last_waiting_log_at = this->now;
  const auto oldest = std::ranges::min(this->demands | std::views::values, {},
                                       &Demand::first_requested_at)
                          .first_requested_at;
  const auto count = [this](auto predicate) {
    return std::ranges::count_if(this->trackers | std::views::values,
                                 predicate);
  };
  this->LogDecision("place.waiting",
                    {{"wanted", this->demands.size()},
                     {"oldest_ms", this->now - oldest},
                     {"making_room", this->ReservationCount()},
                     {"store_loads", this->StoreLoadCount()},
                     {"targets", this->trackers.size()},
                     {"unknown", count([](const TargetTracker& tracker) {
                        return !tracker.IsStateKnown();
                      })},
                     {"busy", count([](const TargetTracker& tracker) {
                        return tracker.loading().has_value() ||
                               tracker.pending_order().has_value();
                      })}});
}

void PlacementCore::RequestReports() {
  for (auto& [id, tracker] : this->trackers) {
    if (tracker.NeedsReport(this->now) &&
        this->FindEngine(tracker.record().service) != nullptr) {
      tracker.OnReportRequested(this->now);
      this->effects.emplace_back(RequestTargetReport{
          .target = id, .address = tracker.record().address});
    }
  }
}

// @return whether the demand can be removed: its path is loaded, or its model
// is no longer configured.
bool PlacementCore::Serve(const ModelPath& path, Demand& demand) {
  if (this->FindModel(demand.service, path.model) == nullptr) {
    return true;
  }
  if (this->IsLoadOrderPending(path, demand)) {
    return false;
  }
  if (this->AnnounceLoaded(path, demand)) {
    return true;
  }
  return path.IsAdapter() ? this->PlaceAdapter(path, demand)
                          : this->PlaceModel(path, demand);
}

// Whether an order to load the path where it serves the demand is unanswered.
bool PlacementCore::IsLoadOrderPending(const ModelPath& path,
                                       const Demand& demand) const {
  return std::ranges::any_of(
      this->loaded_targets.TargetsWith(path), [&](const TargetId& target) {
        const TargetTracker& tracker = this->trackers.at(target);
        const auto& pending_order = tracker.pending_order();
        return pending_order && pending_order->kind == OrderKind::kLoad &&
               pending_order->path == path &&
               (!demand.software ||
                tracker.record().software == *demand.software);
      });
}

void PlacementCore::EndDemands(const ModelPath& path,
                               const TargetTracker& tracker) {
  this->demands.erase(DemandKey{.path = path});
  this->demands.erase(
      DemandKey{.path = path, .software = tracker.record().software});
}

// Notifies the requesting hosts again of where the path is or will be loaded:
// they have missed the first notification.
bool PlacementCore::AnnounceLoaded(const ModelPath& path,
                                   const Demand& demand) {
  bool is_loaded = false;
  for (const TargetId& id : this->loaded_targets.TargetsWith(path)) {
    const TargetTracker& tracker = this->trackers.at(id);
    if (!this->MayServe(tracker, demand)) {
      continue;
    }
    if (tracker.IsLoadingOrOrdered(path)) {
      this->NotifyHosts(
          tracker, path, true,
          std::max(Duration::zero(), tracker.loading()->ready_at - this->now),
          demand.requested_by);
      is_loaded = true;
    } else if (tracker.HasPath(path) && !demand.denied_by.contains(id)) {
      this->NotifyHosts(tracker, path, true, Duration::zero(),
                        demand.requested_by);
      is_loaded = true;
    }
  }
  return is_loaded;
}

bool PlacementCore::PlaceModel(const ModelPath& path, Demand& demand) {
  if (demand.reserved_target) {
    const auto reserved_target = this->trackers.find(*demand.reserved_target);
    if (reserved_target == this->trackers.end() ||
        !this->MayServe(reserved_target->second, demand)) {
      demand.reserved_target.reset();
    }
  }
  const auto candidate = this->FindCandidate(path, demand);
  if (!candidate) {
    return false;
  }
  const bool starts_reservation =
      !demand.reserved_target && !candidate->victims.empty();
  if (starts_reservation &&
      demand.latency_objective >= kBatchLatencyObjective &&
      this->ReservationCount() >=
          std::ceil(kMaxBatchReservationFraction *
                    this->UsableTargetCount(demand.service))) {
    return false;
  }
  demand.reserved_target = candidate->tracker->record().id;
  demand.ordered_target = demand.reserved_target;
  if (!candidate->victims.empty()) {
    this->IssueOrder(*candidate->tracker, OrderKind::kUnload,
                     candidate->victims.front(), "place.make_room");
    return false;
  }
  if (candidate->source == WeightSource::kStore) {
    this->store_load_budget.Acquire();
  }
  this->IssueOrder(*candidate->tracker, OrderKind::kLoad, path, "place.load");
  return false;
}

// Number of demands for which a target is freeing memory.
std::uint32_t PlacementCore::ReservationCount() const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(this->demands, [](const auto& entry) {
        return entry.second.reserved_target.has_value();
      }));
}

// Number of targets that can get orders for the service, according to the
// registry.
std::uint32_t PlacementCore::UsableTargetCount(const ServiceId& service) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      this->trackers | std::views::values, [&](const TargetTracker& tracker) {
        return tracker.record().service == service && this->IsUsable(tracker);
      }));
}

// Whether the target is freeing memory for another demand.
bool PlacementCore::IsReserved(const TargetId& target,
                               const Demand& demand) const {
  return std::ranges::any_of(this->demands, [&](const auto& entry) {
    return &entry.second != &demand && entry.second.reserved_target == target;
  });
}

bool PlacementCore::PlaceAdapter(const ModelPath& path, Demand& demand) {
  const Engine* engine = this->FindEngine(demand.service);
  const Model* model = this->FindModel(demand.service, path.model);
  TargetTracker* best = nullptr;
  bool is_base_loaded = false;
  for (const TargetId& id : this->loaded_targets.TargetsWith(path.Base())) {
    TargetTracker& tracker = this->trackers.at(id);
    if (!this->MayServe(tracker, demand)) {
      continue;
    }
    is_base_loaded = true;
    if (!tracker.IsFree(this->now)) {
      continue;
    }
    if (best == nullptr ||
        this->AdapterCountOn(tracker) < this->AdapterCountOn(*best)) {
      best = &tracker;
    }
  }
  if (!is_base_loaded) {
    this->PlaceModel(path.Base(), demand);
    return false;
  }
  if (best == nullptr) {
    return false;
  }
  demand.ordered_target = best->record().id;
  const bool has_slot = this->AdapterCountOn(*best) < engine->max_adapters;
  const bool has_memory =
      this->UsedMb(*best) + model->adapter_mb <= engine->capacity_mb;
  if (has_slot && has_memory) {
    this->IssueOrder(*best, OrderKind::kLoad, path, "place.load");
    return false;
  }
  std::optional<ModelPath> oldest;
  for (const ModelPath& loaded_path : best->paths()) {
    const bool is_older = loaded_path.IsAdapter() &&
                          (!oldest || this->history.LastUse(loaded_path) <
                                          this->history.LastUse(*oldest));
    if (is_older) {
      oldest = loaded_path;
    }
  }
  if (oldest) {
    this->IssueOrder(*best, OrderKind::kUnload, *oldest, "place.make_room");
  }
  return false;
}

void PlacementCore::FillFreeMemory() {
  if (!this->demands.empty() ||
      this->now - this->last_fill_at < kFillInterval) {
    return;
  }
  this->last_fill_at = this->now;
  for (auto& [id, tracker] : this->trackers) {
    const Engine* engine = this->FindEngine(tracker.record().service);
    if (engine != nullptr && this->IsUsable(tracker) &&
        tracker.IsFree(this->now)) {
      this->FillTarget(tracker, *engine);
    }
  }
}

bool PlacementCore::HasMemoryFor(const TargetTracker& tracker,
                                 const Model& model,
                                 const Engine& engine) const {
  return this->UsedMb(tracker) + model.weights_mb +
             model.adapter_mb * kReservedAdapterCount <=
         engine.capacity_mb;
}

// Loads a model that no target has loaded, or else a further replica of the
// one with the highest request rate per target.
void PlacementCore::FillTarget(TargetTracker& tracker, const Engine& engine) {
  const ServiceId& service = tracker.record().service;
  const Model* best = nullptr;
  double best_score = 0;
  for (const ModelId& id : tracker.ModelsWithCopy()) {
    const ModelPath path{.model = id};
    const Model* model = this->FindModel(service, id);
    if (model == nullptr || tracker.HasPath(path) ||
        !this->HasMemoryFor(tracker, *model, engine)) {
      continue;
    }
    const std::uint32_t target_count = this->LoadedTargetCount(service, path);
    const double rate = this->history.RequestRate(path, this->now);
    const double score = target_count == 0
                             ? 1 + rate
                             : (rate / target_count > kMinRatePerTarget
                                    ? rate / target_count / 100
                                    : 0);
    if (score > best_score) {
      best = model;
      best_score = score;
    }
  }
  if (best != nullptr) {
    this->IssueOrder(tracker, OrderKind::kLoad, ModelPath{.model = best->id},
                     "place.fill");
  }
}

}  // namespace cicadaloft
