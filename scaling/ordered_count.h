#ifndef CICADALOFT_SCALING_ORDERED_COUNT_H_
#define CICADALOFT_SCALING_ORDERED_COUNT_H_

#include <cstdint>
#include <optional>

#include "cicadaloft/core/time.h"
#include "cicadaloft/duties/messages.h"

namespace cicadaloft {

/// The orders for one service and data centre in this term of the lease: one
/// call at a time.
class OrderedCount {
 public:
  /// @return the number that the platform has accepted last; none if nothing
  /// was accepted in this term.
  const std::optional<std::uint32_t>& accepted() const {
    return this->accepted_count;
  }
  /// @return a number that may be in force, as its call had no answer.
  const std::optional<std::uint32_t>& in_doubt() const {
    return this->doubtful_count;
  }
  /// @return whether a call may be sent now.
  bool MaySend(std::uint32_t count, TimePoint now) const {
    return !this->pending && now >= this->next_call_at &&
           this->rejected_count != count;
  }
  bool IsPending() const { return this->pending.has_value(); }

  void OnSent(const OrderTargetCount& order) { this->pending = order; }
  /// @return whether the call is the pending one; others are ignored.
  bool OnEnded(const TargetCountOrderEnded& ended, TimePoint now);
  /// A new configuration may make a rejected number valid.
  void OnConfigurationChanged() { this->rejected_count.reset(); }

 private:
  void BackOff(TimePoint now);

  std::optional<OrderTargetCount> pending;
  std::optional<std::uint32_t> accepted_count;
  std::optional<std::uint32_t> doubtful_count;
  std::optional<std::uint32_t> rejected_count;  ///< Must not be repeated.
  TimePoint next_call_at{};
  int failure_count = 0;  ///< Consecutive ones.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_SCALING_ORDERED_COUNT_H_
