#ifndef CICADALOFT_ROUTING_TARGET_NOTICE_H_
#define CICADALOFT_ROUTING_TARGET_NOTICE_H_

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <utility>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// What a target says about itself in the head of any response.
struct TargetNotice {
  bool is_leaving = false;  ///< It shuts down soon.
  /// For how long the target wants no requests from this host; 0: not stated.
  Duration rest{};
  /// Rejections for want of room in one second beyond which the target crashes.
  /// None: it isn't brittle.
  std::optional<std::uint32_t> rejection_limit;

  friend auto operator<=>(const TargetNotice&, const TargetNotice&) = default;
  friend bool operator==(const TargetNotice&, const TargetNotice&) = default;
};

/// Longest rest that a target is given; a longer one is more likely an error
/// of the target than a wish.
inline constexpr Duration kMaxTargetRest = std::chrono::minutes(5);

/// How long a stated limit on rejections holds, and how long an answer without
/// one tells that there is none.
inline constexpr Duration kBrittleTtl = std::chrono::seconds(10);

/// A larger limit on rejections is taken for an error of the target.
inline constexpr std::uint32_t kMaxRejectionLimit = 1'000'000;

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

  /// The process has answered just now, with this notice in its head.
  /// @return whether it has become brittle, or has ceased to be.
  bool OnAnswer(const TargetNotice& notice, TimePoint now) {
    const bool was_brittle = this->last_rejection_limit.has_value();
    this->answered_at = now;
    if (notice.rejection_limit) {
      this->last_rejection_limit = notice.rejection_limit;
      this->limit_stated_at = now;
    } else if (!this->RejectionLimit(now)) {
      this->last_rejection_limit.reset();
    }
    return was_brittle != this->last_rejection_limit.has_value();
  }
  /// @return whether an answer tells now whether the process is brittle.
  bool HasAnswered(TimePoint now) const {
    // A limit that has expired says nothing of what the process would state.
    const bool has_expired =
        this->last_rejection_limit && !this->RejectionLimit(now);
    return this->answered_at && now - *this->answered_at < kBrittleTtl &&
           !has_expired;
  }
  /// @return the limit that was stated last; none if that is too old.
  std::optional<std::uint32_t> RejectionLimit(TimePoint now) const {
    return now - this->limit_stated_at < kBrittleTtl
               ? this->last_rejection_limit
               : std::nullopt;
  }

 private:
  bool leaving = false;
  TimePoint rests_until{};
  std::optional<std::uint32_t> last_rejection_limit;
  TimePoint limit_stated_at{};
  std::optional<TimePoint> answered_at;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_NOTICE_H_
