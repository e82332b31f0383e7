#ifndef CICADALOFT_POISON_POISON_GUARD_H_
#define CICADALOFT_POISON_POISON_GUARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/poison/poison_blocks.h"
#include "cicadaloft/poison/poison_messages.h"
#include "cicadaloft/poison/response_memory.h"

namespace cicadaloft {

/// An attempt that ended without a complete response.
struct BrokenAttempt {
  const TargetId target;
  const TargetInstance instance;  ///< The target process that it was sent to.
  const std::uint64_t response_bytes = 0;  ///< Of the body, as they arrived.

  friend auto operator<=>(const BrokenAttempt&, const BrokenAttempt&) = default;
};

/// A host's part in the detection of poison requests, which crash the targets
/// that begin to respond to them: collects evidence for the lease holder,
/// refutes its suspicions, and knows what is blocked.
class PoisonGuard {
 public:
  /// Suspicions that the lease holder doesn't repeat end after this time.
  static constexpr Duration kSuspicionTtl = std::chrono::seconds(60);
  /// Fingerprints in one report, so that a link carries it. Requests that broke
  /// early come first.
  static constexpr std::size_t kMaxFingerprintsPerReport = 8192;
  /// An unreachable target is reported again after this time.
  static constexpr Duration kUnreachableInterval = std::chrono::seconds(2);

  void OnBroken(const Fingerprints& fingerprints,
                const BrokenAttempt& attempt,
                TimePoint now);
  void OnUnreachable(const TargetId& target,
                     TargetInstance instance,
                     TimePoint now);
  /// A target has responded successfully and completely. One that has only
  /// begun to respond may still crash.
  void OnResponse(const Fingerprints& fingerprints, TimePoint now);
  void OnSuspects(const PoisonSuspects& suspects, TimePoint now);
  /// @return whether this changes which requests are refused.
  bool OnBlock(const PoisonBlock& block, TimePoint now) {
    return this->blocks.Apply(block, now);
  }

  /// @return a block that applies to the request, or none.
  std::optional<Fingerprints> FindBlocked(const Fingerprints& request,
                                          TimePoint now) const {
    return this->blocks.Find(request, now);
  }

  /// @return what the lease holder must be told since the last call.
  std::vector<CrashEvidence> TakeEvidence();
  std::optional<PoisonRefutation> TakeRefutation();

 private:
  using Process = std::pair<TargetId, TargetInstance>;
  struct Loss {
    bool is_unreachable = false;
    std::vector<BrokenRequest> requests;
  };

  void RemoveExpired(TimePoint now);
  void Refute(const Fingerprint& fingerprint);

  PoisonBlocks blocks;
  std::map<Process, Loss> losses;  ///< Not reported yet.
  std::map<Process, TimePoint> unreachable_reported_at;
  ResponseMemory content_responses;
  ResponseMemory shared_responses;  ///< Of what several requests share.
  std::map<Fingerprint, TimePoint> suspects;  ///< With their first crashes.
  std::set<Fingerprint> refuted;              ///< Not reported yet.
  std::set<Fingerprint> served_before;        ///< Not reported yet.
  TimePoint last_cleanup_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_POISON_POISON_GUARD_H_
