#ifndef CICADALOFT_ENTRY_OPEN_REQUEST_H_
#define CICADALOFT_ENTRY_OPEN_REQUEST_H_

#include <cstdint>
#include <optional>

#include "cicadaloft/claims/messages.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/routing/permit_book.h"
#include "cicadaloft/routing/target_view.h"

namespace cicadaloft {

struct Path;

enum class RequestPhase {
  kShortOfTokens,  ///< Waits for its customer's rate.
  kClaiming,       ///< Waits for the right to run once.
  kWaiting,        ///< Waits in its path's queue for room.
  kBetween,        ///< Has left one phase for another.
  kRunning,        ///< Is at a target.
};

/// Why a running request has been ended from here.
enum class CancelCause { kNone, kCallerGone, kKeyWithdrawn, kPermitEnds };

/// The attempt that runs.
struct RunningAttempt {
  TargetView* target = nullptr;
  TargetInstance instance;
  TimePoint begun{};
  bool has_started = false;          ///< The answer's first byte has come.
  bool is_suspect = false;           ///< Counts in the target's suspects.
  std::optional<HeldPermit> permit;  ///< Lent room, if not own one.
  CancelCause canceled = CancelCause::kNone;
};

/// A request that has been taken and not been answered.
struct OpenRequest {
  std::uint64_t number = 0;  ///< In the order of arrival.
  RequestArrived arrived;
  std::optional<CustomerId> customer;  ///< None on open routes without a key.
  std::optional<KeyId> key;
  Path* path = nullptr;
  bool is_idempotent = true;
  TimePoint arrived_at{};
  TimePoint deadline{};  ///< Of the answer's start.
  RequestPhase phase = RequestPhase::kWaiting;
  AttemptNumber attempt;
  std::uint32_t attempts_run = 0;      ///< Ended, and may have run.
  std::uint32_t attempts_not_run = 0;  ///< Ended, and surely not run.
  std::optional<RunningAttempt> running;
  const TargetView* last_target = nullptr;  ///< Of the last ended attempt.
  std::optional<ClaimRecord> claim;
  bool has_claim = false;  ///< Granted.

  bool IsBatch() const {
    return this->arrived.request_class == RequestClass::kBatch;
  }
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_OPEN_REQUEST_H_
