#ifndef CICADALOFT_FORWARDING_ADMIN_LISTENER_H_
#define CICADALOFT_FORWARDING_ADMIN_LISTENER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "cicadaloft/forwarding/node_messages.h"

namespace cicadaloft {

/// Answers operators until the acceptor is closed: GET /ready, /metrics,
/// /v1/status and /v1/explain/REQUEST_ID.
/// @param host stands in the status.
boost::asio::awaitable<void> RunAdminListener(
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
    std::string host,
    std::shared_ptr<NodeMailbox> node);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ADMIN_LISTENER_H_
