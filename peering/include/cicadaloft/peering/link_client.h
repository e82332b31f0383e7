#ifndef CICADALOFT_PEERING_LINK_CLIENT_H_
#define CICADALOFT_PEERING_LINK_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "cicadaloft/peering/link_channel.h"
#include "cicadaloft/peering/link_messages.h"

namespace cicadaloft {

/// Handle of a task that maintains one link to a server and reconnects with
/// jittered back-off whenever it breaks. The executor must run on one thread.
/// Destroying the handle stops the task; a link that was up is reported down.
class LinkClient {
 public:
  struct Options {
    const LinkSettings settings;
    const std::string address;     ///< "IP:port".
    const LinkPeer expected_peer;  ///< Any other peer is refused.
    const std::uint64_t jitter_seed = 0;
  };

  /// @param sink receives LinkUp, LinkDown and LinkMessageReceived.
  LinkClient(const boost::asio::any_io_executor& executor,
             Options options,
             LinkEventSink sink);
  ~LinkClient();
  LinkClient(LinkClient&& other) noexcept;
  LinkClient& operator=(LinkClient&& other) noexcept;

  /// Queues a message on the link.
  /// @return false if the link is down, or was closed because more than
  /// LinkSettings::max_queued_bytes were unsent.
  bool Send(const PeerMessage& message);

 private:
  class Task;
  std::shared_ptr<Task> task;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_CLIENT_H_
