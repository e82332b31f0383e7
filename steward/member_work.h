#ifndef CICADALOFT_STEWARD_MEMBER_WORK_H_
#define CICADALOFT_STEWARD_MEMBER_WORK_H_

#include "steward_parts.h"

namespace cicadaloft {

/// Takes note of the own place after the ledger has moved on.
void NotePlace(StewardParts& parts);

/// Joins, renews and hands duties over as far as is due.
void WorkOnMembership(StewardParts& parts);

/// Evicts mates that are gone.
void WorkOnEvictions(StewardParts& parts);

/// Begins to give up a duty that belongs to a settled mate by rendezvous.
void BeginHandovers(StewardParts& parts);

/// Hands duties over whose work has come to an end.
void WorkOnHandovers(StewardParts& parts);

/// Tells the entry whether its shares may be used.
void WorkOnShareLease(StewardParts& parts, bool is_heartbeat);

/// Leaves step by step once a stop was asked for.
void WorkOnStop(StewardParts& parts);

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_MEMBER_WORK_H_
