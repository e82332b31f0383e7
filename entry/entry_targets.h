#ifndef CICADALOFT_ENTRY_ENTRY_TARGETS_H_
#define CICADALOFT_ENTRY_ENTRY_TARGETS_H_

#include "entry_core.h"

namespace cicadaloft {

/// Takes targets, their instances and this host's part of their caps over from
/// the ledger.
void SyncTargets(EntryCore& core);

/// Takes one target's instance over from the ledger.
void SyncInstance(EntryCore& core, const TargetId& target);

/// Finds the path's targets anew if something has changed since.
void RefreshTargets(EntryCore& core, Path& path);

/// @return the back end of a path; null if its route is gone.
const BackEndId* BackEndOf(const EntryCore& core, const Path& path);

/// The targets that hold the model may have changed.
void MarkStale(EntryCore& core, const ModelId& model);

void OnTargetNews(EntryCore& core, const TargetReport& report);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_TARGETS_H_
