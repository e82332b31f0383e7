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

/// A broken connection under a request.
struct BrokenAttempt {
  const std::uint64_t fingerprint = 0;
  const TargetId target;
  const TargetInstance instance;  ///< That it was sent to.
  const bool had_response_started = false;

  friend auto operator<=>(const BrokenAttempt&, const BrokenAttempt&) = default;
};

/// A target that died while it ran the request.
struct TargetCrash {
  const std::uint64_t fingerprint = 0;
  const TargetId target;

  friend auto operator<=>(const TargetCrash&, const TargetCrash&) = default;
};

/// Requests, by their content, that were running when a target died. One death
/// makes a suspect; a second one bars it for a time.
///
/// A broken connection alone is no death: it becomes one when the target is
/// seen with another process or can't be reached, or when the same content
/// breaks connections of two targets before their answers have begun.
class PoisonRequestDetector {
 public:
  static constexpr Duration kBlockDuration = std::chrono::minutes(10);
  /// A broken connection is explained within this time or not at all.
  static constexpr Duration kEvidenceTtl = std::chrono::seconds(10);
  /// Deaths of one target within this time are the same death.
  static constexpr Duration kSameCrashWindow = std::chrono::seconds(2);

  /// @return deaths that are certain now, for the other hosts.
  std::vector<TargetCrash> OnBrokenAttempt(const BrokenAttempt& run,
                                           TimePoint now);
  /// The target runs as `instance`, or can't be reached if there is none.
  std::vector<TargetCrash> OnTargetCrashed(
      const TargetId& target,
      std::optional<TargetInstance> instance,
      TimePoint now);
  /// Another host tells of a death.
  void OnCrashReport(const TargetCrash& death, TimePoint now);
  /// It has run to its end without harm.
  void OnSuccess(std::uint64_t fingerprint);

  bool IsSuspect(std::uint64_t fingerprint, TimePoint now) const;
  bool IsBlocked(std::uint64_t fingerprint, TimePoint now) const;

 private:
  struct Death {
    TargetId target;
    TimePoint at;
  };
  struct Broken {
    TargetId target;
    TargetInstance instance;
    bool had_response_started;
    TimePoint at;
  };
  struct Record {
    std::vector<Death> deaths;
    std::vector<Broken> broken;
    std::optional<TimePoint> barred_until;
    TimePoint last{};
  };

  /// @return false if the death was known.
  bool AddDeath(const TargetCrash& death, TimePoint now);
  /// Turns the broken runs on one target into deaths.
  void Confirm(std::uint64_t fingerprint,
               const TargetId& target,
               std::vector<TargetCrash>& deaths,
               TimePoint now);
  void DropOld(TimePoint now);

  std::map<std::uint64_t, Record> records;
  std::map<TargetId, std::set<std::uint64_t>> broken_on;
  TimePoint cleaned{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_POISON_REQUEST_DETECTOR_H_
