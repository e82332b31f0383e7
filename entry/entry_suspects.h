#ifndef CICADALOFT_ENTRY_ENTRY_SUSPECTS_H_
#define CICADALOFT_ENTRY_ENTRY_SUSPECTS_H_

#include <optional>

#include "entry_core.h"

namespace cicadaloft {

/// A connection broke, or could not be made, under a request.
void NoteBrokenRun(EntryCore& core,
                   const OpenRequest& request,
                   AttemptOutcome outcome);

/// The target is seen with this process, or can't be reached if there is none.
void NoteTargetDied(EntryCore& core,
                    const TargetId& target,
                    std::optional<TargetInstance> instance);

void OnSuspectNotice(EntryCore& core, const SuspectNotice& notice);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_SUSPECTS_H_
