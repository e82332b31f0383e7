#ifndef CICADALOFT_FORWARDING_CALLER_CONNECTION_H_
#define CICADALOFT_FORWARDING_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/mailbox.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/messages.h"

namespace cicadaloft {

/// Mailbox capacity of a reader; at most two requests of a connection are read
/// and not yet responded to, and one question whether it is idle is open.
inline constexpr std::size_t kReaderMailboxCapacity = 4;

/// A caller's connection: its reader reads from the socket, its session writes
/// to it, and the two communicate through the mailboxes.
struct CallerConnection {
  CallerConnection(boost::asio::ip::tcp::socket socket, std::string id_prefix)
      : socket(std::move(socket)),
        to_session(
            std::make_shared<SessionMailbox>(this->socket.get_executor(), 0)),
        to_reader(this->socket.get_executor(), kReaderMailboxCapacity),
        id_prefix(std::move(id_prefix)) {}

  boost::asio::ip::tcp::socket socket;
  /// Capacity 0, so that sending completes when the session receives the
  /// message.
  const std::shared_ptr<SessionMailbox> to_session;
  Mailbox<ReaderMessage> to_reader;
  const std::string id_prefix;  ///< Host, incarnation and connection number.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_CALLER_CONNECTION_H_
