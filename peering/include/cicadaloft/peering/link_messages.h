#ifndef CICADALOFT_PEERING_LINK_MESSAGES_H_
#define CICADALOFT_PEERING_LINK_MESSAGES_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/memory_budget.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/peering/messages.h"

namespace cicadaloft {

/// Identity of a process on a link. That of the other end is authenticated with
/// the shared secret.
struct LinkPeer {
  const HostId host;

  friend auto operator<=>(const LinkPeer&, const LinkPeer&) = default;
  friend bool operator==(const LinkPeer&, const LinkPeer&) = default;
};

/// Both ends of a link have authenticated each other.
struct LinkUp {
  const LinkPeer peer;

  friend auto operator<=>(const LinkUp&, const LinkUp&) = default;
  friend bool operator==(const LinkUp&, const LinkUp&) = default;
};

/// The link is closed; follows each LinkUp exactly once. Messages that were
/// sent but not delivered are lost.
struct LinkDown {
  const LinkPeer peer;

  friend auto operator<=>(const LinkDown&, const LinkDown&) = default;
  friend bool operator==(const LinkDown&, const LinkDown&) = default;
};

struct LinkMessageReceived {
  const LinkPeer peer;
  const PeerMessage message;

  friend auto operator<=>(const LinkMessageReceived&,
                          const LinkMessageReceived&) = default;
  friend bool operator==(const LinkMessageReceived&,
                         const LinkMessageReceived&) = default;
};

/// What a LinkClient or LinkServer reports to its user.
using LinkEvent = std::variant<LinkUp, LinkDown, LinkMessageReceived>;

/// Identity of this process on its links, and their timeouts and limits.
struct LinkSettings {
  const LinkPeer self;
  const std::string secret;  ///< Shared by all hosts of the system.
  const Duration ping_interval = std::chrono::seconds(1);
  /// A link on which nothing has been received for longer is closed.
  const Duration receive_timeout = std::chrono::seconds(3);
  /// Limit of the TCP connect and, separately, of the WebSocket handshake with
  /// the authentication.
  const Duration handshake_timeout = std::chrono::seconds(3);
  const Duration min_backoff = std::chrono::milliseconds(50);
  const Duration max_backoff = std::chrono::seconds(2);
  const std::size_t max_message_bytes = std::size_t{2} << 20;
  /// A link with more unsent bytes is closed.
  const std::size_t max_queued_bytes = std::size_t{4} << 20;
  /// For incomplete and unsent messages; shared by all connections of the host.
  const std::shared_ptr<MemoryBudget> memory = MakePeerMemoryBudget();
  const std::size_t max_links = 1024;  ///< Of a server; more are refused.

  friend auto operator<=>(const LinkSettings&, const LinkSettings&) = default;
  friend bool operator==(const LinkSettings&, const LinkSettings&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_MESSAGES_H_
