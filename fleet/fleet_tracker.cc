#include "cicadaloft/fleet/fleet_tracker.h"

#include <algorithm>
#include <utility>

namespace cicadaloft {

bool FleetTracker::Apply(const FleetEvent& event, TimePoint now) {
  return std::visit([&](const auto& item) { return this->Take(item, now); },
                    event);
}

bool FleetTracker::Tick(TimePoint now) {
  if (this->absent.empty() || this->IsInDoubt(now)) {
    return false;
  }
  const std::set<TargetId> gone = std::exchange(this->absent, {});
  return std::ranges::count_if(gone, [this](const TargetId& target) {
           return this->Drop(target, "fleet.absent_after_outage");
         }) > 0;
}

FleetPtr FleetTracker::fleet() const {
  if (this->told == nullptr) {
    this->told = std::make_shared<const Fleet>(Fleet{.targets = this->targets});
  }
  return this->told;
}

TargetRecordPtr FleetTracker::Find(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? nullptr : found->second;
}

std::vector<DecisionRecord> FleetTracker::TakeDecisionRecords() {
  return std::exchange(this->lines, {});
}

bool FleetTracker::Take(const TargetUpdated& seen, TimePoint) {
  this->absent.erase(seen.record->id);
  return this->Put(seen.record);
}

bool FleetTracker::Take(const TargetRemoved& removed, TimePoint now) {
  if (!this->targets.contains(removed.target)) {
    return false;
  }
  if (this->IsInDoubt(now)) {
    this->absent.insert(removed.target);
    return false;
  }
  return this->Drop(removed.target, "fleet.removed");
}

bool FleetTracker::Take(const RegistryRead& read, TimePoint now) {
  bool has_changed = false;
  std::set<TargetId> present;
  for (const TargetRecordPtr& record : read.records) {
    present.insert(record->id);
    has_changed |= this->Take(TargetUpdated{.record = record}, now);
  }
  const std::map<TargetId, TargetRecordPtr> before = this->targets;
  for (const auto& [id, record] : before) {
    if (!present.contains(id)) {
      has_changed |= this->Take(TargetRemoved{.target = id}, now);
    }
  }
  return has_changed;
}

bool FleetTracker::Take(const RegistryReachability& change, TimePoint now) {
  if (change.is_reachable && !this->reachable) {
    this->returned_at = now;
  }
  this->reachable = change.is_reachable;
  return false;
}

bool FleetTracker::Put(const TargetRecordPtr& record) {
  const auto found = this->targets.find(record->id);
  const TargetRecordPtr before =
      found == this->targets.end() ? nullptr : found->second;
  if (before != nullptr) {
    const TargetRecord& known = *before;
    // Of an earlier process, or of one that has said more since.
    const bool is_old = record->instance < known.instance;
    // Leaving is final; a reading that says otherwise is outdated.
    const bool is_revived = record->instance == known.instance &&
                            known.is_draining && !record->is_draining;
    if (is_old || is_revived || *record == known) {
      return false;
    }
  }
  this->targets[record->id] = record;
  this->told.reset();
  const bool is_news = before == nullptr ||
                       before->instance != record->instance ||
                       before->is_draining != record->is_draining;
  const bool is_cold_again = !is_news &&
                             before->cold_remaining == Duration::zero() &&
                             record->cold_remaining > Duration::zero();
  if (is_news || is_cold_again) {
    this->lines.push_back(
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

bool FleetTracker::Drop(const TargetId& target, const char* reason) {
  if (this->targets.erase(target) == 0) {
    return false;
  }
  this->told.reset();
  this->lines.push_back(
      DecisionRecord{.event = reason, .fields = {{"target", target.value()}}});
  return true;
}

bool FleetTracker::IsInDoubt(TimePoint now) const {
  return !this->reachable ||
         (this->returned_at && now - *this->returned_at < kRemovalGracePeriod);
}

}  // namespace cicadaloft
