#include "cicadaloft/admission/customer_share.h"

#include <algorithm>
#include <chrono>

namespace cicadaloft {

void CustomerShare::Set(const CustomerLimit& limit,
                        double share,
                        TimePoint now) {
  this->Refill(now);
  this->rate = limit.rate_per_second * share;
  this->capacity = limit.burst * share;
  if (this->is_new && this->capacity > 0) {
    this->stock = this->capacity;
    this->is_new = false;
  }
  this->stock = std::min(this->stock, this->capacity);
}

bool CustomerShare::TryTake(double cost, TimePoint now) {
  this->Refill(now);
  if (this->capacity <= 0 || this->stock < std::min(cost, this->capacity)) {
    return false;
  }
  this->stock -= cost;
  return true;
}

void CustomerShare::GiveBack(double cost, TimePoint now) {
  this->Refill(now);
  this->stock = std::min(this->capacity, this->stock + cost);
}

Duration CustomerShare::TimeUntil(double cost, TimePoint now) {
  this->Refill(now);
  const double missing = std::min(cost, this->capacity) - this->stock;
  if (missing <= 0) {
    return Duration::zero();
  }
  if (this->rate <= 0) {
    return kLongestWait;
  }
  const std::chrono::duration<double> wait(missing / this->rate);
  return std::min<Duration>(kLongestWait,
                            std::chrono::duration_cast<Duration>(wait));
}

void CustomerShare::Refill(TimePoint now) {
  const std::chrono::duration<double> passed = now - this->refilled;
  this->refilled = std::max(now, this->refilled);
  if (passed.count() > 0) {
    this->stock = std::min(this->capacity,
                           this->stock + this->rate * passed.count());
  }
}

}  // namespace cicadaloft
