#include "cicadaloft/forwarding/caller_listener.h"

namespace cicadaloft {

boost::asio::awaitable<void> ForwardStop(
    std::shared_ptr<StopMailbox> stop,
    std::shared_ptr<OpenConnections> open_connections) {
  const auto message = co_await Receive(*stop);
  if (message != nullptr) {
    open_connections->NotifyStop();
  }
}

}  // namespace cicadaloft
