#ifndef CICADALOFT_CLAIMS_MESSAGES_H_
#define CICADALOFT_CLAIMS_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>

#include "cicadaloft/core/id.h"
#include "cicadaloft/membership/messages.h"

namespace cicadaloft {

/// Names one non-idempotent request over all its resends.
struct ClaimKey {
  const CustomerId customer;
  const std::string idempotency_key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
  friend bool operator==(const ClaimKey&, const ClaimKey&) = default;
};

/// The right to run one request once. The first record of a key wins; it counts
/// only if its writer owns the key's bucket.
struct ClaimRecord {
  const ClaimKey key;
  const std::uint64_t fingerprint = 0;  ///< Of method, route and body.
  const RequestId request;              ///< The one that may run.
  const Member runner;                  ///< The host that runs it.

  friend auto operator<=>(const ClaimRecord&, const ClaimRecord&) = default;
  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

enum class ClaimOutcome {
  kRunning,
  kRan,      ///< A target answered; see http_status.
  kNotRun,   ///< No byte reached a target: the key is free again.
  kUnknown,  ///< It may have run; it is never run again.
};

struct ClaimOutcomeRecord {
  const ClaimKey key;
  const RequestId request;
  const ClaimOutcome outcome = ClaimOutcome::kUnknown;
  const int http_status = 0;  ///< Of the target's answer; 0 if none.

  friend auto operator<=>(const ClaimOutcomeRecord&,
                          const ClaimOutcomeRecord&) = default;
  friend bool operator==(const ClaimOutcomeRecord&,
                         const ClaimOutcomeRecord&) = default;
};

/// An entry asks for the right to run a request.
struct ClaimAsk {
  const ClaimRecord claim;

  friend auto operator<=>(const ClaimAsk&, const ClaimAsk&) = default;
  friend bool operator==(const ClaimAsk&, const ClaimAsk&) = default;
};

enum class ClaimVerdict {
  kGranted,      ///< This request may run, once, now.
  kRunning,      ///< Another request holds the key and runs.
  kFinished,     ///< Another request has run.
  kUnknown,      ///< Another request may have run.
  kMismatch,     ///< The key was used for a different request.
  kUnavailable,  ///< No owner can decide now; nothing was run.
};

struct ClaimReply {
  const ClaimKey key;
  const RequestId request;  ///< The one that asked.
  const ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  const int http_status = 0;  ///< Of the finished run.

  friend auto operator<=>(const ClaimReply&, const ClaimReply&) = default;
  friend bool operator==(const ClaimReply&, const ClaimReply&) = default;
};

/// The runner tells the owner how the run ended.
struct ClaimFinished {
  const ClaimOutcomeRecord outcome;

  friend auto operator<=>(const ClaimFinished&, const ClaimFinished&) = default;
  friend bool operator==(const ClaimFinished&, const ClaimFinished&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CLAIMS_MESSAGES_H_
