#ifndef CICADALOFT_TESTS_SCENARIOS_RUNNER_VIRTUAL_TIME_H_
#define CICADALOFT_TESTS_SCENARIOS_RUNNER_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "cicadaloft/core/time.h"

namespace cicadaloft::scenarios {

/// A clock that moves from one planned action to the next.
class VirtualTime {
 public:
  using Action = std::function<void()>;

  TimePoint Now() const { return this->now; }

  /// Plans an action; actions of the same time run in the order planned.
  void After(Duration delay, Action action) {
    this->actions.emplace(std::pair(this->now + delay, this->sequence++),
                          std::move(action));
  }

  /// Runs all actions planned up to `end`.
  void RunUntil(TimePoint end) {
    while (!this->actions.empty() &&
           this->actions.begin()->first.first <= end) {
      auto node = this->actions.extract(this->actions.begin());
      this->now = node.key().first;
      node.mapped()();
    }
    this->now = end;
  }

 private:
  TimePoint now{std::chrono::hours(1)};
  std::uint64_t sequence = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Action> actions;
};

}  // namespace cicadaloft::scenarios

#endif  // CICADALOFT_TESTS_SCENARIOS_RUNNER_VIRTUAL_TIME_H_
