#include "cicadaloft/telemetry/log_task_failure.h"

#include "cicadaloft/telemetry/log.h"

namespace cicadaloft {

void LogTaskFailure::operator()(const TaskFailure& failure) const {
  Log("process").Error("task failed name=" + failure.task +
                       " why=" + failure.what);
}

}  // namespace cicadaloft
