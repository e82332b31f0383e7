#ifndef CICADALOFT_STEWARD_CLAIM_WORK_H_
#define CICADALOFT_STEWARD_CLAIM_WORK_H_

#include "cicadaloft/peering/messages.h"
#include "steward_parts.h"

namespace cicadaloft {

ClaimView ViewOfClaims(StewardParts& parts);

/// Decides a claim, or passes the own entry's on to its owner.
void TakeClaimAsk(StewardParts& parts,
                  const HostId& from,
                  const ClaimAsk& ask,
                  bool is_from_entry);

/// Records how a run ended, or passes the own entry's word on to the owner.
void TakeClaimFinished(StewardParts& parts,
                       const ClaimFinished& finished,
                       bool is_from_entry);

/// Sends what follows from the claims of this step.
void WorkOnClaims(StewardParts& parts);

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_CLAIM_WORK_H_
