#include "cicadaloft/routing/retry_budget.h"

#include <algorithm>

namespace cicadaloft {

void RetryBudget::SetLimits(double new_ratio, double new_max_balance) {
  this->ratio = new_ratio;
  this->max_balance = new_max_balance;
  const double previous_balance =
      this->is_new && this->starts_full ? new_max_balance : this->balance;
  this->balance = std::min(previous_balance, new_max_balance);
  this->is_new = false;
}

void RetryBudget::OnRequest() {
  this->balance = std::min(this->max_balance, this->balance + this->ratio);
}

bool RetryBudget::TryAcquire() {
  if (this->balance < 1) {
    return false;
  }
  this->balance -= 1;
  return true;
}

}  // namespace cicadaloft
