#ifndef CICADALOFT_PLACEMENT_STORE_LOAD_BUDGET_H_
#define CICADALOFT_PLACEMENT_STORE_LOAD_BUDGET_H_

#include <algorithm>
#include <chrono>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Token bucket that limits the loads from the weight store over all targets.
/// It starts empty: an earlier lease holder may have used the tokens up.
class StoreLoadBudget {
 public:
  /// The platform allows three loads beyond the rate. The bucket holds one
  /// less, since an order may take effect later than it was sent.
  static constexpr double kMaxTokens = 2;
  /// Fraction of the allowed rate that is used.
  static constexpr double kRateFraction = 0.9;

  void Reset(TimePoint now) {
    this->tokens = 0;
    this->refilled_at = now;
  }

  /// @param rate loads per second that the weight store allows.
  bool CanAcquire(double rate, TimePoint now) {
    const std::chrono::duration<double> elapsed = now - this->refilled_at;
    this->refilled_at = now;
    this->tokens = std::min(
        kMaxTokens, this->tokens + rate * kRateFraction * elapsed.count());
    return this->tokens >= 1;
  }

  void Acquire() { this->tokens -= 1; }

 private:
  double tokens = 0;
  TimePoint refilled_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_STORE_LOAD_BUDGET_H_
