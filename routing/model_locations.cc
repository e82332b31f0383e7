#include "cicadaloft/routing/model_locations.h"

#include <algorithm>
#include <iterator>

namespace cicadaloft {

void ModelLocations::Update(const TargetRecord& record, TimePoint now) {
  Target& target = this->targets[record.id];
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
    this->Index(record.id, path);
  }
  this->DropSettled(target, now);
}

void ModelLocations::Remove(const TargetId& target) {
  this->targets.erase(target);
  for (auto& [path, holders] : this->candidates) {
    holders.erase(target);
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
  Target& target = found->second;
  target.changes[change.path] =
      Change{.is_load = change.is_load, .ready_at = now + change.ready_in};
  target.denied_until.erase(change.path);
  if (!change.is_load && !change.path.IsAdapter()) {
    // A model takes its adapters with it.
    for (const ModelPath& path : target.loaded) {
      if (path.model == change.path.model && path.IsAdapter()) {
        target.changes[path] = target.changes[change.path];
      }
    }
  }
  this->Index(change.target, change.path);
}

void ModelLocations::OnDenial(const TargetId& target,
                              const ModelPath& path,
                              Duration term,
                              TimePoint now) {
  const auto found = this->targets.find(target);
  if (found != this->targets.end()) {
    found->second.denied_until[path] = now + term;
  }
}

std::vector<TargetId> ModelLocations::LoadedTargets(const ModelPath& path,
                                                    TimePoint now) const {
  std::vector<TargetId> holders;
  const auto found = this->candidates.find(path);
  if (found == this->candidates.end()) {
    return holders;
  }
  std::ranges::copy_if(found->second, std::back_inserter(holders),
                       [&](const TargetId& id) {
                         const auto target = this->targets.find(id);
                         return target != this->targets.end() &&
                                Holds(target->second, path, now);
                       });
  return holders;
}

std::vector<TargetId> ModelLocations::DenyingTargets(const ModelPath& path,
                                                     TimePoint now) const {
  std::vector<TargetId> deniers;
  for (const auto& [id, target] : this->targets) {
    const auto denied = target.denied_until.find(path);
    if (denied != target.denied_until.end() && now < denied->second) {
      deniers.push_back(id);
    }
  }
  return deniers;
}

std::optional<TimePoint> ModelLocations::ExpectedReadyAt(const ModelPath& path,
                                                         TimePoint now) const {
  std::optional<TimePoint> earliest;
  const auto found = this->candidates.find(path);
  if (found == this->candidates.end()) {
    return earliest;
  }
  for (const TargetId& id : found->second) {
    const auto target = this->targets.find(id);
    if (target == this->targets.end()) {
      continue;
    }
    const auto change = target->second.changes.find(path);
    const bool is_coming = change != target->second.changes.end() &&
                           change->second.is_load &&
                           change->second.ready_at > now;
    if (is_coming && (!earliest || change->second.ready_at < *earliest)) {
      earliest = change->second.ready_at;
    }
  }
  return earliest;
}

bool ModelLocations::Holds(const Target& target,
                           const ModelPath& path,
                           TimePoint now) {
  const auto denied = target.denied_until.find(path);
  if (denied != target.denied_until.end() && now < denied->second) {
    return false;
  }
  const auto change = target.changes.find(path);
  const bool is_told = target.loaded.contains(path);
  if (change == target.changes.end() ||
      now >= change->second.ready_at + kOrderEffectTimeout) {
    return is_told;
  }
  return change->second.is_load && change->second.ready_at <= now;
}

void ModelLocations::Index(const TargetId& id, const ModelPath& path) {
  this->candidates[path].insert(id);
}

// Drops what the record tells by itself, and what should show by now.
void ModelLocations::DropSettled(Target& target, TimePoint now) {
  std::erase_if(target.changes, [&](const auto& entry) {
    const bool is_seen = target.loaded.contains(entry.first);
    const bool is_over = now >= entry.second.ready_at + kOrderEffectTimeout;
    return entry.second.is_load == is_seen || is_over;
  });
  std::erase_if(target.denied_until,
                [&](const auto& entry) { return entry.second < now; });
}

}  // namespace cicadaloft
