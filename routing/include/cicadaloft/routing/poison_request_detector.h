#ifndef CICADALOFT_ROUTING_POISON_REQUEST_DETECTOR_H_
#define CICADALOFT_ROUTING_POISON_REQUEST_DETECTOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// An attempt whose connection to the target broke.
struct BrokenAttempt {
  const std::uint64_t fingerprint = 0;
  const TargetId target;
  const TargetInstance instance;  ///< The target process that it was sent to.
  const bool had_response_started = false;

  friend auto operator<=>(const BrokenAttempt&, const BrokenAttempt&) = default;
};

/// A target crashed while it ran the request.
struct TargetCrash {
  const std::uint64_t fingerprint = 0;
  const TargetId target;

  friend auto operator<=>(const TargetCrash&, const TargetCrash&) = default;
};

/// Detects poison requests: requests, identified by a fingerprint of their
/// content, that were running when a target crashed. After one crash a request
/// is a suspect; after a second one it is blocked for kBlockDuration.
///
/// A broken connection alone is not a crash. It counts as one when the target
/// is seen with another process or can't be reached, or when the same content
/// breaks connections to two targets before their responses have started.
class PoisonRequestDetector {
 public:
  static constexpr Duration kBlockDuration = std::chrono::minutes(10);
  /// A broken connection that is not confirmed as a crash within this time is
  /// ignored.
  static constexpr Duration kEvidenceTtl = std::chrono::seconds(10);
  /// Crashes of one target within this time count as the same crash.
  static constexpr Duration kSameCrashWindow = std::chrono::seconds(2);

  /// @return crashes that are now confirmed, to be reported to the other hosts.
  std::vector<TargetCrash> OnBrokenAttempt(const BrokenAttempt& attempt,
                                           TimePoint now);
  /// @param instance the target's current process; none if the target can't be
  /// reached.
  /// @return crashes that are now confirmed, to be reported to the other hosts.
  std::vector<TargetCrash> OnTargetCrashed(
      const TargetId& target,
      std::optional<TargetInstance> instance,
      TimePoint now);
  /// Another host has reported a crash.
  void OnCrashReport(const TargetCrash& crash, TimePoint now);
  /// The request was answered in full without a crash.
  void OnSuccess(std::uint64_t fingerprint);

  bool IsSuspect(std::uint64_t fingerprint, TimePoint now) const;
  bool IsBlocked(std::uint64_t fingerprint, TimePoint now) const;

 private:
  struct Crash {
    TargetId target;
    TimePoint at;
  };
  struct BrokenConnection {
    TargetId target;
    TargetInstance instance;
    bool had_response_started;
    TimePoint at;
  };
  struct RequestRecord {
    std::vector<Crash> crashes;
    std::vector<BrokenConnection> broken_connections;
    std::optional<TimePoint> blocked_until;
    TimePoint last_evidence_at{};
  };

  /// @return false if the crash was already known.
  bool AddCrash(const TargetCrash& crash, TimePoint now);
  /// Turns the broken connections to one target into a crash.
  void ConfirmCrash(std::uint64_t fingerprint,
                    const TargetId& target,
                    std::vector<TargetCrash>& crashes,
                    TimePoint now);
  void RemoveExpired(TimePoint now);

  std::map<std::uint64_t, RequestRecord> records;
  std::map<TargetId, std::set<std::uint64_t>> fingerprints_by_target;
  TimePoint last_cleanup_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_POISON_REQUEST_DETECTOR_H_
