#ifndef CICADALOFT_ROUTING_SUSPECT_LIST_H_
#define CICADALOFT_ROUTING_SUSPECT_LIST_H_

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
struct BrokenRun {
  const std::uint64_t fingerprint = 0;
  const TargetId target;
  const TargetInstance instance;  ///< That it was sent to.
  const bool had_started = false;

  friend auto operator<=>(const BrokenRun&, const BrokenRun&) = default;
};

/// A target that died while it ran the request.
struct TargetDeath {
  const std::uint64_t fingerprint = 0;
  const TargetId target;

  friend auto operator<=>(const TargetDeath&, const TargetDeath&) = default;
};

/// Requests, by their content, that were running when a target died. One death
/// makes a suspect; a second one bars it for a time.
///
/// A broken connection alone is no death: it becomes one when the target is
/// seen with another process or can't be reached, or when the same content
/// breaks connections of two targets before their answers have begun.
class SuspectList {
 public:
  static constexpr Duration kBarTerm = std::chrono::minutes(10);
  /// A broken connection is explained within this time or not at all.
  static constexpr Duration kEvidenceTerm = std::chrono::seconds(10);
  /// Deaths of one target within this time are the same death.
  static constexpr Duration kSameDeathTerm = std::chrono::seconds(2);

  /// @return deaths that are certain now, for the other hosts.
  std::vector<TargetDeath> OnBrokenRun(const BrokenRun& run, TimePoint now);
  /// The target runs as `instance`, or can't be reached if there is none.
  std::vector<TargetDeath> OnTargetDied(const TargetId& target,
                                        std::optional<TargetInstance> instance,
                                        TimePoint now);
  /// Another host tells of a death.
  void OnNotice(const TargetDeath& death, TimePoint now);
  /// It has run to its end without harm.
  void OnGoodAnswer(std::uint64_t fingerprint);

  bool IsSuspect(std::uint64_t fingerprint, TimePoint now) const;
  bool IsBarred(std::uint64_t fingerprint, TimePoint now) const;

 private:
  struct Death {
    TargetId target;
    TimePoint at;
  };
  struct Broken {
    TargetId target;
    TargetInstance instance;
    bool had_started;
    TimePoint at;
  };
  struct Record {
    std::vector<Death> deaths;
    std::vector<Broken> broken;
    std::optional<TimePoint> barred_until;
    TimePoint last{};
  };

  /// @return false if the death was known.
  bool AddDeath(const TargetDeath& death, TimePoint now);
  /// Turns the broken runs on one target into deaths.
  void Confirm(std::uint64_t fingerprint,
               const TargetId& target,
               std::vector<TargetDeath>& deaths,
               TimePoint now);
  void DropOld(TimePoint now);

  std::map<std::uint64_t, Record> records;
  std::map<TargetId, std::set<std::uint64_t>> broken_on;
  TimePoint cleaned{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_SUSPECT_LIST_H_
