#ifndef CICADALOFT_PLACEMENT_PLACEMENT_POLICY_H_
#define CICADALOFT_PLACEMENT_PLACEMENT_POLICY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/placement/load_queue.h"
#include "cicadaloft/placement/order_book.h"
#include "cicadaloft/placement/placement_table.h"
#include "cicadaloft/placement/target_watch.h"
#include "cicadaloft/placement/use_history.h"

namespace cicadaloft {

/// Loads that failed at one place.
struct PlaceBar {
  std::uint32_t failures = 0;
  TimePoint until{};
};

/// All that a choice looks at.
struct PlacementScene {
  const Config& config;
  const PlacementTable& table;  ///< With what is on its way into the log.
  const TargetWatch& watch;
  const LoadQueue& queue;
  const UseHistory& history;
  const std::map<PlaceKey, TimePoint>& loaded_at;
  /// When something last happened to a place; reports may lag behind it.
  const std::map<PlaceKey, TimePoint>& touched;
  const std::map<PlaceKey, PlaceBar>& barred;
  const std::set<TargetId>& unready;  ///< Not reconciled after a takeover.
  const DataCentreId& data_centre;
  const TimePoint now;
};

/// Where to load a model, or what to unload first.
struct LoadPlan {
  const TargetId target;
  const CheckpointTier tier = CheckpointTier::kRemote;
  const std::vector<ModelId> victims;  ///< Empty: there is room.

  friend auto operator<=>(const LoadPlan&, const LoadPlan&) = default;
  friend bool operator==(const LoadPlan&, const LoadPlan&) = default;
};

enum class PlanState {
  kPlanned,
  kLater,       ///< Something is under way that may make room.
  kNoCapacity,  ///< Nothing here can take the model.
};

struct PlanResult {
  const PlanState state = PlanState::kNoCapacity;
  const std::optional<LoadPlan> plan;

  friend auto operator<=>(const PlanResult&, const PlanResult&) = default;
  friend bool operator==(const PlanResult&, const PlanResult&) = default;
};

/// Chooses the target for a model: one with room, then the nearest checkpoint,
/// then the least loaded. Where none has room, the one whose idle models are
/// the cheapest to lose.
PlanResult PlanLoad(const PlacementScene& scene, const ModelRoute& route);

/// @return how long a load from this tier takes, in a unit of its own.
double LoadCost(std::uint64_t memory_mib, CheckpointTier tier);

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_PLACEMENT_POLICY_H_
