#ifndef CICADALOFT_HOST_PEER_LINKS_H_
#define CICADALOFT_HOST_PEER_LINKS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <set>

#include "cicadaloft/control/messages.h"
#include "cicadaloft/lease/lease_state.h"
#include "cicadaloft/peering/link_client.h"
#include "cicadaloft/peering/link_server.h"
#include "control_mailbox.h"

namespace cicadaloft {

/// This host's links: one to the lease holder and, while this host is the lease
/// holder, one from each other host.
class PeerLinks {
 public:
  /// @param acceptor on which other hosts connect, open.
  /// @param memory budget for messages.
  static std::unique_ptr<PeerLinks> Open(
      boost::asio::ip::tcp::acceptor acceptor,
      const LeaseSettings& lease_settings,
      std::shared_ptr<ControlMailbox> control_mailbox,
      const std::shared_ptr<MemoryBudget>& memory);

  void Execute(const ConnectToHolder& effect);
  void Execute(const SendToHolder& effect);
  void Execute(const SendToHost& effect);
  void Execute(const SendToAllHosts& effect);
  void Execute(const SendToHosts& effect);

  /// Forwards the events of the links to the control task; runs as long as the
  /// process.
  boost::asio::awaitable<void> Run();

 private:
  PeerLinks(const boost::asio::any_io_executor& executor,
            const LeaseSettings& lease_settings,
            std::shared_ptr<ControlMailbox> control_mailbox,
            LinkEventSink sink,
            LinkServer server,
            std::shared_ptr<MemoryBudget> memory);
  void Handle(const LinkEvent& event);

  const boost::asio::any_io_executor executor;
  const LeaseSettings lease_settings;
  const std::shared_ptr<ControlMailbox> control_mailbox;
  const LinkEventSink sink;
  LinkServer server;
  const std::shared_ptr<MemoryBudget> memory;
  std::optional<LeaseRecord> holder_record;
  std::optional<LinkClient> client;
  std::set<LinkPeer> connected_peers;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_PEER_LINKS_H_
