#ifndef CICADALOFT_ROUTING_BRITTLE_BOUND_H_
#define CICADALOFT_ROUTING_BRITTLE_BOUND_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A target that crashes if it has to reject too many requests in one second,
/// as one of several hosts sees it.
struct BrittleTarget {
  std::uint64_t key = 0;    ///< A hash of its id.
  std::uint32_t slots = 1;  ///< Requests that it runs at once.
  /// Rejections in one second that it survives.
  std::uint32_t rejection_limit = 0;
  /// Of the host that looks at it, among all; below `host_count`.
  std::uint32_t host_position = 0;
  std::uint32_t host_count = 1;  ///< Hosts that take requests; above 0.

  friend auto operator<=>(const BrittleTarget&, const BrittleTarget&) = default;
  friend bool operator==(const BrittleTarget&, const BrittleTarget&) = default;
};

/// @return how many requests the host may have at the target at once. The parts
/// of all hosts add up to the slots; what can't be divided evenly goes to hosts
/// that are chosen by rendezvous hashing, so that one more host changes little.
std::uint32_t PartOf(const BrittleTarget& target);

/// How many requests one host may have at one brittle target process: its part
/// of the slots, less after a rejection, and more where other hosts leave slots
/// unused.
class BrittleBound {
 public:
  /// What the target has reported of its load.
  struct Report {
    double other_hosts_load = 0;
    TimePoint reported_at{};

    friend auto operator<=>(const Report&, const Report&) = default;
    friend bool operator==(const Report&, const Report&) = default;
  };

  /// @param in_flight requests of this host at the target.
  bool MaySend(const BrittleTarget& target,
               std::uint32_t in_flight,
               const Report& report,
               TimePoint now) const;

  /// @return PartOf(target), which is kept until the target changes.
  std::uint32_t Part(const BrittleTarget& target) const;

  /// A request is sent.
  /// @param in_flight requests of this host at the target before it.
  void OnDispatch(std::uint32_t in_flight, TimePoint now);
  /// The target has rejected a request for want of room.
  /// @param in_flight requests of this host at the target that remain.
  void OnRejection(const BrittleTarget& target,
                   std::uint32_t in_flight,
                   TimePoint now);

 private:
  /// @return how many requests this host has had at the target lately.
  std::uint32_t Held(TimePoint now) const;

  std::uint32_t held = 0;
  TimePoint held_at{};
  /// No request is added to those held before.
  TimePoint next_growth_at{};
  TimePoint rejected_at{};
  Duration retry_interval{};
  TimePoint held_back_until{};  ///< By the last rejection.
  /// No request beyond the part is sent before.
  TimePoint next_trial_at{};
  /// The part for the last target, which seldom changes.
  mutable BrittleTarget part_of;
  mutable std::uint32_t part = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_BRITTLE_BOUND_H_
