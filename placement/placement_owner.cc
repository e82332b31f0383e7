#include "cicadaloft/placement/placement_owner.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/core/control_reasons.h"

namespace cicadaloft {
namespace {

using std::chrono::seconds;

/// Between two looks at which targets are to be polled.
constexpr Duration kPollStep = std::chrono::milliseconds(40);
/// Requests that have waited so long for a loaded model get another replica.
constexpr Duration kReplicaWait = seconds(2);
/// Between two loads of the same model.
constexpr Duration kReplicaInterval = seconds(5);
/// Demand that can't be met is told of after this time, and then this often.
constexpr Duration kCapacityPatience = seconds(1);
constexpr Duration kCapacityInterval = seconds(1);
/// A regular model is loaded so long before it is expected, and given up so
/// long after.
constexpr Duration kAheadTime = seconds(20);

std::string Describe(const PlaceKey& key) {
  return "model=" + key.model.value() + " target=" + key.target.value();
}

/// @return this data centre's part of a limit that all share.
std::uint32_t PartOf(std::uint32_t limit, std::uint32_t data_centres) {
  const std::uint32_t parts = std::max<std::uint32_t>(1, data_centres);
  return std::max<std::uint32_t>(1, (limit + parts - 1) / parts);
}

}  // namespace

PlacementOwner::PlacementOwner(const PlacementTerms& terms) : terms(terms) {}

void PlacementOwner::TakeDemand(const HostId& host,
                                const std::vector<ModelDemand>& demands,
                                TimePoint now) {
  this->queue.Take(host, demands, now);
  std::ranges::for_each(demands, [&](const ModelDemand& demand) {
    if (demand.arrived + demand.running + demand.waiting_interactive +
            demand.waiting_batch >
        0) {
      this->history.Note(demand.model, now);
    }
  });
}

void PlacementOwner::Work(const PlacementView& view) {
  this->NoteToken(view);
  if (!view.token.has_value()) {
    return;
  }
  this->queue.Expire(view.now);
  this->Poll(view);
  this->RetryInOutage(view);
  this->SendOrders(view);
  if (view.may_order && !view.is_stopping) {
    this->DecideLoads(view);
    this->LoadAhead(view);
  }
  this->overlay.reset();
}

void PlacementOwner::Poll(const PlacementView& view) {
  if (view.now < this->next_poll) {
    return;
  }
  this->next_poll = view.now + kPollStep;
  std::ranges::for_each(this->watch.Due(view.config, this->terms.data_centre,
                                        this->terms.poll_interval, view.now),
                        [this](const TargetId& target) {
                          this->Emit(PollWanted{.target = target});
                        });
}

void PlacementOwner::NoteToken(const PlacementView& view) {
  if (view.token == this->known_token) {
    return;
  }
  this->known_token = view.token;
  this->taken_over = view.now;
  this->book.Clear();
  this->watch.Clear();
  this->touched.clear();
  this->absences.clear();
  this->strays.clear();
  this->barred.clear();
  this->inherited.clear();
  if (!view.was_handed_over) {
    std::ranges::copy(view.folded.targets() | std::views::keys,
                      std::inserter(this->inherited, this->inherited.end()));
  }
}

void PlacementOwner::Emit(PlacementEffect effect) {
  this->effects.push_back(std::move(effect));
}

void PlacementOwner::Explain(const char* reason, std::string detail) {
  this->Emit(DecisionLine{.reason = reason, .detail = std::move(detail)});
}

std::vector<PlacementEffect> PlacementOwner::TakeEffects() {
  std::vector<PlacementEffect> taken;
  taken.swap(this->effects);
  return taken;
}

std::set<TargetId> PlacementOwner::Unready(const PlacementView& view) const {
  std::set<TargetId> unready;
  std::ranges::for_each(
      view.config.All<Target>() | std::views::values, [&](const auto& target) {
        const auto* back_end =
            view.config.Find<BackEnd>(target->back_end.value());
        const bool is_fenced = back_end != nullptr && back_end->checks_fencing;
        const bool may_have_orders =
            !is_fenced && this->inherited.contains(target->id) &&
            view.now - this->taken_over < this->terms.order_term;
        const TargetSighting* sighting = this->watch.Find(target->id);
        if (may_have_orders || sighting == nullptr ||
            !sighting->report.has_value() ||
            sighting->polled < this->taken_over) {
          unready.insert(target->id);
        }
      });
  return unready;
}

PlacementScene PlacementOwner::SceneOf(
    const PlacementView& view,
    const std::set<TargetId>& unready) const {
  return PlacementScene{.config = view.config,
                        .table = *this->overlay,
                        .watch = this->watch,
                        .queue = this->queue,
                        .history = this->history,
                        .loaded_at = this->loaded_at,
                        .touched = this->touched,
                        .barred = this->barred,
                        .unready = unready,
                        .data_centre = this->terms.data_centre,
                        .now = view.now};
}

bool PlacementOwner::MayLoadMore(const PlacementView& view,
                                 const ModelRoute& route) const {
  const auto* back_end = view.config.Find<BackEnd>(route.back_end.value());
  if (back_end == nullptr) {
    return false;
  }
  const auto counts = [&](const auto& entry) {
    const PlacementOrder& order = entry.second;
    const auto* other =
        view.config.Find<ModelRoute>(order.record.model.value());
    const bool loads = order.record.action == PlacementAction::kLoad &&
                       order.phase != OrderPhase::kReporting;
    return loads && other != nullptr && other->back_end == route.back_end &&
           other->base.has_value() == route.base.has_value() &&
           (route.base.has_value() || order.uses_store);
  };
  const auto in_flight = std::ranges::count_if(this->book.entries(), counts);
  const std::uint32_t limit = route.base.has_value()
                                  ? back_end->adapter_concurrency
                                  : back_end->store_concurrency;
  return in_flight < PartOf(limit, view.data_centres);
}

bool PlacementOwner::WantsReplica(const PlacementView& view,
                                  const ModelRoute& route,
                                  const ModelWanted& wanted) const {
  const std::vector<TargetId> holders = this->overlay->HoldersOf(route.model);
  if (holders.empty()) {
    return true;
  }
  if (holders.size() >= route.max_replicas) {
    return false;
  }
  const bool is_settled =
      std::ranges::all_of(holders, [&](const TargetId& target) {
        const Reservation* held = this->overlay->Find(target, route.model);
        const auto loaded = this->loaded_at.find(
            PlaceKey{.target = target, .model = route.model});
        const bool is_recent = loaded != this->loaded_at.end() &&
                               view.now - loaded->second < kReplicaInterval;
        return held->state == ReservationState::kLoaded && !is_recent;
      });
  return is_settled && wanted.oldest_wait >= kReplicaWait;
}

void PlacementOwner::DecideLoads(const PlacementView& view) {
  std::vector<ModelWanted> waiting = this->queue.Waiting(view.now);
  std::vector<std::pair<double, std::size_t>> order;
  std::ranges::for_each(
      std::views::iota(std::size_t{0}, waiting.size()), [&](std::size_t index) {
        const auto* route =
            view.config.Find<ModelRoute>(waiting[index].model.value());
        const double cost =
            route == nullptr
                ? 1
                : LoadCost(route->memory_mib, CheckpointTier::kRemote);
        order.emplace_back(-WaitSaved(waiting[index], cost), index);
      });
  std::ranges::sort(order);
  std::erase_if(this->wanted_since, [&](const auto& entry) {
    return std::ranges::find(waiting, entry.first, &ModelWanted::model) ==
           waiting.end();
  });
  if (!waiting.empty()) {
    this->overlay.emplace(this->book.Overlay(view.config, view.folded));
  }
  std::ranges::for_each(order, [&](const auto& next) {
    if (this->DecideLoad(view, waiting[next.second])) {
      this->overlay.emplace(this->book.Overlay(view.config, view.folded));
    }
  });
}

bool PlacementOwner::DecideLoad(const PlacementView& view,
                                const ModelWanted& wanted) {
  const auto* route = view.config.Find<ModelRoute>(wanted.model.value());
  const TimePoint since =
      this->wanted_since.try_emplace(wanted.model, view.now).first->second;
  if (route == nullptr || !this->WantsReplica(view, *route, wanted)) {
    return false;
  }
  if (route->base.has_value() &&
      this->overlay->HoldersOf(*route->base).empty()) {
    return this->DecideLoad(view, ModelWanted{.model = *route->base,
                                              .interactive = wanted.interactive,
                                              .batch = wanted.batch,
                                              .oldest_wait = wanted.oldest_wait,
                                              .hosts = wanted.hosts});
  }
  const std::set<TargetId> unready = this->Unready(view);
  const PlacementScene scene = this->SceneOf(view, unready);
  const PlanResult result = PlanLoad(scene, *route);
  const bool has_replica = !this->overlay->HoldersOf(wanted.model).empty();
  if (result.state == PlanState::kPlanned) {
    const bool needs_slot = result.plan->victims.empty() &&
                            (route->base.has_value() ||
                             result.plan->tier == CheckpointTier::kRemote);
    if (needs_slot && !this->MayLoadMore(view, *route)) {
      return false;
    }
    this->CarryOut(
        view, *route, *result.plan,
        has_replica ? reasons::kReplicaDecided : reasons::kLoadDecided);
    return true;
  }
  if (result.state == PlanState::kNoCapacity && !has_replica &&
      view.now - since >= kCapacityPatience) {
    this->TellNoCapacity(wanted, view.now);
  }
  return false;
}

void PlacementOwner::TellNoCapacity(const ModelWanted& wanted, TimePoint now) {
  const auto last = this->refused.find(wanted.model);
  if (last != this->refused.end() && now - last->second < kCapacityInterval) {
    return;
  }
  this->refused.insert_or_assign(wanted.model, now);
  this->Explain(reasons::kNoCapacity, "model=" + wanted.model.value());
  this->Emit(CapacityMissing{.wanted = wanted});
}

void PlacementOwner::CarryOut(const PlacementView& view,
                              const ModelRoute& route,
                              const LoadPlan& plan,
                              const char* reason) {
  if (plan.victims.empty()) {
    this->Decide(view, PlaceKey{.target = plan.target, .model = route.model},
                 PlacementAction::kLoad, plan.tier == CheckpointTier::kRemote,
                 reason);
    return;
  }
  std::ranges::for_each(plan.victims, [&](const ModelId& victim) {
    this->Decide(view, PlaceKey{.target = plan.target, .model = victim},
                 PlacementAction::kUnload, false, reasons::kUnloadDecided);
  });
}

void PlacementOwner::Decide(const PlacementView& view,
                            const PlaceKey& key,
                            PlacementAction action,
                            bool uses_store,
                            const char* reason) {
  const PlacementRecord record{
      .target = key.target,
      .model = key.model,
      .action = action,
      .instance = this->overlay->MemoryOf(key.target).instance,
      .ordered_in_outage = view.is_outage};
  const SequenceNumber sequence = view.submit(record);
  this->book.Decide(record, sequence, uses_store, view.now);
  this->Explain(reason, Describe(key));
  if (view.is_outage) {
    this->Emit(MirrorWanted{.sequence = sequence});
  }
}

void PlacementOwner::LoadAhead(const PlacementView& view) {
  if (view.is_outage || !this->queue.Waiting(view.now).empty() ||
      !this->book.entries().empty()) {
    return;
  }
  const auto is_due = [&](const ModelId& model) {
    const std::optional<TimePoint> expected = this->history.ExpectedUse(model);
    return view.folded.HoldersOf(model).empty() && expected.has_value() &&
           view.now >= *expected - kAheadTime &&
           view.now <= *expected + kAheadTime;
  };
  const std::vector<ModelId> regular = this->history.RegularModels();
  const auto next = std::ranges::find_if(regular, is_due);
  const auto* route = next == regular.end()
                          ? nullptr
                          : view.config.Find<ModelRoute>(next->value());
  if (route == nullptr) {
    return;
  }
  this->overlay.emplace(this->book.Overlay(view.config, view.folded));
  const std::set<TargetId> unready = this->Unready(view);
  const PlanResult result = PlanLoad(this->SceneOf(view, unready), *route);
  // Only free memory is used: nothing makes room for a guess.
  if (result.plan.has_value() && result.plan->victims.empty() &&
      this->MayLoadMore(view, *route)) {
    this->CarryOut(view, *route, *result.plan, reasons::kLoadAhead);
  }
}

}  // namespace cicadaloft
