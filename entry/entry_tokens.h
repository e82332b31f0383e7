#ifndef CICADALOFT_ENTRY_ENTRY_TOKENS_H_
#define CICADALOFT_ENTRY_ENTRY_TOKENS_H_

#include "entry_core.h"

namespace cicadaloft {

/// Takes the customers' rates, this host's part of them and the hosts to
/// borrow from over from the ledger.
void SyncRates(EntryCore& core);

/// Charges a new request, or lets it wait for its customer's rate, or refuses
/// it if that can't serve it in time.
void TakeToken(EntryCore& core, OpenRequest& request);

/// Serves those who wait for tokens as far as there are some, borrows for the
/// others, and refuses those who can't be served in time.
void ServeShortOfTokens(EntryCore& core);

/// The process was suspended: its part may have gone to others since.
void OnSuspension(EntryCore& core);

void OnShareLease(EntryCore& core, const ShareLease& lease);
void OnBorrowTokens(EntryCore& core, const BorrowTokens& ask);
void OnLendTokens(EntryCore& core, const LendTokens& loan);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_TOKENS_H_
