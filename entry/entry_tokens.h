#ifndef CICADALOFT_ENTRY_ENTRY_TOKENS_H_
#define CICADALOFT_ENTRY_ENTRY_TOKENS_H_

#include "entry_core.h"

namespace cicadaloft {

/// Takes the customers' rates and this host's part of them over from the
/// ledger.
void SyncRates(EntryCore& core);

/// Charges a new request, or lets it wait for its customer's rate.
void TakeToken(EntryCore& core, OpenRequest& request);

/// Serves those who wait for tokens, as far as there are some.
void ServeShortOfTokens(EntryCore& core);

/// The process was suspended: its part may have gone to others since.
void OnSuspension(EntryCore& core);

void OnShareLease(EntryCore& core, const ShareLease& lease);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_TOKENS_H_
