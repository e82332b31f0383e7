#ifndef CICADALOFT_ADMISSION_CUSTOMER_SHARE_H_
#define CICADALOFT_ADMISSION_CUSTOMER_SHARE_H_

#include <chrono>
#include <compare>
#include <deque>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A customer's limit over all hosts: in any window its requests may cost
/// `burst` and `rate_per_second` for each second of the window.
struct CustomerLimit {
  double rate_per_second = 0;
  double burst = 0;
  Duration window = std::chrono::seconds(1);  ///< Above 0.

  /// @return what may be spent in a window.
  double MaxCostPerWindow() const;

  friend auto operator<=>(const CustomerLimit&, const CustomerLimit&) = default;
  friend bool operator==(const CustomerLimit&, const CustomerLimit&) = default;
};

/// One host's part of a customer's limit: it spends at most its share of what
/// the limit allows in any window. Shares that add up to at most 1 over all
/// hosts keep the limit without a message for each request.
///
/// Within the window it is paced: part of the share may be spent at once, the
/// rest comes evenly. So a customer that asks for more is served all the time,
/// and a process that dies has not spent a whole window's share just before.
class CustomerShare {
 public:
  /// @param began when the process began.
  explicit CustomerShare(TimePoint began) : began(began), refilled(began) {}

  /// Holds back for a window what the process before may have spent.
  /// @param spent the part of the limit, from 0 to 1.
  void SetUsedBeforeStart(double spent) { this->spent_before = spent; }

  /// Sets the limit and this host's share of it.
  /// @param share from 0 to 1.
  /// @param credit what may be spent beyond it.
  void SetLimit(const CustomerLimit& limit,
                double share,
                double credit,
                TimePoint now);

  /// Spends `cost` if the window has as much left. A cost above the whole share
  /// needs an unused one, so that large requests are not shut out.
  bool TryAcquire(double cost, TimePoint now);
  /// Gives back what was taken for a request that has not run.
  /// @param taken_at when it was taken.
  void Refund(double cost, TimePoint taken_at);

  /// @return how long until `cost` can be taken if nothing else is; at most
  /// kMaxWait.
  Duration TimeUntilAvailable(double cost, TimePoint now);

  /// @return the part of the limit that is spent in the window, without credit.
  double UsedFraction(TimePoint now);

  /// @return what is spent in the window.
  double Used(TimePoint now);
  /// @return what the window has left.
  double Remaining(TimePoint now);
  double capacity() const { return this->most; }
  double share() const { return this->part; }
  static constexpr Duration kMaxWait = std::chrono::seconds(60);

 private:
  struct Expense {
    TimePoint at;
    double cost = 0;
  };

  void Forget(TimePoint now);
  void Refill(TimePoint now);
  double HeldBack(TimePoint now) const;
  double MostAtOnce() const;
  double Pace() const;
  Duration PaceWait(double cost) const;
  Duration WindowWait(double cost, TimePoint now) const;

  TimePoint began;
  double spent_before = 0;
  bool is_new = true;
  CustomerLimit limit;
  double part = 0;
  double most = 0;  ///< To spend in a window.
  double credit = 0;
  /// What the pace allows now; below 0 after a large cost.
  double at_once = 0;
  TimePoint refilled;
  double spent = 0;
  std::deque<Expense> expenses;  ///< Of the window, the oldest first.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_CUSTOMER_SHARE_H_
