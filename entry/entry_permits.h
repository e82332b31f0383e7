#ifndef CICADALOFT_ENTRY_ENTRY_PERMITS_H_
#define CICADALOFT_ENTRY_ENTRY_PERMITS_H_

#include "entry_core.h"

namespace cicadaloft {

/// @return whether another host's room on the target is at hand.
bool HasHeldPermit(const EntryCore& core, const TargetView& target);

/// Takes room on the running attempt's target: own room first, else a permit.
void TakeRoom(EntryCore& core, OpenRequest& request);

/// Gives back the room that an attempt had.
void FreeRoom(EntryCore& core, OpenRequest& request);

/// Asks other hosts for room where this one has none left for the path.
void AskForPermits(EntryCore& core, Path& path);

/// Returns what is held of a target's permits and not needed.
void ReturnUnused(EntryCore& core, const TargetId& target);

void OnBorrowPermit(EntryCore& core, const BorrowPermit& ask);
void OnLendPermit(EntryCore& core, const LendPermit& loan);
void OnReturnPermit(EntryCore& core, const ReturnPermit& returned);

/// Ends what must end, and takes lent room back whose time has passed.
void ExpirePermits(EntryCore& core);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_PERMITS_H_
