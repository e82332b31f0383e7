#ifndef CICADALOFT_FORWARDING_CALLER_LISTENER_H_
#define CICADALOFT_FORWARDING_CALLER_LISTENER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/node_messages.h"

namespace cicadaloft {

/// Accepts callers and serves each by a task of its own, until the acceptor is
/// closed.
/// @param id_prefix begins all ids of requests: host and incarnation.
boost::asio::awaitable<void> RunCallerListener(
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
    std::string id_prefix,
    std::shared_ptr<NodeMailbox> node,
    CallerLimits limits);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_CALLER_LISTENER_H_
