#include "cicadaloft/routing/brittle_bound.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <ranges>

namespace cicadaloft {
namespace {

/// Hosts that act on old knowledge may be rejected at the same time, so only
/// this fraction of the limit is used.
constexpr double kUsedFraction = 0.25;

/// Below this nothing is sent beyond the part.
constexpr std::uint32_t kMinLimitForTrials = 2;

/// With a limit below this, a host that has been rejected waits as if it were
/// this.
constexpr double kMinLimit = 0.5;

/// After a rejection a host adds no request for this time, and for twice as
/// long after each further one.
constexpr Duration kMinRetryInterval = std::chrono::seconds(1);
/// After this time without a rejection the wait begins anew.
constexpr Duration kRejectionMemory = std::chrono::seconds(10);
constexpr Duration kMaxRetryInterval = std::chrono::minutes(2);

/// A report of the load that is older than this shows no free slot.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(300);

/// Slots that have to be free by a report: several hosts may see the same.
constexpr double kMinFreeSlots = 2;

/// A number of requests that a host has not had at the target for this long is
/// given up, so that other hosts can have the slots.
constexpr Duration kHeldTtl = std::chrono::seconds(1);

/// A host adds one request at a time to those that it has had at the target. A
/// rejection arrives within this time.
constexpr Duration kGrowthInterval = std::chrono::milliseconds(50);

/// Time between two requests beyond the part. Reports show the load of some
/// hundred ms ago.
constexpr Duration kTrialInterval = std::chrono::seconds(1);

// Mixes two numbers into a hash (the finalizer of SplitMix64).
constexpr std::uint64_t Mix(std::uint64_t key, std::uint64_t number) {
  std::uint64_t hash = key + (number + 1) * 0x9E3779B97F4A7C15U;
  hash = (hash ^ (hash >> 30U)) * 0xBF58476D1CE4E5B9U;
  hash = (hash ^ (hash >> 27U)) * 0x94D049BB133111EBU;
  return hash ^ (hash >> 31U);
}

/// @return a number from 0 to 1 that belongs to the host and the target.
double Draw(const BrittleTarget& target) {
  return static_cast<double>(Mix(~target.key, target.host_position)) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/// Hosts that may have requests at the target at the same time.
double ActiveHosts(const BrittleTarget& target) {
  return std::clamp<double>(target.slots, 1, std::max(1U, target.host_count));
}

double UsedLimit(const BrittleTarget& target) {
  return kUsedFraction * std::max<double>(kMinLimit, target.rejection_limit);
}

// Time between two requests by which one host may find out whether a target has
// room, so that all hosts together stay below the limit.
Duration RetryInterval(const BrittleTarget& target) {
  return std::clamp(FromSeconds(ActiveHosts(target) / UsedLimit(target)),
                    kMinRetryInterval, kMaxRetryInterval);
}

}  // namespace

std::uint32_t PartOf(const BrittleTarget& target) {
  const std::uint32_t hosts = std::max(1U, target.host_count);
  const std::uint32_t remainder = target.slots % hosts;
  const std::uint64_t own = Mix(target.key, target.host_position);
  const auto before = std::ranges::count_if(
      std::views::iota(0U, hosts),
      [&](std::uint32_t position) { return Mix(target.key, position) < own; });
  return target.slots / hosts + (before < remainder ? 1 : 0);
}

std::uint32_t BrittleBound::Part(const BrittleTarget& target) const {
  if (this->part_of != target) {
    this->part_of = target;
    this->part = PartOf(target);
  }
  return this->part;
}

std::uint32_t BrittleBound::Held(TimePoint now) const {
  return now - this->held_at < kHeldTtl ? this->held : 0;
}

bool BrittleBound::MaySend(const BrittleTarget& target,
                           std::uint32_t in_flight,
                           const Report& report,
                           TimePoint now) const {
  const std::uint32_t part = this->Part(target);
  if (in_flight < std::min(this->Held(now), part)) {
    return true;
  }
  if (now < this->next_growth_at) {
    return false;
  }
  if (in_flight < part) {
    return true;
  }
  const bool is_informed = now - report.reported_at < kMaxReportAge;
  const double free = target.slots - report.other_hosts_load - in_flight;
  const bool is_chosen = Draw(target) < UsedLimit(target) / target.host_count;
  return target.rejection_limit >= kMinLimitForTrials && is_chosen &&
         is_informed && free >= kMinFreeSlots && in_flight <= 2 * part &&
         now >= this->next_trial_at;
}

void BrittleBound::OnDispatch(std::uint32_t in_flight, TimePoint now) {
  const std::uint32_t sent = in_flight + 1;
  const std::uint32_t held_before = this->Held(now);
  if (sent >= held_before) {
    this->held = sent;
    this->held_at = now;
  }
  if (sent > this->part) {
    this->next_trial_at = std::max(this->next_trial_at, now + kTrialInterval);
  }
  if (sent > held_before) {
    this->next_growth_at =
        std::max(this->next_growth_at, now + kGrowthInterval);
  }
}

void BrittleBound::OnRejection(const BrittleTarget& target,
                               std::uint32_t in_flight,
                               TimePoint now) {
  this->held = in_flight;
  this->held_at = now;
  const bool is_first = now - this->rejected_at > kRejectionMemory;
  // Requests that were rejected together count as one rejection.
  if (is_first) {
    this->retry_interval = kMinRetryInterval;
  } else if (now >= this->held_back_until) {
    this->retry_interval =
        std::min(2 * this->retry_interval, RetryInterval(target));
  }
  this->rejected_at = now;
  this->held_back_until =
      now + std::chrono::duration_cast<Duration>(this->retry_interval *
                                                 (0.5 + Draw(target)));
  this->next_growth_at = this->held_back_until;
  this->next_trial_at = now + RetryInterval(target);
}

}  // namespace cicadaloft
