#include "cicadaloft/placement/placement_table.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>
#include <utility>

namespace cicadaloft {
namespace {

using Reason = std::optional<std::string>;

bool HasAdaptersOf(const Config& config,
                   const TargetMemory& memory,
                   const ModelId& base) {
  return std::ranges::any_of(
      memory.reservations | std::views::keys, [&](const ModelId& model) {
        const auto* route = config.Find<ModelRoute>(model.value());
        return route != nullptr && route->base == base;
      });
}

Reason CheckLoad(const Config& config,
                 const PlacementTable& table,
                 const PlacementRecord& record) {
  const auto* route = config.Find<ModelRoute>(record.model.value());
  const auto* target = config.Find<Target>(record.target.value());
  if (route == nullptr || target == nullptr) {
    return "no such model or target";
  }
  if (route->back_end != target->back_end) {
    return "the model is of another back end";
  }
  const TargetMemory& memory = table.MemoryOf(record.target);
  if (memory.reservations.contains(record.model)) {
    return "the target already holds it";
  }
  if (memory.ReservedMib() + route->memory_mib > target->memory_mib) {
    return "the target's memory does not hold it";
  }
  if (route->base.has_value() && !memory.reservations.contains(*route->base)) {
    return "its base model is not on the target";
  }
  if (table.HoldersOf(record.model).size() >= route->max_replicas) {
    return "all its replicas are decided";
  }
  return std::nullopt;
}

}  // namespace

std::uint64_t TargetMemory::ReservedMib() const {
  const auto sizes = this->reservations | std::views::values |
                     std::views::transform(&Reservation::memory_mib);
  return std::accumulate(sizes.begin(), sizes.end(), std::uint64_t{0});
}

PlacementTable::PlacementTable(std::map<TargetId, TargetMemory> targets)
    : memories(std::move(targets)) {
  std::ranges::for_each(this->memories, [this](const auto& entry) {
    std::ranges::for_each(entry.second.reservations | std::views::keys,
                          [&](const ModelId& model) {
                            this->holders[model].push_back(entry.first);
                          });
  });
}

const TargetMemory& PlacementTable::MemoryOf(const TargetId& target) const {
  static const TargetMemory kEmpty;
  const auto found = this->memories.find(target);
  return found == this->memories.end() ? kEmpty : found->second;
}

const Reservation* PlacementTable::Find(const TargetId& target,
                                        const ModelId& model) const {
  const auto& reservations = this->MemoryOf(target).reservations;
  const auto found = reservations.find(model);
  return found == reservations.end() ? nullptr : &found->second;
}

std::vector<TargetId> PlacementTable::HoldersOf(const ModelId& model) const {
  const auto found = this->holders.find(model);
  return found == this->holders.end() ? std::vector<TargetId>() : found->second;
}

std::vector<TargetId> PlacementTable::ReplicasOf(const ModelId& model) const {
  std::vector<TargetId> replicas;
  std::ranges::copy_if(this->HoldersOf(model), std::back_inserter(replicas),
                       [&](const TargetId& target) {
                         const Reservation* held = this->Find(target, model);
                         return held != nullptr &&
                                held->state == ReservationState::kLoaded;
                       });
  return replicas;
}

Reason PlacementTable::Check(const Config& config,
                             const PlacementRecord& record) const {
  const TargetMemory& memory = this->MemoryOf(record.target);
  if (memory.instance != record.instance) {
    return "the target has another process";
  }
  if (record.action == PlacementAction::kLoad) {
    return CheckLoad(config, *this, record);
  }
  const auto held = memory.reservations.find(record.model);
  if (held == memory.reservations.end()) {
    return "the target does not hold it";
  }
  if (held->second.state != ReservationState::kLoaded) {
    return "another order for it is under way";
  }
  if (HasAdaptersOf(config, memory, record.model)) {
    return "adapters on the target need it";
  }
  return std::nullopt;
}

Reason PlacementTable::Take(const Config& config,
                            const PlacementRecord& record,
                            LogOffset at) {
  if (!record.ordered_in_outage) {
    if (Reason reason = this->Check(config, record)) {
      return reason;
    }
  } else if (this->MemoryOf(record.target).instance != record.instance) {
    return "the target has another process";
  }
  const Reservation* held = this->Find(record.target, record.model);
  const auto* route = config.Find<ModelRoute>(record.model.value());
  const std::uint64_t memory_mib = held != nullptr    ? held->memory_mib
                                   : route != nullptr ? route->memory_mib
                                                      : 0;
  this->Set(record.target, record.model,
            Reservation{.state = record.action == PlacementAction::kLoad
                                     ? ReservationState::kLoading
                                     : ReservationState::kUnloading,
                        .memory_mib = memory_mib,
                        .decided = at});
  return std::nullopt;
}

Reason PlacementTable::Take(const PlacementOutcomeRecord& record) {
  const Reservation* held = this->Find(record.target, record.model);
  if (held == nullptr ||
      this->MemoryOf(record.target).instance != record.instance) {
    return "nothing of this process is reserved";
  }
  if (record.outcome != PlacementOutcome::kLoaded) {
    this->Erase(record.target, record.model);
    return std::nullopt;
  }
  this->Set(record.target, record.model,
            Reservation{.state = ReservationState::kLoaded,
                        .memory_mib = held->memory_mib,
                        .decided = held->decided});
  return std::nullopt;
}

Reason PlacementTable::Take(const TargetInstanceRecord& record) {
  if (this->memories.contains(record.target) &&
      this->MemoryOf(record.target).instance == record.instance) {
    return "this process is known";
  }
  const std::map<ModelId, Reservation> lost =
      this->MemoryOf(record.target).reservations;
  std::ranges::for_each(lost | std::views::keys, [&](const ModelId& model) {
    this->Erase(record.target, model);
  });
  this->memories[record.target].instance = record.instance;
  return std::nullopt;
}

void PlacementTable::Set(const TargetId& target,
                         const ModelId& model,
                         const Reservation& reservation) {
  auto& reservations = this->memories[target].reservations;
  if (reservations.erase(model) == 0) {
    this->holders[model].push_back(target);
  }
  reservations.emplace(model, reservation);
}

void PlacementTable::Erase(const TargetId& target, const ModelId& model) {
  this->memories[target].reservations.erase(model);
  const auto found = this->holders.find(model);
  if (found == this->holders.end()) {
    return;
  }
  std::erase(found->second, target);
  if (found->second.empty()) {
    this->holders.erase(found);
  }
}

}  // namespace cicadaloft
