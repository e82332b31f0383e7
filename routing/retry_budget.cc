#include "cicadaloft/routing/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace cicadaloft {

void RetryBudget::OnRequest() {
  this->saved = std::min(kMostSaved, this->saved + kRetriesPerRequest);
}

bool RetryBudget::TryTake(TimePoint now) {
  using Minutes = std::chrono::duration<double, std::ratio<60>>;
  const double minutes = Minutes(now - this->refilled).count();
  // Time alone fills it up to the least budget only.
  if (this->saved < kRetriesPerMinute) {
    this->saved =
        std::min(kRetriesPerMinute, this->saved + minutes * kRetriesPerMinute);
  }
  this->refilled = now;
  if (this->saved < 1) {
    return false;
  }
  this->saved -= 1;
  return true;
}

}  // namespace cicadaloft
