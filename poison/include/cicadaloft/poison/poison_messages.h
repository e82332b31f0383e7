#ifndef CICADALOFT_POISON_POISON_MESSAGES_H_
#define CICADALOFT_POISON_POISON_MESSAGES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/poison/fingerprint.h"

namespace cicadaloft {

/// How long requests with fingerprints that crash targets are refused.
inline constexpr Duration kPoisonBlockDuration = std::chrono::minutes(10);
/// The same if others explain the crashes as well, and are blocked with them.
inline constexpr Duration kAmbiguousBlockDuration = std::chrono::minutes(1);

/// A request that was running on a target process when its connection broke.
struct BrokenRequest {
  const Fingerprints fingerprints;
  const std::uint64_t response_bytes = 0;  ///< Of the body, as they arrived.

  friend auto operator<=>(const BrokenRequest&, const BrokenRequest&) = default;
  friend bool operator==(const BrokenRequest&, const BrokenRequest&) = default;
};

/// A host lost connections to a target process, or can't connect to it. Sent to
/// the lease holder, which compares what hosts have lost at the same time.
struct CrashEvidence {
  const TargetId target;
  const TargetInstance instance;
  const bool is_unreachable = false;  ///< The target accepts no connection.
  const std::vector<BrokenRequest> requests;
  const Duration age{};  ///< Time since then.

  friend auto operator<=>(const CrashEvidence&, const CrashEvidence&) = default;
  friend bool operator==(const CrashEvidence&, const CrashEvidence&) = default;
};

struct SuspectFingerprint {
  Fingerprint fingerprint;
  Duration age{};  ///< Time since the first crash with it.

  friend auto operator<=>(const SuspectFingerprint&,
                          const SuspectFingerprint&) = default;
  friend bool operator==(const SuspectFingerprint&,
                         const SuspectFingerprint&) = default;
};

/// The lease holder asks whether any host has got a complete response to a
/// request with one of these fingerprints, and whether since its first crash.
struct PoisonSuspects {
  const std::vector<SuspectFingerprint> suspects;

  friend auto operator<=>(const PoisonSuspects&,
                          const PoisonSuspects&) = default;
  friend bool operator==(const PoisonSuspects&,
                         const PoisonSuspects&) = default;
};

/// A host has got complete responses to requests with these fingerprints.
struct PoisonRefutation {
  const Fingerprints fingerprints;   ///< Since the first crash.
  const Fingerprints served_before;  ///< Only before it.

  friend auto operator<=>(const PoisonRefutation&,
                          const PoisonRefutation&) = default;
  friend bool operator==(const PoisonRefutation&,
                         const PoisonRefutation&) = default;
};

/// Requests that have all of the fingerprints must be refused. The lease holder
/// tells all hosts; hosts tell a new holder.
struct PoisonBlock {
  const Fingerprints fingerprints;
  const Duration remaining{};  ///< 0: the block has been lifted.

  friend auto operator<=>(const PoisonBlock&, const PoisonBlock&) = default;
  friend bool operator==(const PoisonBlock&, const PoisonBlock&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_POISON_POISON_MESSAGES_H_
