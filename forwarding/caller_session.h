#ifndef CICADALOFT_FORWARDING_CALLER_SESSION_H_
#define CICADALOFT_FORWARDING_CALLER_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/node_messages.h"

namespace cicadaloft {

/// Serves one caller's connection until it ends.
/// @param id_prefix begins the ids of the connection's requests.
boost::asio::awaitable<void> RunCallerSession(
    boost::asio::ip::tcp::socket socket,
    std::string id_prefix,
    std::shared_ptr<NodeMailbox> node,
    CallerLimits limits);

/// Answers that there are too many connections, and closes this one.
boost::asio::awaitable<void> TurnAway(boost::asio::ip::tcp::socket socket,
                                      std::string id_prefix,
                                      std::shared_ptr<NodeMailbox> node,
                                      CallerLimits limits);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_CALLER_SESSION_H_
