#ifndef CICADALOFT_HOST_TARGET_COUNT_GAUGES_H_
#define CICADALOFT_HOST_TARGET_COUNT_GAUGES_H_

#include <vector>

#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/scaling/messages.h"

namespace cicadaloft {

/// @return the metrics of running and ordered targets. They have no series on
/// hosts that order none, and none for what this host has not ordered yet.
std::vector<GaugeReplaced> MakeTargetCountGauges(
    const TargetCountsChanged& change);

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_TARGET_COUNT_GAUGES_H_
