#include "cicadaloft/forwarding/caller_listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <utility>

#include "caller_session.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;

/// After an accept that failed, as when there are no descriptors left.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);
/// Connections over the limit that still get an answer.
constexpr std::size_t kTurnedAway = 100;

}  // namespace

asio::awaitable<void> RunCallerListener(
    std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
    std::string id_prefix,
    std::shared_ptr<NodeMailbox> node,
    CallerLimits limits) {
  const auto executor = co_await asio::this_coro::executor;
  const auto open = std::make_shared<std::size_t>(0);
  const auto count_end = [open](const std::exception_ptr&) { --*open; };
  std::uint64_t connections = 0;
  while (acceptor->is_open()) {
    auto [error, socket] =
        co_await acceptor->async_accept(asio::as_tuple(asio::use_awaitable));
    if (error) {
      asio::steady_timer pause(executor, kAcceptPause);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    ++connections;
    const std::string prefix = id_prefix + "-" + std::to_string(connections);
    if (*open >= limits.connections + kTurnedAway) {
      continue;
    }
    const bool is_over = *open >= limits.connections;
    ++*open;
    if (is_over) {
      asio::co_spawn(executor,
                     TurnAway(std::move(socket), prefix, node, limits),
                     count_end);
    } else {
      asio::co_spawn(executor,
                     RunCallerSession(std::move(socket), prefix, node, limits),
                     count_end);
    }
  }
}

}  // namespace cicadaloft
