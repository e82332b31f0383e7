#ifndef CICADALOFT_DAEMONS_STEWARD_NODE_TASK_H_
#define CICADALOFT_DAEMONS_STEWARD_NODE_TASK_H_

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <concepts>
#include <utility>
#include <variant>

#include "boot_clock.h"
#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A state that moves through a pure step.
template <typename State, typename Event, typename Effect>
concept Decider = requires(State state, const Event& event, TimePoint now) {
  { Decide(std::move(state), event, now) } -> std::same_as<Step<State, Effect>>;
};

/// Carries each alternative of an effect out, and never waits.
template <typename Outlet, typename Effect>
concept EffectOutlet = requires(Outlet& outlet, const Effect& effect) {
  std::visit(outlet, effect);
};

/// The task that owns one node's state: it takes events one at a time, from a
/// channel and from its own timer, and hands the effects to the outlet.
template <typename State, typename Event, typename Effect, typename Outlet>
  requires Decider<State, Event, Effect> && EffectOutlet<Outlet, Effect>
class NodeTask {
 public:
  /// @param outlet must outlive the task.
  NodeTask(State state, Outlet& outlet)
      : current(std::move(state)), outlet(outlet) {}

  /// What the node knows now.
  const State& state() const { return this->current; }

  /// Takes one event.
  void Take(const Event& event) {
    Step<State, Effect> step =
        Decide(std::move(this->current), event, BootNow());
    this->current = std::move(step.state);
    std::ranges::for_each(step.effects, [&](const Effect& effect) {
      std::visit(this->outlet, effect);
    });
  }

  /// Takes what comes over the channel until it is closed.
  template <typename Channel>
  boost::asio::awaitable<void> TakeAll(Channel& channel) {
    for (;;) {
      auto [error, event] = co_await channel.async_receive(kNoThrow);
      if (error) {
        co_return;
      }
      this->Take(event);
    }
  }

  /// Takes `tick` at every interval, for good.
  boost::asio::awaitable<void> TakeTicks(Event tick, Duration interval) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    for (;;) {
      timer.expires_after(interval);
      const auto [error] = co_await timer.async_wait(kNoThrow);
      if (error) {
        co_return;
      }
      this->Take(tick);
    }
  }

 private:
  static constexpr auto kNoThrow =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  State current;
  Outlet& outlet;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DAEMONS_STEWARD_NODE_TASK_H_
