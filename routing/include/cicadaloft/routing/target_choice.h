#ifndef CICADALOFT_ROUTING_TARGET_CHOICE_H_
#define CICADALOFT_ROUTING_TARGET_CHOICE_H_

#include <cstdint>
#include <vector>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/routing/target_view.h"

namespace cicadaloft {

/// Which target a request prefers.
struct TargetPreference {
  const DataCentreId local_data_centre;  ///< Data centre of this host.
  /// Key of the prompt's shared prefix; 0: none.
  const std::uint64_t prompt_prefix_key = 0;
  /// Spreads requests over targets of equal cost.
  const std::uint64_t tie_breaker = 0;
};

/// Added to the cost of a target in another data centre, as a fraction of its
/// slots. Traffic between data centres costs money, but waiting costs more.
inline constexpr double kRemoteDataCentrePenalty = 0.04;

/// Added to the cost of a target that doesn't have the prompt's shared prefix
/// in memory, as a fraction of its slots. Processing the prefix again takes
/// some ms of a step that other requests share.
inline constexpr double kPrefixCacheMissPenalty = 0.06;

/// @param prefix_target the target that is expected to have the prompt's shared
/// prefix in memory; null if the prompt has none.
/// @return the estimated load as a fraction of the target's slots, plus
/// penalties; the target with the lowest cost is chosen.
double TargetCost(const TargetView& target,
                  const TargetPreference& preference,
                  const TargetView* prefix_target,
                  TimePoint now);

/// Selects the target with the lowest cost among the allowed ones.
/// @return null if no target is allowed.
template <typename Allowed>
TargetView* ChooseTarget(const std::vector<TargetView*>& targets,
                         const TargetPreference& preference,
                         TimePoint now,
                         Allowed allowed) {
  TargetView* prefix_target = nullptr;
  std::uint64_t prefix_weight = 0;
  for (TargetView* target : targets) {
    const std::uint64_t weight =
        preference.prompt_prefix_key == 0
            ? 0
            : RendezvousWeight(std::to_string(preference.prompt_prefix_key),
                               target->record().id.value());
    if (weight > prefix_weight) {
      prefix_weight = weight;
      prefix_target = target;
    }
  }
  TargetView* best = nullptr;
  double best_cost = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    TargetView* target = targets[(preference.tie_breaker + i) % targets.size()];
    if (!allowed(*target)) {
      continue;
    }
    const double cost = TargetCost(*target, preference, prefix_target, now);
    if (best == nullptr || cost < best_cost) {
      best = target;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_CHOICE_H_
