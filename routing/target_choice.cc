#include "cicadaloft/routing/target_choice.h"

namespace cicadaloft {

double TargetCost(const TargetView& target,
                  const TargetPreference& preference,
                  const TargetView* prefix_target,
                  TimePoint now) {
  const TargetRecord& record = target.record();
  double cost = target.EstimatedLoad(now) / record.slots;
  if (record.data_centre != preference.local_data_centre) {
    cost += kRemoteDataCentrePenalty;
  }
  if (prefix_target != nullptr && prefix_target != &target) {
    cost += kPrefixCacheMissPenalty;
  }
  return cost;
}

}  // namespace cicadaloft
