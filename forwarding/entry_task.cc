#include "cicadaloft/forwarding/entry_task.h"

#include <boost/asio/this_coro.hpp>

namespace cicadaloft {

boost::asio::awaitable<void> RunTicks(std::shared_ptr<EntryTaskMailbox> inbox) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  bool is_open = true;
  while (is_open) {
    timer.expires_after(kEntryTickInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
    const auto message = EntryEvent(EntryTick{});
    is_open = co_await Send(*inbox, message);
  }
}

}  // namespace cicadaloft
