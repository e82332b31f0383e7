#ifndef CICADALOFT_ROUTING_TARGET_CHOICE_H_
#define CICADALOFT_ROUTING_TARGET_CHOICE_H_

#include <cstdint>
#include <vector>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/routing/target_view.h"

namespace cicadaloft {

/// What a request would like its target to be.
struct TargetPreference {
  const DataCentreId local_data_centre;  ///< The host's own.
  const std::uint64_t prompt_prefix_key =
      0;  ///< Of the prompt's shared part; 0: none.
  const std::uint64_t tie_breaker = 0;  ///< Spreads what is equal.
};

/// In parts of a target's slots: what a target of another data centre is taken
/// to be fuller by. Bytes between data centres are priced, waiting costs more.
inline constexpr double kRemoteDataCentrePenalty = 0.04;

/// The same for a target that has not got the prompt's shared part in memory.
/// Reading it anew takes some ms of a step that others share.
inline constexpr double kPrefixCacheMissPenalty = 0.06;

/// @return the fullness by which targets are compared, with penalties.
double TargetCost(const TargetView& target,
                  const TargetPreference& wish,
                  const TargetView* prompt_target,
                  TimePoint now);

/// Picks the target with the lowest cost among the allowed ones.
/// @return null if there is none.
template <typename Allowed>
TargetView* ChooseTarget(const std::vector<TargetView*>& targets,
                         const TargetPreference& wish,
                         TimePoint now,
                         Allowed allowed) {
  TargetView* prompt_target = nullptr;
  std::uint64_t prompt_weight = 0;
  for (TargetView* target : targets) {
    const std::uint64_t weight =
        wish.prompt_prefix_key == 0
            ? 0
            : RendezvousWeight(std::to_string(wish.prompt_prefix_key),
                               target->record().id.value());
    if (weight > prompt_weight) {
      prompt_weight = weight;
      prompt_target = target;
    }
  }
  TargetView* best = nullptr;
  double best_cost = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    TargetView* target = targets[(wish.tie_breaker + i) % targets.size()];
    if (!allowed(*target)) {
      continue;
    }
    const double cost = TargetCost(*target, wish, prompt_target, now);
    if (best == nullptr || cost < best_cost) {
      best = target;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_CHOICE_H_
