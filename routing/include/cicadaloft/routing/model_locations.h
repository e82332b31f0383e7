#ifndef CICADALOFT_ROUTING_MODEL_LOCATIONS_H_
#define CICADALOFT_ROUTING_MODEL_LOCATIONS_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/fleet/target_record.h"

namespace cicadaloft {

/// An order that a target has accepted; told by who gave it.
struct PlacementChange {
  TargetId target;
  TargetInstance instance;
  ModelPath path;
  bool is_load = false;  ///< Else an unload.
  Duration ready_in{};   ///< Until a load is expected to be done.

  friend auto operator<=>(const PlacementChange&,
                          const PlacementChange&) = default;
  friend bool operator==(const PlacementChange&,
                         const PlacementChange&) = default;
};

/// Where each model and adapter is loaded: what the targets say of themselves,
/// corrected by orders that they may not have told of yet, and by denials.
class ModelLocations {
 public:
  /// How long a target is believed that it has not got a model although its
  /// record says so.
  static constexpr Duration kDenialTtl = std::chrono::milliseconds(700);
  /// The same where the target refuses for now, as during an order.
  static constexpr Duration kShortDenialTtl = std::chrono::milliseconds(120);
  /// An order whose effect shows in no record after this time has had none: a
  /// beat comes each 1.2 s, and a second or two for the way.
  static constexpr Duration kOrderEffectTimeout =
      std::chrono::milliseconds(3500);

  /// Takes a record over.
  void Update(const TargetRecord& record, TimePoint now);
  void Remove(const TargetId& target);
  void OnPlacementChange(const PlacementChange& change, TimePoint now);
  void OnDenial(const TargetId& target,
                const ModelPath& path,
                Duration term,
                TimePoint now);

  /// @return targets that have the path loaded now, by what is known.
  std::vector<TargetId> LoadedTargets(const ModelPath& path,
                                      TimePoint now) const;
  /// @return targets that have denied the path lately.
  std::vector<TargetId> DenyingTargets(const ModelPath& path,
                                       TimePoint now) const;
  /// @return the earliest time at which a load is expected to be done; none if
  /// there is no load under way.
  std::optional<TimePoint> ExpectedReadyAt(const ModelPath& path,
                                           TimePoint now) const;

 private:
  struct Change {
    bool is_load = false;
    TimePoint ready_at{};
  };
  struct Target {
    TargetInstance instance;
    std::set<ModelPath> loaded;
    std::map<ModelPath, Change> changes;
    std::map<ModelPath, TimePoint> denied_until;
  };

  static bool Holds(const Target& target, const ModelPath& path, TimePoint now);
  void Index(const TargetId& id, const ModelPath& path);
  void DropSettled(Target& target, TimePoint now);

  std::map<TargetId, Target> targets;
  /// Targets that may hold a path; a superset of those that do.
  std::map<ModelPath, std::set<TargetId>> candidates;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_MODEL_LOCATIONS_H_
