#include "cicadaloft/admission/customer_share.h"

#include <algorithm>
#include <chrono>
#include <ranges>

namespace cicadaloft {
double CustomerLimit::MaxCostPerWindow() const {
  const std::chrono::duration<double> seconds = this->window;
  return this->rate_per_second * seconds.count() + this->burst;
}

void CustomerShare::SetLimit(const CustomerLimit& new_limit,
                             double share,
                             double new_credit,
                             TimePoint now) {
  this->Refill(now);
  this->limit = new_limit;
  this->share_fraction = share;
  this->credit = new_credit;
  this->window_capacity = new_limit.MaxCostPerWindow() * share;
  if (this->is_new && this->window_capacity > 0) {
    this->is_new = false;
    this->available = this->BurstCapacity() * (1 - this->used_before_start);
  }
  this->available = std::min(this->available, this->BurstCapacity());
}

bool CustomerShare::TryAcquire(double cost, TimePoint now) {
  if (this->TimeUntilAvailable(cost, now) > Duration::zero()) {
    return false;
  }
  this->charges.push_back(Charge{.at = now, .cost = cost});
  this->used += cost;
  this->available -= cost;
  return true;
}

void CustomerShare::AddPastCharge(double cost, TimePoint at) {
  const auto later =
      std::ranges::upper_bound(this->charges, at, {}, &Charge::at);
  this->charges.insert(later, Charge{.at = at, .cost = cost});
  this->used += cost;
}

void CustomerShare::Refund(double cost, TimePoint acquired_at) {
  const auto same_time =
      std::ranges::equal_range(this->charges, acquired_at, {}, &Charge::at);
  const auto found = std::ranges::find(same_time, cost, &Charge::cost);
  if (found != same_time.end()) {
    this->used -= cost;
    this->available = std::min(this->BurstCapacity(), this->available + cost);
    this->charges.erase(found);
  }
}

Duration CustomerShare::TimeUntilAvailable(double cost, TimePoint now) {
  this->DropExpired(now);
  this->Refill(now);
  if (this->window_capacity <= 0) {
    return kMaxWait;
  }
  return std::max(this->WindowWait(cost, now), this->RefillWait(cost));
}

double CustomerShare::BurstCapacity() const {
  return std::max(this->window_capacity * this->min_burst_fraction,
                  this->limit.burst * this->share_fraction);
}

// Time until enough usage has left the window.
Duration CustomerShare::WindowWait(double cost, TimePoint now) const {
  const double needed = std::min(cost, this->window_capacity);
  double excess = this->used + needed - this->window_capacity - this->credit;
  if (excess + this->ReservedForPreviousProcess(now) <= 0) {
    return Duration::zero();
  }
  for (const Charge& charge : this->charges) {
    excess -= charge.cost;
    const TimePoint expired_at = charge.at + this->limit.window;
    if (excess + this->ReservedForPreviousProcess(expired_at) <= 0) {
      return expired_at - now;
    }
  }
  return std::max(Duration::zero(),
                  this->started_at + this->limit.window - now);
}

Duration CustomerShare::RefillWait(double cost) const {
  const double needed = std::min(cost, this->BurstCapacity());
  const double missing = needed - this->credit - this->available;
  if (missing <= 0) {
    return Duration::zero();
  }
  return std::min<Duration>(kMaxWait,
                            FromSeconds(missing / this->RefillRate()));
}

// Cost that is refilled per second.
double CustomerShare::RefillRate() const {
  const std::chrono::duration<double> window = this->limit.window;
  return this->window_capacity / window.count();
}

// It is not known when in the window the previous process used it, so it counts
// for a whole window.
double CustomerShare::ReservedForPreviousProcess(TimePoint now) const {
  return now - this->started_at < this->limit.window
             ? this->window_capacity * this->used_before_start
             : 0;
}

void CustomerShare::Refill(TimePoint now) {
  const std::chrono::duration<double> passed = now - this->refilled_at;
  if (passed.count() > 0) {
    this->available =
        std::min(this->BurstCapacity(),
                 this->available + this->RefillRate() * passed.count());
    this->refilled_at = now;
  }
}

double CustomerShare::UsedFraction(TimePoint now) {
  const double allowed = this->limit.MaxCostPerWindow();
  const double uncredited =
      this->Used(now) + this->ReservedForPreviousProcess(now) - this->credit;
  return allowed <= 0 ? 0 : std::clamp(uncredited / allowed, 0.0, 1.0);
}

double CustomerShare::Used(TimePoint now) {
  this->DropExpired(now);
  return this->used;
}

double CustomerShare::Remaining(TimePoint now) {
  return std::max(0.0, this->window_capacity + this->credit -
                           this->ReservedForPreviousProcess(now) -
                           this->Used(now));
}

void CustomerShare::DropExpired(TimePoint now) {
  while (!this->charges.empty() &&
         now - this->charges.front().at >= this->limit.window) {
    this->used -= this->charges.front().cost;
    this->charges.pop_front();
  }
  if (this->charges.empty()) {
    // Clears the rounding error of the sum.
    this->used = 0;
  }
}

}  // namespace cicadaloft
