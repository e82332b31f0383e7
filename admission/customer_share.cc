#include "cicadaloft/admission/customer_share.h"

#include <algorithm>
#include <chrono>
#include <ranges>

namespace cicadaloft {
namespace {

/// Part of a window's share that may be spent at once, if the burst is not
/// more.
constexpr double kAtOncePart = 0.3;

}  // namespace

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
  this->part = share;
  this->credit = new_credit;
  this->most = new_limit.MaxCostPerWindow() * share;
  if (this->is_new && this->most > 0) {
    this->is_new = false;
    this->at_once = this->MostAtOnce() * (1 - this->spent_before);
  }
  this->at_once = std::min(this->at_once, this->MostAtOnce());
}

bool CustomerShare::TryAcquire(double cost, TimePoint now) {
  if (this->TimeUntilAvailable(cost, now) > Duration::zero()) {
    return false;
  }
  this->expenses.push_back(Expense{.at = now, .cost = cost});
  this->spent += cost;
  this->at_once -= cost;
  return true;
}

void CustomerShare::Refund(double cost, TimePoint taken_at) {
  const auto same_time =
      std::ranges::equal_range(this->expenses, taken_at, {}, &Expense::at);
  const auto found = std::ranges::find(same_time, cost, &Expense::cost);
  if (found != same_time.end()) {
    this->spent -= cost;
    this->at_once = std::min(this->MostAtOnce(), this->at_once + cost);
    this->expenses.erase(found);
  }
}

Duration CustomerShare::TimeUntilAvailable(double cost, TimePoint now) {
  this->Forget(now);
  this->Refill(now);
  if (this->most <= 0) {
    return kMaxWait;
  }
  return std::max(this->WindowWait(cost, now), this->PaceWait(cost));
}

double CustomerShare::MostAtOnce() const {
  return std::max(this->most * kAtOncePart, this->limit.burst * this->part);
}

// How long until enough has left the window.
Duration CustomerShare::WindowWait(double cost, TimePoint now) const {
  const double needed = std::min(cost, this->most);
  double excess = this->spent + needed - this->most - this->credit;
  if (excess + this->HeldBack(now) <= 0) {
    return Duration::zero();
  }
  for (const Expense& expense : this->expenses) {
    excess -= expense.cost;
    const TimePoint gone = expense.at + this->limit.window;
    if (excess + this->HeldBack(gone) <= 0) {
      return gone - now;
    }
  }
  return std::max(Duration::zero(), this->began + this->limit.window - now);
}

Duration CustomerShare::PaceWait(double cost) const {
  const double needed = std::min(cost, this->MostAtOnce());
  const double missing = needed - this->credit - this->at_once;
  if (missing <= 0) {
    return Duration::zero();
  }
  return std::min<Duration>(kMaxWait, FromSeconds(missing / this->Pace()));
}

// What comes in a second.
double CustomerShare::Pace() const {
  const std::chrono::duration<double> window = this->limit.window;
  return this->most / window.count();
}

// When in the window it was spent is not known, so that it counts for a whole
// one.
double CustomerShare::HeldBack(TimePoint now) const {
  return now - this->began < this->limit.window
             ? this->most * this->spent_before
             : 0;
}

void CustomerShare::Refill(TimePoint now) {
  const std::chrono::duration<double> passed = now - this->refilled;
  if (passed.count() > 0) {
    this->at_once = std::min(this->MostAtOnce(),
                             this->at_once + this->Pace() * passed.count());
    this->refilled = now;
  }
}

double CustomerShare::UsedFraction(TimePoint now) {
  const double allowed = this->limit.MaxCostPerWindow();
  const double uncredited =
      this->Used(now) + this->HeldBack(now) - this->credit;
  return allowed <= 0 ? 0 : std::clamp(uncredited / allowed, 0.0, 1.0);
}

double CustomerShare::Used(TimePoint now) {
  this->Forget(now);
  return this->spent;
}

double CustomerShare::Remaining(TimePoint now) {
  return std::max(
      0.0, this->most + this->credit - this->HeldBack(now) - this->Used(now));
}

void CustomerShare::Forget(TimePoint now) {
  while (!this->expenses.empty() &&
         now - this->expenses.front().at >= this->limit.window) {
    this->spent -= this->expenses.front().cost;
    this->expenses.pop_front();
  }
  if (this->expenses.empty()) {
    // Sums of fractions leave a rest.
    this->spent = 0;
  }
}

}  // namespace cicadaloft
