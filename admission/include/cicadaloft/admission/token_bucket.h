#ifndef CICADALOFT_ADMISSION_TOKEN_BUCKET_H_
#define CICADALOFT_ADMISSION_TOKEN_BUCKET_H_

#include <chrono>
#include <deque>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Lent tokens must be spent within this time from the ask on. Until it has
/// passed the lender counts them as its own stock, so that the stocks of all
/// hosts together never exceed the customer's burst.
inline constexpr Duration kLoanTerm = std::chrono::milliseconds(250);

/// One customer's tokens on one host. It starts empty; one request costs one.
class TokenBucket {
 public:
  /// Sets this host's part. A larger one gives nothing at once; a smaller one
  /// clips.
  /// @param rate tokens a second.
  /// @param capacity most tokens in stock, lent ones included.
  void SetShare(double rate, double capacity, TimePoint now);

  /// Drops everything in stock.
  void Empty(TimePoint now);

  /// @return tokens that can be spent now.
  double Available(TimePoint now);

  /// Spends one token; borrowed ones go first.
  bool TryTake(TimePoint now);

  /// Gives tokens away.
  /// @param keep what stays here in any case.
  /// @return what was given, from 0 to `wanted`.
  double Lend(double wanted, double keep, TimePoint now);

  /// Takes borrowed tokens in.
  /// @param asked_at when they were asked for.
  void TakeLoan(double tokens, TimePoint asked_at, TimePoint now);

  double rate() const { return this->share_rate; }
  double capacity() const { return this->share_capacity; }

 private:
  struct Parcel {
    double tokens;
    TimePoint ends;
  };

  void Advance(TimePoint now);

  double share_rate = 0;
  double share_capacity = 0;
  double own = 0;
  TimePoint refilled{};
  std::deque<Parcel> borrowed;  ///< By end.
  std::deque<Parcel> lent;      ///< By end.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_TOKEN_BUCKET_H_
