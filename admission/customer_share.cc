#include "cicadaloft/admission/customer_share.h"

#include <algorithm>
#include <chrono>
#include <ranges>

namespace cicadaloft {

double CustomerLimit::Allowed() const {
  const std::chrono::duration<double> seconds = this->window;
  return this->rate_per_second * seconds.count() + this->burst;
}

void CustomerShare::Set(const CustomerLimit& new_limit,
                        double share,
                        double new_credit) {
  this->limit = new_limit;
  this->part = share;
  this->credit = new_credit;
  this->most = new_limit.Allowed() * share;
}

bool CustomerShare::TryTake(double cost, TimePoint now) {
  this->Forget(now);
  const double left =
      this->most - this->HeldBack(now) + this->credit - this->spent;
  if (this->most <= 0 || left < std::min(cost, this->most)) {
    return false;
  }
  this->expenses.push_back(Expense{.at = now, .cost = cost});
  this->spent += cost;
  return true;
}

void CustomerShare::GiveBack(double cost, TimePoint taken_at) {
  const auto same_time =
      std::ranges::equal_range(this->expenses, taken_at, {}, &Expense::at);
  const auto found = std::ranges::find(same_time, cost, &Expense::cost);
  if (found != same_time.end()) {
    this->spent -= cost;
    this->expenses.erase(found);
  }
}

Duration CustomerShare::TimeUntil(double cost, TimePoint now) {
  this->Forget(now);
  if (this->most <= 0) {
    return kLongestWait;
  }
  const double needed = std::min(cost, this->most) - this->credit;
  double still_spent = this->spent;
  TimePoint at = now;
  Duration shortest = kLongestWait;
  const auto consider = [&] {
    // What is held back for a process before this one falls to this.
    const double free_part = (needed + still_spent) / this->most;
    if (free_part <= 1) {
      const TimePoint released =
          this->is_first ? at
                         : this->began + std::chrono::duration_cast<Duration>(
                                             this->limit.window * free_part);
      shortest = std::min(shortest, std::max(at, released) - now);
    }
  };
  consider();
  for (const Expense& expense : this->expenses) {
    still_spent -= expense.cost;
    at = expense.at + this->limit.window;
    consider();
  }
  return std::max(Duration::zero(), shortest);
}

double CustomerShare::PartInUse(TimePoint now) {
  const double allowed = this->limit.Allowed();
  const double uncredited = this->Spent(now) - this->credit;
  return allowed <= 0 ? 0 : std::clamp(uncredited / allowed, 0.0, 1.0);
}

double CustomerShare::Spent(TimePoint now) {
  this->Forget(now);
  return this->spent;
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

// What the process before may have spent in the window.
double CustomerShare::HeldBack(TimePoint now) const {
  if (this->is_first || now - this->began >= this->limit.window) {
    return 0;
  }
  const std::chrono::duration<double> passed = now - this->began;
  const std::chrono::duration<double> whole = this->limit.window;
  return this->most * (1 - passed / whole);
}

}  // namespace cicadaloft
