#ifndef CICADALOFT_FORWARDING_CALLER_LISTENER_H_
#define CICADALOFT_FORWARDING_CALLER_LISTENER_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <utility>

#include "cicadaloft/forwarding/caller_connection.h"
#include "cicadaloft/forwarding/caller_session.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/open_connections.h"
#include "cicadaloft/forwarding/protocols.h"
#include "cicadaloft/forwarding/request_reader.h"
#include "cicadaloft/settings/socket_options.h"

namespace cicadaloft {

/// After a failed accept, for example when no file descriptors are left.
inline constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);
/// Connections over the limit that still get an error response.
inline constexpr std::size_t kMaxRejectedConnections = 100;

using StopMailbox = Mailbox<HostStopping>;

/// Forwards a stop to the sessions of all open connections.
boost::asio::awaitable<void> ForwardStop(
    std::shared_ptr<StopMailbox> stop,
    std::shared_ptr<OpenConnections> open_connections);

/// Accepts callers until the acceptor is closed, and serves each connection in
/// tasks of its own.
/// @tparam Protocol the callers' protocol.
/// @param id_prefix start of all request ids: host and incarnation.
/// @param stop a message there closes connections that have been idle for a
/// second, and the others after their responses.
template <CallerProtocol Protocol>
boost::asio::awaitable<void> RunCallerListener(
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
    std::string id_prefix,
    std::shared_ptr<EntryTaskMailbox> entry_inbox,
    std::shared_ptr<StopMailbox> stop,
    CallerLimits limits) {
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto open_connections = std::make_shared<OpenConnections>();
  boost::asio::co_spawn(executor,
                        ForwardStop(std::move(stop), open_connections),
                        boost::asio::detached);
  const auto open_count = std::make_shared<std::size_t>(0);
  const auto decrement_open_count = [open_count](const std::exception_ptr&) {
    --*open_count;
  };
  std::uint64_t connection_count = 0;
  while (acceptor->is_open()) {
    auto [error, socket] = co_await acceptor->async_accept(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    if (error) {
      boost::asio::steady_timer pause(executor, kAcceptRetryDelay);
      co_await pause.async_wait(boost::asio::use_awaitable);
      continue;
    }
    ++connection_count;
    const std::string prefix =
        id_prefix + "-" + std::to_string(connection_count);
    if (*open_count >= limits.max_connections + kMaxRejectedConnections) {
      continue;
    }
    const bool is_over_limit = *open_count >= limits.max_connections;
    ++*open_count;
    if (is_over_limit) {
      boost::asio::co_spawn(
          executor,
          RejectConnection(std::move(socket), prefix, entry_inbox, limits),
          decrement_open_count);
    } else {
      SetKeepAliveOptions(socket);
      const auto connection =
          std::make_shared<CallerConnection>(std::move(socket), prefix);
      open_connections->Add(connection);
      boost::asio::co_spawn(executor,
                            ReadRequests<Protocol>(connection, limits),
                            boost::asio::detached);
      boost::asio::co_spawn(executor,
                            RunCallerSession(connection, entry_inbox, limits),
                            decrement_open_count);
    }
  }
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_CALLER_LISTENER_H_
