#ifndef CICADALOFT_ROUTING_MODEL_LOCATIONS_H_
#define CICADALOFT_ROUTING_MODEL_LOCATIONS_H_

#include <concepts>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/fleet/target_record.h"

namespace cicadaloft {

/// A load or unload order that a target has accepted, as reported by the holder
/// that sent it.
struct PlacementChange {
  TargetId target;
  TargetInstance instance;
  ModelPath path;
  bool is_load = false;  ///< False: an unload.
  Duration ready_in{};   ///< Time until a load is expected to be done.

  friend auto operator<=>(const PlacementChange&,
                          const PlacementChange&) = default;
  friend bool operator==(const PlacementChange&,
                         const PlacementChange&) = default;
};

/// Selects all targets.
struct AnyTarget {
  bool operator()(const TargetId&) const { return true; }
};

/// Tracks on which targets each model and adapter is loaded. The targets' own
/// records are corrected by orders that may not show in a record yet, and by
/// denials, that is, responses in which a target says that it doesn't have the
/// model loaded.
class ModelLocations {
 public:
  /// How long a denial outweighs the target's record, which still lists the
  /// model.
  static constexpr Duration kDenialTtl = std::chrono::milliseconds(700);
  /// The same for a temporary refusal, such as during an order.
  static constexpr Duration kShortDenialTtl = std::chrono::milliseconds(120);
  /// An order whose effect shows in no record by then is taken to have had
  /// none. Targets send a heartbeat every 1.2 s, and its way through the
  /// registry takes one or two seconds.
  static constexpr Duration kOrderEffectTimeout =
      std::chrono::milliseconds(3500);

  /// Replaces the target's record.
  void Update(const TargetRecord& record, TimePoint now);
  void Remove(const TargetId& target);
  void OnPlacementChange(const PlacementChange& change, TimePoint now);
  void OnDenial(const TargetId& target,
                const ModelPath& path,
                Duration ttl,
                TimePoint now);

  /// @return targets that have the path loaded at `now`, as far as is known.
  std::vector<TargetId> LoadedTargets(const ModelPath& path,
                                      TimePoint now) const;
  /// @return targets with a denial of the path that has not expired.
  std::vector<TargetId> DenyingTargets(const ModelPath& path,
                                       TimePoint now) const;
  /// @param may_serve selects the targets whose loads count.
  /// @return the earliest time at which a pending load is expected to be done;
  /// none if no load is pending.
  template <std::predicate<const TargetId&> MayServe = AnyTarget>
  std::optional<TimePoint> ExpectedReadyAt(
      const ModelPath& path,
      TimePoint now,
      const MayServe& may_serve = {}) const {
    std::optional<TimePoint> earliest;
    for (const auto& [target, ready_at] : this->PendingLoads(path, now)) {
      if (may_serve(target) && (!earliest || ready_at < *earliest)) {
        earliest = ready_at;
      }
    }
    return earliest;
  }

 private:
  struct PendingChange {
    bool is_load = false;
    TimePoint ready_at{};
  };
  struct TargetState {
    TargetInstance instance;
    std::set<ModelPath> loaded;
    std::map<ModelPath, PendingChange> changes;
    std::map<ModelPath, TimePoint> denied_until;
  };

  static bool HasLoaded(const TargetState& target,
                        const ModelPath& path,
                        TimePoint now);
  /// @return the targets that load the path, with when that is expected to be
  /// done.
  std::vector<std::pair<TargetId, TimePoint>> PendingLoads(
      const ModelPath& path,
      TimePoint now) const;
  void AddCandidate(const TargetId& id, const ModelPath& path);
  void RemoveSettledChanges(TargetState& target, TimePoint now);

  std::map<TargetId, TargetState> targets;
  /// Targets that may have a path loaded; a superset of those that have.
  std::map<ModelPath, std::set<TargetId>> candidates;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_MODEL_LOCATIONS_H_
