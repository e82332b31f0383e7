#ifndef CICADALOFT_FLEET_FLEET_TRACKER_H_
#define CICADALOFT_FLEET_FLEET_TRACKER_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/fleet/target_record.h"

namespace cicadaloft {

/// A target's record was added or changed.
struct TargetUpdated {
  TargetRecordPtr record;

  friend auto operator<=>(const TargetUpdated&, const TargetUpdated&) = default;
  friend bool operator==(const TargetUpdated&, const TargetUpdated&) = default;
};

/// A target's record has been removed from the registry.
struct TargetRemoved {
  TargetId target;

  friend auto operator<=>(const TargetRemoved&, const TargetRemoved&) = default;
  friend bool operator==(const TargetRemoved&, const TargetRemoved&) = default;
};

/// The whole registry has been read. Targets that are missing in it have been
/// removed.
struct RegistryRead {
  std::vector<TargetRecordPtr> records;
  /// The registry has come back from an older copy since it was read last.
  bool is_restored = false;

  friend auto operator<=>(const RegistryRead&, const RegistryRead&) = default;
  friend bool operator==(const RegistryRead&, const RegistryRead&) = default;
};

/// Whether the registry can be read.
struct RegistryReachability {
  bool is_reachable = false;

  friend auto operator<=>(const RegistryReachability&,
                          const RegistryReachability&) = default;
  friend bool operator==(const RegistryReachability&,
                         const RegistryReachability&) = default;
};

/// A target process has said in a response that it leaves. It counts as
/// draining from then on, whatever its record says.
struct TargetSaidLeaving {
  TargetId target;
  TargetInstance instance;  ///< 0: the newest one that is known.

  friend auto operator<=>(const TargetSaidLeaving&,
                          const TargetSaidLeaving&) = default;
  friend bool operator==(const TargetSaidLeaving&,
                         const TargetSaidLeaving&) = default;
};

using FleetEvent = std::variant<TargetUpdated,
                                TargetRemoved,
                                RegistryRead,
                                RegistryReachability,
                                TargetSaidLeaving>;

/// Tracks which targets are alive. A removal may be caused by the registry
/// itself, when it was unreachable and missed the targets' heartbeats, or has
/// come back from an older copy. Such a removal takes effect only if the target
/// has not reappeared kRemovalGracePeriod after the registry became reachable
/// again or its restored records were read.
class FleetTracker {
 public:
  /// By the platform's contract, records of live targets reappear within two
  /// seconds after the registry is reachable again. The remaining 0.3 s are for
  /// reading it.
  static constexpr Duration kRemovalGracePeriod =
      std::chrono::milliseconds(2300);

  /// @return whether the fleet has changed.
  bool Apply(const FleetEvent& event, TimePoint now);
  /// Removes the targets whose grace period has ended.
  /// @return whether the fleet has changed.
  bool Tick(TimePoint now);

  FleetPtr fleet() const;
  /// @return whether no target is known.
  bool IsEmpty() const { return this->targets.empty(); }
  /// @return the target's newest record; null if the target is unknown.
  TargetRecordPtr Find(const TargetId& target) const;
  /// @return the newest process of each target that has said that it leaves, or
  /// was removed while it drained.
  const std::map<TargetId, TargetInstance>& Leaving() const {
    return this->leaving;
  }
  /// @return the decision records since the last call, for the log.
  std::vector<DecisionRecord> TakeDecisionRecords();

 private:
  bool Handle(const TargetUpdated& update, TimePoint now);
  bool Handle(const TargetRemoved& removed, TimePoint now);
  bool Handle(const RegistryRead& read, TimePoint now);
  bool Handle(const RegistryReachability& change, TimePoint now);
  bool Handle(const TargetSaidLeaving& leaving, TimePoint now);
  void MarkLeaving(const TargetId& target, TargetInstance instance);
  TargetRecordPtr Corrected(TargetRecordPtr record);
  bool Upsert(const TargetRecordPtr& read);
  bool Remove(const TargetId& target, const char* event);
  bool IsRemovalInDoubt(TimePoint now) const;

  std::map<TargetId, TargetRecordPtr> targets;
  /// The fleet as it was returned last; null after a change. Built only on
  /// demand, since records change more often than the fleet is read.
  mutable FleetPtr cached_fleet;
  bool is_registry_reachable = false;
  /// When the registry became reachable last, or its restored records were
  /// read; none if it never was.
  std::optional<TimePoint> reachable_since;
  /// Removed during or right after an outage; still in the fleet.
  std::set<TargetId> pending_removals;
  /// Newest process of each target that has said that it leaves, or was removed
  /// while it drained.
  std::map<TargetId, TargetInstance> leaving;
  std::vector<DecisionRecord> decision_records;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FLEET_FLEET_TRACKER_H_
