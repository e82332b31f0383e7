#ifndef CICADALOFT_FORWARDING_OPEN_CONNECTIONS_H_
#define CICADALOFT_FORWARDING_OPEN_CONNECTIONS_H_

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

#include "cicadaloft/core/mailbox.h"
#include "cicadaloft/forwarding/caller_connection.h"
#include "cicadaloft/forwarding/messages.h"

namespace cicadaloft {

/// The open connections of a listener, for messages to all sessions. Part of
/// the listener's task.
class OpenConnections {
 public:
  void Add(const std::shared_ptr<CallerConnection>& connection) {
    // Closed connections are removed only when the list has doubled, so that
    // adding stays cheap.
    if (this->connections.size() >= 2 * this->size_after_cleanup) {
      std::erase_if(this->connections,
                    [](const auto& item) { return item.expired(); });
      this->size_after_cleanup =
          std::max(kMinCleanupSize, this->connections.size());
    }
    this->connections.push_back(connection);
    if (this->is_host_stopping) {
      Post(*connection->to_session, SessionMessage(HostStopping{}));
    }
  }

  /// Notifies each session that the host is stopping, and later each new one.
  void NotifyStop() {
    this->is_host_stopping = true;
    for (const auto& item : this->connections) {
      if (const auto connection = item.lock()) {
        Post(*connection->to_session, SessionMessage(HostStopping{}));
      }
    }
  }

  /// @return the bytes of requests that nobody has read from the sockets.
  std::size_t CountUnreadBytes() const {
    std::size_t bytes = 0;
    for (const auto& item : this->connections) {
      const auto connection = item.lock();
      if (connection != nullptr && connection->socket.is_open()) {
        boost::system::error_code error;
        const std::size_t unread = connection->socket.available(error);
        bytes += error ? 0 : unread;
      }
    }
    return bytes;
  }

 private:
  static constexpr std::size_t kMinCleanupSize = 64;

  std::vector<std::weak_ptr<CallerConnection>> connections;
  std::size_t size_after_cleanup = kMinCleanupSize;
  bool is_host_stopping = false;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_OPEN_CONNECTIONS_H_
