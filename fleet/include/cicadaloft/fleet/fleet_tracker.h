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

/// A target has said something new of itself.
struct TargetUpdated {
  TargetRecordPtr record;

  friend auto operator<=>(const TargetUpdated&, const TargetUpdated&) = default;
  friend bool operator==(const TargetUpdated&, const TargetUpdated&) = default;
};

/// A target's entry has been removed from the registry.
struct TargetRemoved {
  TargetId target;

  friend auto operator<=>(const TargetRemoved&, const TargetRemoved&) = default;
  friend bool operator==(const TargetRemoved&, const TargetRemoved&) = default;
};

/// The whole registry has been read; who is missing has been removed.
struct RegistryRead {
  std::vector<TargetRecordPtr> records;

  friend auto operator<=>(const RegistryRead&, const RegistryRead&) = default;
  friend bool operator==(const RegistryRead&, const RegistryRead&) = default;
};

/// The registry can or cannot be read.
struct RegistryReachability {
  bool is_reachable = false;

  friend auto operator<=>(const RegistryReachability&,
                          const RegistryReachability&) = default;
  friend bool operator==(const RegistryReachability&,
                         const RegistryReachability&) = default;
};

using FleetEvent = std::
    variant<TargetUpdated, TargetRemoved, RegistryRead, RegistryReachability>;

/// Keeps the fleet. Removals that may be the registry's own fault, because it
/// was away and could not take the targets' beats, take effect only when they
/// have not been withdrawn for kRemovalGracePeriod after the registry's return.
class FleetTracker {
 public:
  /// Entries of living targets are back within two seconds of the registry's
  /// return, by the platform's contract; the rest is for the reading.
  static constexpr Duration kRemovalGracePeriod =
      std::chrono::milliseconds(2300);

  /// @return whether the fleet has changed.
  bool Apply(const FleetEvent& event, TimePoint now);
  /// Carries out removals whose grace has passed.
  /// @return whether the fleet has changed.
  bool Tick(TimePoint now);

  FleetPtr fleet() const;
  /// @return what is known of the target; null: nothing.
  TargetRecordPtr Find(const TargetId& target) const;
  /// What has been decided since the last call, for the log.
  std::vector<DecisionRecord> TakeDecisionRecords();

 private:
  bool Take(const TargetUpdated& seen, TimePoint now);
  bool Take(const TargetRemoved& removed, TimePoint now);
  bool Take(const RegistryRead& read, TimePoint now);
  bool Take(const RegistryReachability& reachable, TimePoint now);
  bool Put(const TargetRecordPtr& record);
  bool Drop(const TargetId& target, const char* reason);
  bool IsInDoubt(TimePoint now) const;

  std::map<TargetId, TargetRecordPtr> targets;
  /// The fleet as it was handed on last; null after a change. Records come
  /// faster than anybody asks for the fleet.
  mutable FleetPtr told;
  bool reachable = false;
  std::optional<TimePoint> returned_at;  ///< When the registry came back.
  std::set<TargetId> absent;  ///< Removed in doubt; still in the fleet.
  std::vector<DecisionRecord> lines;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FLEET_FLEET_TRACKER_H_
