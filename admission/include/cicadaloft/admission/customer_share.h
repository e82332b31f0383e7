#ifndef CICADALOFT_ADMISSION_CUSTOMER_SHARE_H_
#define CICADALOFT_ADMISSION_CUSTOMER_SHARE_H_

#include <compare>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A customer's limit over all hosts.
struct CustomerLimit {
  double rate_per_second = 0;
  double burst = 0;

  friend auto operator<=>(const CustomerLimit&, const CustomerLimit&) = default;
  friend bool operator==(const CustomerLimit&, const CustomerLimit&) = default;
};

/// One host's part of a customer's limit: a bucket that fills at its part of
/// the rate up to its part of the burst. Shares that add up to at most 1 over
/// all hosts keep the limit without a message for each request.
class CustomerShare {
 public:
  /// @param fills_at_once whether the bucket begins full; one that begins
  /// again after a process's death must not.
  CustomerShare(bool fills_at_once, TimePoint now)
      : fills_at_once(fills_at_once), refilled(now) {}

  /// Sets the limit and this host's share of it. A larger share gives nothing
  /// at once; a smaller one clips.
  /// @param share from 0 to 1.
  /// @param credit what may be spent ahead of the refill.
  void Set(const CustomerLimit& limit,
           double share,
           double credit,
           TimePoint now);

  /// Spends `cost` if there is as much, with the credit. A cost above the whole
  /// bucket needs a full one and leaves a debt, so that large requests are not
  /// shut out.
  bool TryTake(double cost, TimePoint now);
  /// Gives back what was taken for a request that has not run.
  void GiveBack(double cost, TimePoint now);

  /// @return how long until `cost` can be taken; the share's rate is above 0
  /// or the result is the longest wait.
  Duration TimeUntil(double cost, TimePoint now);

  double level() const { return this->stock; }
  double capacity() const { return this->most; }
  double share() const { return this->part; }
  static constexpr Duration kLongestWait = std::chrono::seconds(60);

 private:
  void Refill(TimePoint now);

  bool fills_at_once;
  bool is_new = true;
  double rate = 0;
  double most = 0;
  double part = 0;
  double credit = 0;
  double stock = 0;
  TimePoint refilled;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_CUSTOMER_SHARE_H_
