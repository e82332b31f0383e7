#ifndef CICADALOFT_ROUTING_RETRY_BUDGET_H_
#define CICADALOFT_ROUTING_RETRY_BUDGET_H_

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Bounds one customer's retries to a part of its requests, so that retries
/// don't multiply the load on targets that already fail.
class RetryBudget {
 public:
  static constexpr double kRetriesPerRequest = 0.2;
  static constexpr double kRetriesPerMinute = 10;
  static constexpr double kMostSaved = 50;

  void OnRequest();
  /// @return false if the budget is spent.
  bool TryTake(TimePoint now);

 private:
  double saved = kRetriesPerMinute;
  TimePoint refilled{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_RETRY_BUDGET_H_
