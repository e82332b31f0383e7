#include "cicadaloft/forwarding/target_connection_pool.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <tuple>
#include <utility>

namespace cicadaloft {
namespace {

/// Part of a target's idle time for which a connection is kept: 7 of 10. The
/// rest covers timers that differ and the way.
constexpr int kIdleParts = 7;
constexpr int kIdleWhole = 10;

// An end of file or an unasked byte makes the connection unfit: the byte would
// be taken for the next request's answer.
bool IsQuiet(TargetConnection& connection) {
  if (connection.buffer.size() != 0) {
    return false;
  }
  boost::system::error_code error;
  std::ignore = connection.socket.non_blocking(true, error);
  if (error) {
    return false;
  }
  std::array<char, 1> byte{};
  connection.socket.receive(boost::asio::buffer(byte),
                            boost::asio::socket_base::message_peek, error);
  return error == boost::asio::error::would_block;
}

}  // namespace

std::shared_ptr<TargetConnection> TargetConnectionPool::Take(
    const std::string& address,
    TimePoint now) {
  this->Prune(now);
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) {
    return nullptr;
  }
  std::deque<Idle>& line = found->second;
  while (!line.empty()) {
    const Idle newest = std::move(line.back());
    line.pop_back();
    if (IsQuiet(*newest.connection)) {
      return newest.connection;
    }
  }
  return nullptr;
}

void TargetConnectionPool::Keep(const std::string& address,
                                std::shared_ptr<TargetConnection> connection,
                                Duration idle_timeout,
                                TimePoint now) {
  std::deque<Idle>& line = this->idle[address];
  line.push_back(Idle{.connection = std::move(connection),
                      .ends = now + idle_timeout * kIdleParts / kIdleWhole});
  if (line.size() > this->limits.max_idle_connections) {
    line.pop_front();
  }
}

void TargetConnectionPool::Prune(TimePoint now) {
  for (auto& [address, line] : this->idle) {
    std::erase_if(line, [&](const Idle& item) { return now >= item.ends; });
  }
  std::erase_if(this->idle,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace cicadaloft
