#include "cicadaloft/admission/customer_share.h"

#include <algorithm>
#include <chrono>

namespace cicadaloft {

void CustomerShare::Set(const CustomerLimit& limit,
                        double share,
                        double new_credit,
                        TimePoint now) {
  this->Refill(now);
  this->part = share;
  this->credit = new_credit;
  this->rate = limit.rate_per_second * share;
  this->most = limit.burst * share;
  if (this->is_new && this->most > 0) {
    // The process before may have spent its stock just now.
    this->stock = this->fills_at_once ? this->most : 0;
    this->is_new = false;
  }
  this->stock = std::min(this->stock, this->most);
}

bool CustomerShare::TryTake(double cost, TimePoint now) {
  this->Refill(now);
  const double needed = std::min(cost, this->most) - this->credit;
  if (this->most <= 0 || this->stock < needed) {
    return false;
  }
  this->stock -= cost;
  return true;
}

void CustomerShare::GiveBack(double cost, TimePoint now) {
  this->Refill(now);
  this->stock = std::min(this->most, this->stock + cost);
}

Duration CustomerShare::TimeUntil(double cost, TimePoint now) {
  this->Refill(now);
  const double missing =
      std::min(cost, this->most) - this->credit - this->stock;
  if (missing <= 0) {
    return Duration::zero();
  }
  if (this->rate <= 0) {
    return kLongestWait;
  }
  return std::min<Duration>(kLongestWait, FromSeconds(missing / this->rate));
}

void CustomerShare::Refill(TimePoint now) {
  const std::chrono::duration<double> passed = now - this->refilled;
  this->refilled = std::max(now, this->refilled);
  if (passed.count() > 0) {
    this->stock =
        std::min(this->most, this->stock + this->rate * passed.count());
  }
}

}  // namespace cicadaloft
