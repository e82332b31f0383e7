#ifndef CICADALOFT_FORWARDING_CALLER_LISTENER_H_
#define CICADALOFT_FORWARDING_CALLER_LISTENER_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/spawn.h"
#include "cicadaloft/forwarding/caller_connection.h"
#include "cicadaloft/forwarding/caller_session.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/open_connections.h"
#include "cicadaloft/forwarding/protocols.h"
#include "cicadaloft/forwarding/request_reader.h"
#include "cicadaloft/settings/socket_options.h"
#include "cicadaloft/telemetry/log_task_failure.h"

namespace cicadaloft {

/// After a failed accept, for example when no file descriptors are left.
inline constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

/// A listener's end: what it left behind.
struct ListenerClosed {
  std::size_t last_accepted = 0;     ///< Were queued when it closed.
  std::size_t open_connections = 0;  ///< Had not ended within the time.
  std::size_t unread_bytes = 0;      ///< Of requests on these.

  friend auto operator<=>(const ListenerClosed&,
                          const ListenerClosed&) = default;
  friend bool operator==(const ListenerClosed&,
                         const ListenerClosed&) = default;
};
using ListenerClosedMailbox = Mailbox<ListenerClosed>;

/// To a listener, after HostStopping: accepts what is queued, closes the
/// listening socket and replies when all connections have ended.
struct ListenerClose {
  const Duration timeout{};  ///< After which it replies in any case.
  const std::shared_ptr<ListenerClosedMailbox> reply_to;

