#include "cicadaloft/routing/target_choice.h"

namespace cicadaloft {

double TargetCost(const TargetView& target,
                  const TargetPreference& wish,
                  const TargetView* prompt_target,
                  TimePoint now) {
  const TargetRecord& record = target.record();
  double cost = target.EstimatedLoad(now) / record.slots;
  if (record.data_centre != wish.local_data_centre) {
    cost += kRemoteDataCentrePenalty;
  }
  if (prompt_target != nullptr && prompt_target != &target) {
    cost += kPrefixCacheMissPenalty;
  }
  return cost;
}

}  // namespace cicadaloft
