#include "cicadaloft/fleet/fleet_tracker.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cicadaloft {
namespace {

/// Beyond this number, targets that are no longer in the registry are
/// forgotten.
constexpr std::size_t kMaxLeavingTargets = 1024;

}  // namespace

bool FleetTracker::Apply(const FleetEvent& event, TimePoint now) {
  return std::visit([&](const auto& item) { return this->Handle(item, now); },
                    event);
}

bool FleetTracker::Tick(TimePoint now) {
  if (this->pending_removals.empty() || this->IsRemovalInDoubt(now)) {
    return false;
  }
  const std::set<TargetId> removals = std::exchange(this->pending_removals, {});
  return std::ranges::count_if(removals, [this](const TargetId& target) {
           return this->Remove(target, "fleet.absent_after_outage");
         }) > 0;
}

FleetPtr FleetTracker::fleet() const {
  if (this->cached_fleet == nullptr) {
    this->cached_fleet =
        std::make_shared<const Fleet>(Fleet{.targets = this->targets});
  }
  return this->cached_fleet;
}

TargetRecordPtr FleetTracker::Find(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? nullptr : found->second;
}

std::vector<DecisionRecord> FleetTracker::TakeDecisionRecords() {
  return std::exchange(this->decision_records, {});
}

bool FleetTracker::Handle(const TargetUpdated& update, TimePoint) {
  this->pending_removals.erase(update.record->id);
  return this->Upsert(update.record);
}

bool FleetTracker::Handle(const TargetRemoved& removed, TimePoint now) {
  if (!this->targets.contains(removed.target)) {
    return false;
  }
  if (this->IsRemovalInDoubt(now)) {
    this->pending_removals.insert(removed.target);
    return false;
  }
  return this->Remove(removed.target, "fleet.removed");
}

bool FleetTracker::Handle(const RegistryRead& read, TimePoint now) {
  if (read.is_restored) {
    this->reachable_since = now;
  }
  bool has_changed = false;
  std::set<TargetId> present;
  for (const TargetRecordPtr& record : read.records) {
    present.insert(record->id);
    has_changed |= this->Handle(TargetUpdated{.record = record}, now);
  }
  const std::map<TargetId, TargetRecordPtr> before = this->targets;
  for (const auto& [id, record] : before) {
    if (!present.contains(id)) {
      has_changed |= this->Handle(TargetRemoved{.target = id}, now);
    }
  }
  return has_changed;
}

bool FleetTracker::Handle(const RegistryReachability& change, TimePoint now) {
  if (change.is_reachable && !this->is_registry_reachable) {
    this->reachable_since = now;
  }
  this->is_registry_reachable = change.is_reachable;
  return false;
}

bool FleetTracker::Handle(const TargetSaidLeaving& leaving, TimePoint) {
  const TargetRecordPtr known = this->Find(leaving.target);
  const TargetInstance instance =
      leaving.instance != TargetInstance() || known == nullptr
          ? leaving.instance
          : known->instance;
  this->MarkLeaving(leaving.target, instance);
  return known != nullptr && this->Upsert(known);
}

void FleetTracker::MarkLeaving(const TargetId& target,
                               TargetInstance instance) {
  if (this->leaving.size() >= kMaxLeavingTargets) {
    std::erase_if(this->leaving, [this](const auto& entry) {
      return !this->targets.contains(entry.first);
    });
  }
  TargetInstance& newest = this->leaving[target];
  newest = std::max(newest, instance);
}

// A process that has said that it leaves counts as draining.
TargetRecordPtr FleetTracker::Corrected(TargetRecordPtr record) {
  const auto found = this->leaving.find(record->id);
  if (found == this->leaving.end() || record->is_draining) {
    return record;
  }
  if (record->instance > found->second) {
    this->leaving.erase(found);
    return record;
  }
  TargetRecord draining = *record;
  draining.is_draining = true;
  return std::make_shared<const TargetRecord>(std::move(draining));
}

bool FleetTracker::Upsert(const TargetRecordPtr& read) {
  const TargetRecordPtr record = this->Corrected(read);
  const auto found = this->targets.find(record->id);
  const TargetRecordPtr before =
      found == this->targets.end() ? nullptr : found->second;
  if (before != nullptr) {
    const TargetRecord& known = *before;
    // From an earlier process of the target.
    const bool is_earlier_process = record->instance < known.instance;
    // A process that drains doesn't stop draining; a record that says otherwise
    // is outdated.
    const bool is_undrained = record->instance == known.instance &&
                              known.is_draining && !record->is_draining;
    if (is_earlier_process || is_undrained || *record == known) {
      return false;
    }
  }
  this->targets[record->id] = record;
  this->cached_fleet.reset();
  const bool is_new_state = before == nullptr ||
                            before->instance != record->instance ||
                            before->is_draining != record->is_draining;
  const bool is_cold_again = !is_new_state &&
                             before->cold_remaining == Duration::zero() &&
                             record->cold_remaining > Duration::zero();
  if (is_new_state || is_cold_again) {
    this->decision_records.push_back(
        DecisionRecord{.event = is_cold_again         ? "fleet.cold"
                                : record->is_draining ? "fleet.draining"
                                                      : "fleet.seen",
                       .fields = {{"target", record->id.value()},
                                  {"address", record->address},
                                  {"instance", record->instance.value()},
                                  {"cold", record->cold_remaining}}});
  }
  return true;
}

bool FleetTracker::Remove(const TargetId& target, const char* event) {
  const TargetRecordPtr known = this->Find(target);
  if (known == nullptr) {
    return false;
  }
  this->targets.erase(target);
  // A restored registry may bring back a record from before it drained. Targets
  // that don't number their processes start again under the same number.
  if (known->is_draining && known->instance != TargetInstance()) {
    this->MarkLeaving(target, known->instance);
  }
  this->cached_fleet.reset();
  this->decision_records.push_back(
      DecisionRecord{.event = event, .fields = {{"target", target.value()}}});
  return true;
}

bool FleetTracker::IsRemovalInDoubt(TimePoint now) const {
  return !this->is_registry_reachable ||
         (this->reachable_since &&
          now - *this->reachable_since < kRemovalGracePeriod);
}

}  // namespace cicadaloft
