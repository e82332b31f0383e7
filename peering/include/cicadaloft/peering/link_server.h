#ifndef CICADALOFT_PEERING_LINK_SERVER_H_
#define CICADALOFT_PEERING_LINK_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "cicadaloft/core/result.h"
#include "cicadaloft/peering/link_channel.h"
#include "cicadaloft/peering/link_messages.h"

namespace cicadaloft {

/// Handle of a task that accepts links from other hosts. The executor must run
/// on one thread. Destroying the handle closes the listener and all links.
class LinkServer {
 public:
  /// @param address "IP:port" to listen on; port 0 lets the kernel choose.
  /// @param sink receives LinkUp, LinkDown and LinkMessageReceived.
  /// @return the server, or kSettingsInvalid if it can't listen on the address.
  static Result<LinkServer> Open(const boost::asio::any_io_executor& executor,
                                 const LinkSettings& settings,
                                 const std::string& address,
                                 LinkEventSink sink);
  /// As Open(), for a listener that is open already.
  static LinkServer Start(boost::asio::ip::tcp::acceptor acceptor,
                          const LinkSettings& settings,
                          LinkEventSink sink);
  ~LinkServer();
  LinkServer(LinkServer&& other) noexcept;
  LinkServer& operator=(LinkServer&& other) noexcept;

  /// Queues a message on the link from `peer`.
  /// @return false if there is none, or if it was closed because more than
  /// LinkSettings::max_queued_bytes were unsent.
  bool Send(const LinkPeer& peer, const PeerMessage& message);
  /// Queues a message on the links from these peers; it is encoded once.
  void SendToAll(const std::set<LinkPeer>& peers, const PeerMessage& message);
  /// @return the port that the server listens on.
  std::uint16_t port() const;

 private:
  class Task;
  explicit LinkServer(std::shared_ptr<Task> task);

  std::shared_ptr<Task> task;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_SERVER_H_
