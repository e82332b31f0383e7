#include "cicadaloft/forwarding/caller_listener.h"

namespace cicadaloft {

boost::asio::awaitable<void> ForwardStop(
    std::shared_ptr<StopMailbox> stop,
    std::shared_ptr<OpenConnections> directory) {
  const auto message = co_await Receive(*stop);
  if (message != nullptr) {
    directory->NotifyStop();
  }
}

}  // namespace cicadaloft
