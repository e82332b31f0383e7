#include "cicadaloft/forwarding/caller_listener.h"

namespace cicadaloft {

boost::asio::awaitable<ListenerClosed> CloseListeners(
    std::vector<std::shared_ptr<StopMailbox>> listeners,
    Duration timeout) {
  const auto replies = std::make_shared<ListenerClosedMailbox>(
      co_await boost::asio::this_coro::executor, listeners.size());
  for (const auto& listener : listeners) {
    Post(*listener, ListenerClose{.timeout = timeout, .reply_to = replies});
  }
  ListenerClosed sum;
  for (std::size_t i = 0; i < listeners.size(); ++i) {
    const auto closed = co_await Receive(*replies);
    sum = ListenerClosed{
        .last_accepted = sum.last_accepted + closed->last_accepted,
        .open_connections = sum.open_connections + closed->open_connections,
        .unread_bytes = sum.unread_bytes + closed->unread_bytes};
  }
  co_return sum;
}

}  // namespace cicadaloft
