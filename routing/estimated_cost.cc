#include "cicadaloft/routing/estimated_cost.h"

#include <algorithm>
#include <chrono>

#include "cicadaloft/routing/target_choice.h"

namespace cicadaloft {
namespace {

/// Least free fraction that counts. The cost would otherwise grow without bound
/// as a target fills up.
constexpr double kMinFreeFraction = 0.05;

/// Capacity that is free for the request itself.
constexpr double kFull = 1;

}  // namespace

// The last free slots cost more than the first ones, as the wait in a queue
// grows with 1 / (1 - utilization): a target that is faster by a factor of 1.6
// is preferred to an idle one until 3/8 of its slots are in use.
EstimatedCost CostOf(const TargetEstimate& estimate,
                     Duration interval_objective,
                     bool is_remote) {
  const double used = std::max(estimate.slots_used, estimate.memory_used) +
                      (is_remote ? kRemoteDataCentrePenalty : 0);
  const std::chrono::duration<double, std::milli> time =
      estimate.completion + estimate.delay_of_others;
  return EstimatedCost{
      .exceeds_interval = interval_objective > Duration::zero() &&
                          estimate.event_interval > interval_objective,
      .milliseconds = time.count() / std::max(kMinFreeFraction, kFull - used)};
}

bool IsOccupied(const TargetEstimate& estimate) {
  return estimate.slots_used >= kFull || estimate.memory_used > kFull;
}

}  // namespace cicadaloft
