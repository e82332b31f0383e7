#ifndef CICADALOFT_FORWARDING_CALLER_SESSION_H_
#define CICADALOFT_FORWARDING_CALLER_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "cicadaloft/forwarding/caller_connection.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/forwarding_settings.h"

namespace cicadaloft {

/// Serves one caller's connection until it ends; its reader is a task of its
/// own.
boost::asio::awaitable<void> RunCallerSession(
    std::shared_ptr<CallerConnection> connection,
    std::shared_ptr<EntryTaskMailbox> entry_inbox,
    CallerLimits limits);

/// Responds that there are too many connections, and closes this one.
boost::asio::awaitable<void> RejectConnection(
    boost::asio::ip::tcp::socket socket,
    std::string id_prefix,
    std::shared_ptr<EntryTaskMailbox> entry_inbox,
    CallerLimits limits,
    ResponseFormat response_format);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_CALLER_SESSION_H_
