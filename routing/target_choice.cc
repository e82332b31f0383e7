#include "cicadaloft/routing/target_choice.h"

namespace cicadaloft {

double CostOf(const TargetView& target,
              const TargetWish& wish,
              const TargetView* prompt_target,
              TimePoint now) {
  const TargetRecord& record = target.record();
  double cost = target.EstimatedLoad(now) / record.slots;
  if (record.data_centre != wish.local_data_centre) {
    cost += kFarPenalty;
  }
  if (prompt_target != nullptr && prompt_target != &target) {
    cost += kPromptPenalty;
  }
  return cost;
}

}  // namespace cicadaloft
