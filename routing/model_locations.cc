#include "cicadaloft/routing/model_locations.h"

#include <algorithm>
#include <iterator>

namespace cicadaloft {

void ModelLocations::Update(const TargetRecord& record, TimePoint now) {
  TargetState& target = this->targets[record.id];
  if (record.instance != target.instance) {
    target.changes.clear();
    target.denied_until.clear();
  }
  for (const ModelPath& path : target.loaded) {
    if (!std::ranges::binary_search(record.loaded, path) &&
        !target.changes.contains(path)) {
      this->candidates[path].erase(record.id);
    }
  }
  target.instance = record.instance;
  target.loaded =
      std::set<ModelPath>(record.loaded.begin(), record.loaded.end());
  for (const ModelPath& path : target.loaded) {
    this->AddCandidate(record.id, path);
  }
  this->RemoveSettledChanges(target, now);
}

void ModelLocations::Remove(const TargetId& target) {
  this->targets.erase(target);
  for (auto& [path, loaded_targets] : this->candidates) {
    loaded_targets.erase(target);
  }
  std::erase_if(this->candidates,
                [](const auto& entry) { return entry.second.empty(); });
}

void ModelLocations::OnPlacementChange(const PlacementChange& change,
                                       TimePoint now) {
  const auto found = this->targets.find(change.target);
  if (found == this->targets.end() ||
      found->second.instance != change.instance) {
    return;
  }
  TargetState& target = found->second;
  target.changes[change.path] = PendingChange{
      .is_load = change.is_load, .ready_at = now + change.ready_in};
  target.denied_until.erase(change.path);
  if (!change.is_load && !change.path.IsAdapter()) {
    // Unloading a model also unloads its adapters.
    for (const ModelPath& path : target.loaded) {
      if (path.model == change.path.model && path.IsAdapter()) {
        target.changes[path] = target.changes[change.path];
      }
    }
  }
  this->AddCandidate(change.target, change.path);
}

void ModelLocations::OnDenial(const TargetId& target,
                              const ModelPath& path,
                              Duration ttl,
                              TimePoint now) {
  const auto found = this->targets.find(target);
  if (found != this->targets.end()) {
    found->second.denied_until[path] = now + ttl;
  }
}

std::vector<TargetId> ModelLocations::LoadedTargets(const ModelPath& path,
                                                    TimePoint now) const {
  std::vector<TargetId> loaded_targets;
  const auto found = this->candidates.find(path);
  if (found == this->candidates.end()) {
    return loaded_targets;
  }
  std::ranges::copy_if(found->second, std::back_inserter(loaded_targets),
                       [&](const TargetId& id) {
                         const auto target = this->targets.find(id);
                         return target != this->targets.end() &&
                                HasLoaded(target->second, path, now);
                       });
  return loaded_targets;
}

std::vector<TargetId> ModelLocations::DenyingTargets(const ModelPath& path,
                                                     TimePoint now) const {
  std::vector<TargetId> denying_targets;
  for (const auto& [id, target] : this->targets) {
    const auto denied = target.denied_until.find(path);
    if (denied != target.denied_until.end() && now < denied->second) {
      denying_targets.push_back(id);
    }
  }
  return denying_targets;
}

std::vector<std::pair<TargetId, TimePoint>> ModelLocations::PendingLoads(
    const ModelPath& path,
    TimePoint now) const {
  std::vector<std::pair<TargetId, TimePoint>> loads;
  const auto found = this->candidates.find(path);
  if (found == this->candidates.end()) {
    return loads;
  }
  for (const TargetId& id : found->second) {
    const auto target = this->targets.find(id);
    if (target == this->targets.end()) {
      continue;
    }
    const auto change = target->second.changes.find(path);
    const bool is_loading = change != target->second.changes.end() &&
                            change->second.is_load &&
                            change->second.ready_at > now;
    if (is_loading) {
      loads.emplace_back(id, change->second.ready_at);
    }
  }
  return loads;
}

bool ModelLocations::HasLoaded(const TargetState& target,
                               const ModelPath& path,
                               TimePoint now) {
  const auto denied = target.denied_until.find(path);
  if (denied != target.denied_until.end() && now < denied->second) {
    return false;
  }
  const auto change = target.changes.find(path);
  const bool is_reported = target.loaded.contains(path);
  if (change == target.changes.end() ||
      now >= change->second.ready_at + kOrderEffectTimeout) {
    return is_reported;
  }
  return change->second.is_load && change->second.ready_at <= now;
}

void ModelLocations::AddCandidate(const TargetId& id, const ModelPath& path) {
  this->candidates[path].insert(id);
}

// Removes changes that the target's record already shows, changes that have not
// shown in time, and expired denials.
void ModelLocations::RemoveSettledChanges(TargetState& target, TimePoint now) {
  std::erase_if(target.changes, [&](const auto& entry) {
    const bool is_reported = target.loaded.contains(entry.first);
    const bool is_expired = now >= entry.second.ready_at + kOrderEffectTimeout;
    return entry.second.is_load == is_reported || is_expired;
  });
  std::erase_if(target.denied_until,
                [&](const auto& entry) { return entry.second < now; });
}

}  // namespace cicadaloft
