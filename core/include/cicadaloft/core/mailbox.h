#ifndef CICADALOFT_CORE_MAILBOX_H_
#define CICADALOFT_CORE_MAILBOX_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <utility>

namespace cicadaloft {

/// A bounded channel of immutable messages between tasks.
template <typename T>
class Mailbox {
 public:
  using Channel = boost::asio::experimental::concurrent_channel<
      void(boost::system::error_code, std::shared_ptr<const T>)>;

  /// @param capacity messages that may wait; 0: a message is sent when the
  /// receiver takes it.
  Mailbox(const boost::asio::any_io_executor& executor, std::size_t capacity)
      : messages(executor, capacity) {}

  Channel& channel() { return this->messages; }
  /// Ends all waiting; no more messages are sent or received.
  void Close() { this->messages.close(); }

 private:
  Channel messages;
};

/// Waits until the mailbox has capacity.
/// @return whether the message was sent; false if the mailbox is closed.
template <typename T>
boost::asio::awaitable<bool> SendShared(Mailbox<T>& mailbox,
                                        std::shared_ptr<const T> message) {
  const auto [error] = co_await mailbox.channel().async_send(
      boost::system::error_code{}, std::move(message),
      boost::asio::as_tuple(boost::asio::use_awaitable));
  co_return !error;
}

/// As SendShared(), for a message that is not shared yet.
template <typename T, typename M>
boost::asio::awaitable<bool> Send(Mailbox<T>& mailbox, M message) {
  return SendShared<T>(mailbox, std::make_shared<const T>(std::move(message)));
}

/// Sends without waiting: the message is queued until the mailbox has capacity.
template <typename T, typename M>
void Post(Mailbox<T>& mailbox, M message) {
  mailbox.channel().async_send(boost::system::error_code{},
                               std::make_shared<const T>(std::move(message)),
                               boost::asio::detached);
}

/// @return whether the mailbox had capacity for the message.
template <typename T, typename M>
bool TrySend(Mailbox<T>& mailbox, M message) {
  return mailbox.channel().try_send(
      boost::system::error_code{},
      std::make_shared<const T>(std::move(message)));
}

/// @return the next message, or null if the mailbox is closed.
template <typename T>
boost::asio::awaitable<std::shared_ptr<const T>> Receive(Mailbox<T>& mailbox) {
  auto [error, message] = co_await mailbox.channel().async_receive(
      boost::asio::as_tuple(boost::asio::use_awaitable));
  co_return error ? nullptr : std::move(message);
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_MAILBOX_H_
