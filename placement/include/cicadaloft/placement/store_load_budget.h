#ifndef CICADALOFT_PLACEMENT_STORE_LOAD_BUDGET_H_
#define CICADALOFT_PLACEMENT_STORE_LOAD_BUDGET_H_

#include <algorithm>
#include <chrono>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Keeps the loads from the weight store under their rate over all targets.
/// It begins empty: an earlier order-giver may have spent what there was.
class StoreLoadBudget {
 public:
  /// Loads that may be saved up; the platform's bound leaves three beyond the
  /// rate, and an order may take effect later than it was given.
  static constexpr double kMaxTokens = 2;
  /// Part of the allowed rate that is used.
  static constexpr double kRateFraction = 0.9;

  void Reset(TimePoint now) {
    this->saved = 0;
    this->filled = now;
  }

  /// @param rate loads a second that the weight store allows.
  bool CanAcquire(double rate, TimePoint now) {
    const std::chrono::duration<double> passed = now - this->filled;
    this->filled = now;
    this->saved = std::min(kMaxTokens,
                           this->saved + rate * kRateFraction * passed.count());
    return this->saved >= 1;
  }

  void Acquire() { this->saved -= 1; }

 private:
  double saved = 0;
  TimePoint filled{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_STORE_LOAD_BUDGET_H_
