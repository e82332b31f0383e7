#ifndef CICADALOFT_DAEMONS_STEWARD_PEER_LINKS_H_
#define CICADALOFT_DAEMONS_STEWARD_PEER_LINKS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/peering/link_client.h"
#include "cicadaloft/peering/link_server.h"
#include "cicadaloft/platform/mailbox.h"

namespace cicadaloft {

/// A steward's links: those it takes, and those it holds to others.
class PeerLinks {
 public:
  PeerLinks(boost::asio::any_io_executor executor,
            LinkSettings settings,
            std::uint64_t jitter_seed);

  /// @return the port listened on, or kSettingsInvalid.
  Result<std::uint16_t> Listen(const std::string& address);

  /// Sends over whichever link to the peer there is.
  /// @return false if there is none.
  bool Send(const HostId& peer, const Envelope& envelope);
  bool SendToEntry(const Envelope& envelope);
  void Hold(const HoldLink& link);

  /// Turns what happens on the links into the node's events, for good.
  boost::asio::awaitable<void> Run(StewardEventSink sink);

 private:
  /// @return what the node is to hear; none while another link to the peer is
  /// up.
  std::vector<StewardEvent> EventsOf(const LinkEvent& event);

  boost::asio::any_io_executor executor;
  const LinkSettings settings;
  std::uint64_t next_seed;
  LinkEventSink events;
  std::vector<LinkServer> servers;  ///< One, once it listens.
  std::map<HostId, LinkClient> clients;
  std::map<LinkPeer, int> links_up;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DAEMONS_STEWARD_PEER_LINKS_H_
