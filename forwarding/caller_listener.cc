#include "cicadaloft/forwarding/caller_listener.h"

namespace cicadaloft {

boost::asio::awaitable<void> ForwardStop(
    std::shared_ptr<StopMailbox> stop,
    std::shared_ptr<OpenConnections> directory) {
  const auto told = co_await Receive(*stop);
  if (told != nullptr) {
    directory->NotifyStop();
  }
}

}  // namespace cicadaloft
