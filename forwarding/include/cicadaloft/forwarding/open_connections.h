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

/// The open connections of a listener, so that it can tell all sessions
/// something. Part of the listener's task.
class OpenConnections {
 public:
  void Add(const std::shared_ptr<CallerConnection>& connection) {
    // Ended ones are dropped now and then, so that adding stays cheap.
    if (this->connections.size() >= 2 * this->kept) {
      std::erase_if(this->connections,
                    [](const auto& item) { return item.expired(); });
      this->kept = std::max(kLeastKept, this->connections.size());
    }
    this->connections.push_back(connection);
  }

  /// Tells each session that the host stops.
  void NotifyStop() const {
    for (const auto& item : this->connections) {
      if (const auto connection = item.lock()) {
        Post(*connection->to_session, SessionMessage(HostStopping{}));
      }
    }
  }

 private:
  static constexpr std::size_t kLeastKept = 64;

  std::vector<std::weak_ptr<CallerConnection>> connections;
  std::size_t kept = kLeastKept;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_OPEN_CONNECTIONS_H_
