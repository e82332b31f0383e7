#ifndef CICADALOFT_ROUTING_ESTIMATED_COST_H_
#define CICADALOFT_ROUTING_ESTIMATED_COST_H_

#include <compare>

#include "cicadaloft/core/time.h"
#include "cicadaloft/routing/target_estimate.h"

namespace cicadaloft {

/// Cost of a request at one target, by its estimate; the lowest is chosen.
struct EstimatedCost {
  /// The stream would be late by its pauses. Such a target is chosen only if
  /// there is no other.
  bool exceeds_interval = false;
  double milliseconds = 0;

  friend auto operator<=>(const EstimatedCost&, const EstimatedCost&) = default;
  friend bool operator==(const EstimatedCost&, const EstimatedCost&) = default;
};

/// @param interval_objective longest pause between events; 0: none is stated.
EstimatedCost CostOf(const TargetEstimate& estimate,
                     Duration interval_objective,
                     bool is_remote);

/// Whether a further request would have to wait for a slot or for memory at the
/// target, or preempt a request that runs there.
bool IsOccupied(const TargetEstimate& estimate);

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_ESTIMATED_COST_H_
