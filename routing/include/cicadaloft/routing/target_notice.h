#ifndef CICADALOFT_ROUTING_TARGET_NOTICE_H_
#define CICADALOFT_ROUTING_TARGET_NOTICE_H_

#include <algorithm>
#include <chrono>
#include <compare>
#include <utility>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// What a target says about itself in the head of any response.
struct TargetNotice {
  bool is_leaving = false;  ///< It shuts down soon.
  /// For how long the target wants no requests from this host; 0: not stated.
  Duration rest{};

  friend auto operator<=>(const TargetNotice&, const TargetNotice&) = default;
  friend bool operator==(const TargetNotice&, const TargetNotice&) = default;
};

/// Longest rest that a target is given; a longer one is more likely an error
/// of the target than a wish.
inline constexpr Duration kMaxTargetRest = std::chrono::minutes(5);

/// A host has seen a response in which a target process says that it leaves.
/// Hosts report this to each other.
struct TargetLeavingReport {
  TargetId target;
  TargetInstance instance;  ///< 0: the newest one that is known.

  friend auto operator<=>(const TargetLeavingReport&,
                          const TargetLeavingReport&) = default;
  friend bool operator==(const TargetLeavingReport&,
                         const TargetLeavingReport&) = default;
};

/// What this host itself has seen of one target process: whether it leaves and
/// how long it rests. Reports of other hosts and the registry are not part of
/// it. A new process starts with a new value.
class ObservedNotices {
 public:
  /// @return whether the process leaves by this notice and did not before.
  bool Add(const TargetNotice& notice, TimePoint now) {
    this->rests_until = std::max(
        this->rests_until,
        now + std::clamp(notice.rest, Duration::zero(), kMaxTargetRest));
    return notice.is_leaving && !std::exchange(this->leaving, true);
  }

  bool is_leaving() const { return this->leaving; }
  bool IsResting(TimePoint now) const { return now < this->rests_until; }
  TimePoint resting_until() const { return this->rests_until; }

 private:
  bool leaving = false;
  TimePoint rests_until{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_NOTICE_H_
