#ifndef CICADALOFT_STEWARD_PLACEMENT_WORK_H_
#define CICADALOFT_STEWARD_PLACEMENT_WORK_H_

#include "cicadaloft/peering/messages.h"
#include "cicadaloft/steward/messages.h"
#include "steward_parts.h"

namespace cicadaloft {

PlacementView ViewOfPlacement(StewardParts& parts);

/// Sends each demand of the own entry to the data centre that decides it, and
/// to those that hold the model already.
void RouteDemands(StewardParts& parts, const DemandReport& report);

/// Takes demands that the own data centre is to decide.
void TakeDemands(StewardParts& parts, const DemandReport& report);

void TakeTargetReport(StewardParts& parts, const TargetReported& event);
void TakeOrderEnd(StewardParts& parts, const OrderEnded& event);

/// Decides loads and unloads and sends what follows.
void WorkOnPlacement(StewardParts& parts);

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_PLACEMENT_WORK_H_
