#ifndef CICADALOFT_STEWARD_LOG_WORK_H_
#define CICADALOFT_STEWARD_LOG_WORK_H_

#include "log_follower.h"
#include "steward_parts.h"

namespace cicadaloft {

/// Passes new records on and lets the parts take note of them.
void TakeAdvance(StewardParts& parts, const Advance& advance);

/// Writes a checkpoint when enough records have come since the last.
void WorkOnCheckpoint(StewardParts& parts);

/// Sends reads and appends that are due.
void WorkOnLog(StewardParts& parts);

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_LOG_WORK_H_
