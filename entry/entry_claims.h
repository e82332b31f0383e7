#ifndef CICADALOFT_ENTRY_ENTRY_CLAIMS_H_
#define CICADALOFT_ENTRY_ENTRY_CLAIMS_H_

#include "entry_core.h"

namespace cicadaloft {

/// @return whether the right to run it once must be had first.
bool NeedsClaim(const OpenRequest& request);

/// Asks for the right to run the request once.
void StartClaim(EntryCore& core, OpenRequest& request);

/// Sends the asks and the ends again that are due.
void ResendClaims(EntryCore& core);

/// Tells the claims' owner how a claimed request has ended. Without effect for
/// one that has no claim.
void EndClaim(EntryCore& core,
              OpenRequest& request,
              ClaimOutcome outcome,
              int http_status);

void OnClaimReply(EntryCore& core, const ClaimReply& reply);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_CLAIMS_H_
