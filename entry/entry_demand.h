#ifndef CICADALOFT_ENTRY_ENTRY_DEMAND_H_
#define CICADALOFT_ENTRY_ENTRY_DEMAND_H_

#include "entry_core.h"

namespace cicadaloft {

/// Something of the path has changed that placement wants to hear of.
void NoteDemand(EntryCore& core, Path& path);

/// A request has come; a cold path is reported at once.
void NoteArrival(EntryCore& core, Path& path);

/// Reports what is due.
void ReportDemand(EntryCore& core);

void OnNoCapacity(EntryCore& core, const NoCapacityNotice& notice);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_DEMAND_H_
