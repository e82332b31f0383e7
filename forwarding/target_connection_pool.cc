#include "cicadaloft/forwarding/target_connection_pool.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/forwarding/idle_connection.h"

namespace cicadaloft {
namespace {

/// A connection is kept for 7/10 of the target's idle timeout. The remainder
/// covers timer differences and the network delay.
constexpr int kIdleFractionNumerator = 7;
constexpr int kIdleFractionDenominator = 10;

}  // namespace

std::shared_ptr<TargetConnection> TargetConnectionPool::Acquire(
    const std::string& address,
    const RequestId& request,
    TimePoint now) {
  this->Prune(now);
  const auto found = this->idle_connections.find(address);
  if (found == this->idle_connections.end()) {
    return nullptr;
  }
  std::deque<IdleConnection>& connections = found->second;
  // The newest ones come last.
  const auto may_carry = [&](const IdleConnection& item) {
    return !item.connection->refused.contains(request);
  };
  for (auto next =
           std::ranges::find_if(connections | std::views::reverse, may_carry);
       next != connections.rend();
       next =
           std::ranges::find_if(connections | std::views::reverse, may_carry)) {
    const std::shared_ptr<TargetConnection> connection = next->connection;
    connections.erase(std::next(next).base());
    if (IsReusable(connection->socket, connection->buffer)) {
      return connection;
    }
  }
  return nullptr;
}

void TargetConnectionPool::Release(const std::string& address,
                                   std::shared_ptr<TargetConnection> connection,
                                   Duration idle_timeout,
                                   TimePoint now) {
  std::deque<IdleConnection>& connections = this->idle_connections[address];
  connections.push_back(
      IdleConnection{.connection = std::move(connection),
                     .expires_at = now + idle_timeout * kIdleFractionNumerator /
                                             kIdleFractionDenominator});
  if (connections.size() > this->limits.max_idle_connections) {
    connections.pop_front();
  }
}

void TargetConnectionPool::Prune(TimePoint now) {
  for (auto& [address, connections] : this->idle_connections) {
    std::erase_if(connections, [&](const IdleConnection& item) {
      return now >= item.expires_at;
    });
  }
  std::erase_if(this->idle_connections,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace cicadaloft
