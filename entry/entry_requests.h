#ifndef CICADALOFT_ENTRY_ENTRY_REQUESTS_H_
#define CICADALOFT_ENTRY_ENTRY_REQUESTS_H_

#include <optional>
#include <string>

#include "cicadaloft/core/result.h"
#include "entry_core.h"

namespace cicadaloft {

/// Who may run a request, and how.
struct Permission {
  const std::optional<CustomerId> customer;
  const std::optional<KeyId> key;
  const bool is_idempotent = true;
};

/// Checks key, route, customer and method against the ledger as it stands.
Result<Permission> Authorize(EntryCore& core, const RequestArrived& arrived);

void OnArrived(EntryCore& core, const RequestArrived& arrived);
void OnCallerGone(EntryCore& core, const CallerGone& event);

/// The request has its token: claims it or puts it into its path's queue.
void OnTokenTaken(EntryCore& core, OpenRequest& request);

/// Puts a new request into its path's queue and serves the path; refuses it at
/// once if its turn would come too late.
void EnqueueNew(EntryCore& core, OpenRequest& request);

/// Puts a request into its path's queue.
void Enqueue(EntryCore& core, OpenRequest& request);

/// Answers a request that does not run with an error and forgets it.
void RefuseOpen(EntryCore& core,
                OpenRequest& request,
                const Error& error,
                RunState run_state = RunState::kNotRun,
                std::optional<Duration> retry_after = std::nullopt);

/// An attempt has ended: the request is neither at a target nor in a queue.
void ReopenWaiting(EntryCore& core, OpenRequest& request);

/// Takes the request out of wherever it waits.
void StopWaiting(EntryCore& core, OpenRequest& request);

/// Forgets a request that has been answered.
void Forget(EntryCore& core, OpenRequest& request);

/// Refuses what has waited until its deadline.
void ExpireWaiting(EntryCore& core);

/// Checks the open requests of a withdrawn or changed key again. Those that
/// wait are refused. Idempotent ones that run are cut; others run on, since a
/// cut would leave it unknown what they have done.
void RecheckKey(EntryCore& core, const KeyId& key);

/// Checks the open requests of all keys again.
void RecheckAllKeys(EntryCore& core);

/// The own data centre is out: refuses what no target elsewhere can serve.
void RefuseUnserved(EntryCore& core);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_REQUESTS_H_