  friend auto operator<=>(const ListenerClose&, const ListenerClose&) = default;
  friend bool operator==(const ListenerClose&, const ListenerClose&) = default;
};

/// All messages to a listener.
using StopMailbox = Mailbox<std::variant<HostStopping, ListenerClose>>;

/// Closes all listeners at the same time.
/// @param timeout for each of them.
/// @return the sum of what they left behind.
boost::asio::awaitable<ListenerClosed> CloseListeners(
    std::vector<std::shared_ptr<StopMailbox>> listeners,
    Duration timeout);

/// Accepts callers, and serves each connection in tasks of its own.
template <CallerProtocol Protocol>
class CallerListener
    : public std::enable_shared_from_this<CallerListener<Protocol>> {
 public:
  CallerListener(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
                 std::string id_prefix,
                 std::shared_ptr<EntryTaskMailbox> entry_inbox,
                 CallerLimits limits)
      : acceptor(std::move(acceptor)),
        all_ended(this->acceptor->get_executor()),
        id_prefix(std::move(id_prefix)),
        entry_inbox(std::move(entry_inbox)),
        limits(std::move(limits)) {}

  /// Accepts until the acceptor is closed.
  boost::asio::awaitable<void> Accept() {
    const auto executor = co_await boost::asio::this_coro::executor;
    while (this->acceptor->is_open()) {
      auto [error, socket] = co_await this->acceptor->async_accept(
          boost::asio::as_tuple(boost::asio::use_awaitable));
      if (!error) {
        this->Serve(std::move(socket));
      } else if (this->acceptor->is_open()) {
        boost::asio::steady_timer pause(executor, kAcceptRetryDelay);
        co_await pause.async_wait(boost::asio::use_awaitable);
      }
    }
  }

  boost::asio::awaitable<void> HandleStops(std::shared_ptr<StopMailbox> stop) {
    auto message = co_await Receive(*stop);
    while (message != nullptr) {
      this->open_connections.NotifyStop();
      if (const auto* close = std::get_if<ListenerClose>(message.get())) {
        co_await this->Close(*close);
        co_return;
      }
      message = co_await Receive(*stop);
    }
  }

 private:
  // A caller whose connection the kernel has queued may have sent its request.
  boost::asio::awaitable<void> Close(ListenerClose close) {
    const std::uint64_t count_before = this->connection_count;
    const auto end = std::chrono::steady_clock::now() + close.timeout;
    co_await this->AcceptQueued(end);
    boost::system::error_code error;
    std::ignore = this->acceptor->close(error);
    // Accept() may have been given a connection that it has not served yet.
    co_await boost::asio::post(boost::asio::use_awaitable);
    while (this->open_count != 0 && std::chrono::steady_clock::now() < end) {
      this->all_ended.expires_at(end);
      co_await this->all_ended.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    TrySend(*close.reply_to,
            ListenerClosed{
                .last_accepted = static_cast<std::size_t>(
                    this->connection_count - count_before),
                .open_connections = this->open_count,
                .unread_bytes = this->open_connections.CountUnreadBytes()});
  }

  // Without descriptors it waits for some until `end`.
  boost::asio::awaitable<void> AcceptQueued(
      std::chrono::steady_clock::time_point end) {
    boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor);
    boost::system::error_code error;
    std::ignore = this->acceptor->non_blocking(true, error);
    while (error != boost::asio::error::would_block &&
           std::chrono::steady_clock::now() < end) {
      auto socket = this->acceptor->accept(error);
      if (!error) {
        this->Serve(std::move(socket));
      } else if (error != boost::asio::error::would_block) {
        pause.expires_after(kAcceptRetryDelay);
        co_await pause.async_wait(boost::asio::use_awaitable);
      }
    }
  }

  // Counts the end also if an exception leaves the task.
  static boost::asio::awaitable<void> CountEndAfter(
      std::shared_ptr<CallerListener> listener,
      boost::asio::awaitable<void> task) {
    struct EndCount {
      const std::shared_ptr<CallerListener> listener;
      ~EndCount() { this->listener->CountEnd(); }
    };
    const EndCount count{.listener = std::move(listener)};
    co_await std::move(task);
  }

  void CountEnd() {
    --this->open_count;
    if (this->open_count == 0) {
      this->all_ended.cancel();
    }
  }

  void Serve(boost::asio::ip::tcp::socket socket) {
    const auto executor = socket.get_executor();
    ++this->connection_count;
    const std::string prefix =
        this->id_prefix + "-" + std::to_string(this->connection_count);
    if (this->open_count >=
        this->limits.max_connections + this->limits.max_rejected_connections) {
      return;
    }
    const bool is_over_limit = this->open_count >= this->limits.max_connections;
    ++this->open_count;
    if (is_over_limit) {
      Spawn(executor, "rejection of " + prefix,
            CountEndAfter(
                this->shared_from_this(),
                RejectConnection(std::move(socket), prefix, this->entry_inbox,
                                 this->limits, MakeResponseFormat<Protocol>())),
            LogTaskFailure{});
      return;
    }
    SetKeepAliveOptions(socket);
    const auto connection =
        std::make_shared<CallerConnection>(std::move(socket), prefix);
    this->open_connections.Add(connection);
    Spawn(executor, "reader of " + prefix,
          ReadRequests<Protocol>(connection, this->limits),
          [connection](const TaskFailure& failure) {
            LogTaskFailure{}(failure);
            Post(*connection->to_session, SessionMessage(InputEnded{}));
          });
    Spawn(executor, "session of " + prefix,
          CountEndAfter(
              this->shared_from_this(),
              RunCallerSession(connection, this->entry_inbox, this->limits)),
          LogTaskFailure{});
  }

  const std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  /// Cancelled when the last connection ends.
  boost::asio::steady_timer all_ended;
  const std::string id_prefix;
  const std::shared_ptr<EntryTaskMailbox> entry_inbox;
  const CallerLimits limits;
  OpenConnections open_connections;
  std::size_t open_count = 0;
  std::uint64_t connection_count = 0;
};

/// Accepts callers until the acceptor is closed, and serves each connection in
/// tasks of its own.
/// @tparam Protocol the callers' protocol.
/// @param id_prefix start of all request ids: host and incarnation.
/// @param stop HostStopping closes connections that have been idle for a
/// second, and the others after their responses; ListenerClose ends the
/// listener.
template <CallerProtocol Protocol>
boost::asio::awaitable<void> RunCallerListener(
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
    std::string id_prefix,
    std::shared_ptr<EntryTaskMailbox> entry_inbox,
    std::shared_ptr<StopMailbox> stop,
    CallerLimits limits) {
  const auto listener = std::make_shared<CallerListener<Protocol>>(
      std::move(acceptor), std::move(id_prefix), std::move(entry_inbox),
      std::move(limits));
  const auto handle_stops = [](auto listener,
                               auto stop) -> boost::asio::awaitable<void> {
    co_await listener->HandleStops(std::move(stop));
  };
  Spawn(co_await boost::asio::this_coro::executor, "stop of callers",
        handle_stops(listener, std::move(stop)), EndProcess{});
  co_await listener->Accept();
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_CALLER_LISTENER_H_
