#include "cicadaloft/forwarding/caller_listener.h"

namespace cicadaloft {

boost::asio::awaitable<void> PassStopOn(
    std::shared_ptr<StopMailbox> stop,
    std::shared_ptr<CallerDirectory> directory) {
  const auto told = co_await Receive(*stop);
  if (told != nullptr) {
    directory->TellStop();
  }
}

}  // namespace cicadaloft
