#ifndef CICADALOFT_FORWARDING_WITH_TIMEOUT_H_
#define CICADALOFT_FORWARDING_WITH_TIMEOUT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Cancels an operation that exceeds its timeout.
/// @param operation must report its end by its result, not by an exception.
/// @return the operation's result, or none if `timeout` expired first.
template <typename T>
boost::asio::awaitable<std::optional<T>> WithTimeout(
    Duration timeout,
    boost::asio::awaitable<T> operation) {
  using boost::asio::experimental::awaitable_operators::operator||;
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  timeout);
  auto result = co_await (std::move(operation) ||
                          timer.async_wait(boost::asio::use_awaitable));
  if (result.index() != 0) {
    co_return std::nullopt;
  }
  co_return std::optional<T>(std::get<0>(std::move(result)));
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_WITH_TIMEOUT_H_
