#include "cicadaloft/routing/retry_budget.h"

#include <algorithm>

namespace cicadaloft {

void RetryBudget::SetLimits(double new_ratio, double new_most) {
  this->ratio = new_ratio;
  this->most_saved = new_most;
  const double before = this->is_new && this->is_full ? new_most : this->saved;
  this->saved = std::min(before, new_most);
  this->is_new = false;
}

void RetryBudget::OnRequest() {
  this->saved = std::min(this->most_saved, this->saved + this->ratio);
}

bool RetryBudget::TryAcquire() {
  if (this->saved < 1) {
    return false;
  }
  this->saved -= 1;
  return true;
}

}  // namespace cicadaloft
