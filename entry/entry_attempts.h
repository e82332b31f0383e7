#ifndef CICADALOFT_ENTRY_ENTRY_ATTEMPTS_H_
#define CICADALOFT_ENTRY_ENTRY_ATTEMPTS_H_

#include "entry_core.h"

namespace cicadaloft {

void OnStarted(EntryCore& core, const AttemptStarted& event);
void OnEnded(EntryCore& core, const AttemptEnded& event);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_ATTEMPTS_H_
