#ifndef CICADALOFT_ADMISSION_CUSTOMER_SHARE_H_
#define CICADALOFT_ADMISSION_CUSTOMER_SHARE_H_

#include <chrono>
#include <compare>
#include <deque>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A customer's limit over all hosts: in any window its requests may cost
/// `burst` plus `rate_per_second` for each second of the window.
struct CustomerLimit {
  double rate_per_second = 0;
  double burst = 0;
  Duration window = std::chrono::seconds(1);  ///< Above 0.

  /// @return the cost that the limit allows in a window.
  double MaxCostPerWindow() const;

  friend auto operator<=>(const CustomerLimit&, const CustomerLimit&) = default;
  friend bool operator==(const CustomerLimit&, const CustomerLimit&) = default;
};

/// Rate limiter for one host's share of a customer's limit: in any window it
/// allows at most its share of what the limit allows. Shares that add up to at
/// most 1 over all hosts enforce the limit without a message for each request.
///
/// Within the window a token bucket paces the usage: a fraction of the share is
/// available at once, the remainder is refilled at an even rate. So a customer
/// that requests more is served continuously, and a process that crashes has
/// not used a whole window's share just before.
class CustomerShare {
 public:
  /// @param started_at when the process started.
  explicit CustomerShare(TimePoint started_at)
      : started_at(started_at), refilled_at(started_at) {}

  /// Reserves for one window what the previous process may have used.
  /// @param used_fraction of the limit, from 0 to 1.
  void SetUsedBeforeStart(double used_fraction) {
    this->used_before_start = used_fraction;
  }

  /// Fraction of a window's share that may be used at once.
  static constexpr double kMinBurstFraction = 0.3;
  /// The same for a share of a few requests, which often arrive together.
  static constexpr double kMinBurstFractionOfSmallShare = 0.5;

  /// Sets the fraction of a window's share that may be used at once; a larger
  /// burst of the limit takes precedence.
  void SetMinBurstFraction(double fraction) {
    this->min_burst_fraction = fraction;
  }

  /// Sets the limit and this host's share of it.
  /// @param share from 0 to 1.
  /// @param credit cost that may be used beyond the share.
  void SetLimit(const CustomerLimit& limit,
                double share,
                double credit,
                TimePoint now);

  /// Uses `cost` if as much remains in the window. A cost above the whole share
  /// is allowed if the share is unused, so that large requests are not refused
  /// forever.
  bool TryAcquire(double cost, TimePoint now);
  /// Adds a cost that was granted before this object existed.
  void AddPastCharge(double cost, TimePoint at);
  /// Refunds the cost of a request that has not run.
  /// @param acquired_at when the cost was acquired.
  void Refund(double cost, TimePoint acquired_at);

  /// @return how long until `cost` can be acquired if nothing else is; at most
  /// kMaxWait.
  Duration TimeUntilAvailable(double cost, TimePoint now);

  /// @return the fraction of the limit that is used in the window, not counting
  /// what the credit covers.
  double UsedFraction(TimePoint now);

  /// @return the cost that is used in the window.
  double Used(TimePoint now);
  /// @return the cost that remains in the window.
  double Remaining(TimePoint now);
  double capacity() const { return this->window_capacity; }
  double share() const { return this->share_fraction; }
  static constexpr Duration kMaxWait = std::chrono::seconds(60);

 private:
  struct Charge {
    TimePoint at;
    double cost = 0;
  };

  void DropExpired(TimePoint now);
  void Refill(TimePoint now);
  double ReservedForPreviousProcess(TimePoint now) const;
  double BurstCapacity() const;
  double RefillRate() const;
  Duration RefillWait(double cost) const;
  Duration WindowWait(double cost, TimePoint now) const;

  TimePoint started_at;
  double used_before_start = 0;
  bool is_new = true;
  CustomerLimit limit;
  double share_fraction = 0;
  double min_burst_fraction = kMinBurstFraction;
  double window_capacity = 0;  ///< Cost per window.
  double credit = 0;
  /// Cost that is available now; below 0 after a large cost.
  double available = 0;
  TimePoint refilled_at;
  double used = 0;
  std::deque<Charge> charges;  ///< In the window, oldest first.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_CUSTOMER_SHARE_H_
