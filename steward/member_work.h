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

/// Tells the entry whether its shares may be used.
void WorkOnShareLease(StewardParts& parts, bool is_heartbeat);

/// Leaves step by step once a stop was asked for.
void WorkOnStop(StewardParts& parts);

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_MEMBER_WORK_H_
