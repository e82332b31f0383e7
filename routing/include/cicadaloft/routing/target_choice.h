#ifndef CICADALOFT_ROUTING_TARGET_CHOICE_H_
#define CICADALOFT_ROUTING_TARGET_CHOICE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <ranges>
#include <string>
#include <vector>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/routing/target_view.h"

namespace cicadaloft {

/// Expected completion is taken as this much lower on the target that ran the
/// same prompt prefix last.
inline constexpr double kPrefixHitFactor = 0.6;

/// Among more targets than this, only so many drawn ones are compared.
inline constexpr std::size_t kMostCompared = 8;

/// Targets whose costs differ by less than this are taken as equal.
inline constexpr double kEqualCostRatio = 1.05;

/// Picks the target with the lowest expected completion. Where costs are equal
/// the request's hash decides, so hosts don't all go to the same target.
/// @param allowed which targets may be taken.
/// @param prefix_target ran the same prefix last; null if unknown.
/// @return null if none is allowed.
template <typename Allowed>
TargetView* ChooseTarget(const std::vector<TargetView*>& targets,
                         const std::string& request,
                         const TargetView* prefix_target,
                         Allowed allowed) {
  const std::uint64_t seed = StableHash(request);
  const auto cost_of = [&](const TargetView* target) {
    return target->ExpectedCompletion() *
           (target == prefix_target ? kPrefixHitFactor : 1.0);
  };
  TargetView* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  std::size_t compared = 0;
  const std::size_t count = targets.size();
  const auto consider = [&](TargetView* target) {
    if (!allowed(*target)) {
      return;
    }
    ++compared;
    const double cost = cost_of(target);
    // The rotated order settles what is equal: the first one stays.
    if (best == nullptr || cost * kEqualCostRatio < best_cost) {
      best = target;
      best_cost = cost;
    }
  };
  for (std::size_t i = 0; i < count && compared < kMostCompared; ++i) {
    consider(targets[(seed + i) % count]);
  }
  const bool is_prefix_left_out =
      prefix_target != nullptr && compared >= kMostCompared;
  if (is_prefix_left_out) {
    std::ranges::for_each(targets, [&](TargetView* target) {
      if (target == prefix_target) {
        consider(target);
      }
    });
  }
  return best;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_CHOICE_H_
