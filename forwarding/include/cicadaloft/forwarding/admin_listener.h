#ifndef CICADALOFT_FORWARDING_ADMIN_LISTENER_H_
#define CICADALOFT_FORWARDING_ADMIN_LISTENER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "cicadaloft/forwarding/entry_task_messages.h"

namespace cicadaloft {

/// Settings of an admin listener.
struct AdminSettings {
  std::string host;
  std::string ready_path = "/ready";  ///< Path of the readiness check.
};

/// Serves operators until the acceptor is closed: GET of the ready path,
/// /metrics, /v1/status and /v1/explain/REQUEST_ID.
boost::asio::awaitable<void> RunAdminListener(
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
    AdminSettings settings,
    std::shared_ptr<EntryTaskMailbox> entry_inbox);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ADMIN_LISTENER_H_
