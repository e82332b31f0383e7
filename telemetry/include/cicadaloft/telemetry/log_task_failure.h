#ifndef CICADALOFT_TELEMETRY_LOG_TASK_FAILURE_H_
#define CICADALOFT_TELEMETRY_LOG_TASK_FAILURE_H_

#include "cicadaloft/core/spawn.h"

namespace cicadaloft {

/// Logs the failure of a task that costs only its connection or call.
struct LogTaskFailure {
  void operator()(const TaskFailure& failure) const;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_TELEMETRY_LOG_TASK_FAILURE_H_
