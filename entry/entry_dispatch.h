#ifndef CICADALOFT_ENTRY_ENTRY_DISPATCH_H_
#define CICADALOFT_ENTRY_ENTRY_DISPATCH_H_

#include <vector>

#include "entry_core.h"

namespace cicadaloft {

/// Sends the path's waiting requests as far as there is room.
void Pump(EntryCore& core, Path& path);

/// Sends what waits for room on one target, paths in turn.
void PumpTarget(EntryCore& core, TargetView& target);

/// Sends what waits for one model.
void PumpModel(EntryCore& core, const ModelId& model);

/// Sends what waits on any path.
void PumpWaiting(EntryCore& core);

/// The path's targets need no longer tell it of room.
void Unregister(EntryCore& core, Path& path);

/// @return whether a request could be sent there now.
bool CanTake(EntryCore& core, const TargetView& target);

/// Where all of a path's targets are ejected, the one that may be tried.
/// @return null if one is not ejected, or none has rested long enough.
TargetView* LastResortOf(EntryCore& core, const Path& path);

bool IsOwnDataCentreOut(const EntryCore& core);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_DISPATCH_H_
