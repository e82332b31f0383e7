#ifndef CICADALOFT_FORWARDING_TARGET_CONNECTION_H_
#define CICADALOFT_FORWARDING_TARGET_CONNECTION_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <set>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// A connection to a target, with one owner at a time.
struct TargetConnection {
  /// Size of the buffer, which bounds the framing within a body: the line
  /// before a chunk, and the trailer. Most heads fit as well.
  static constexpr std::size_t kBufferBytes = std::size_t{4} * 1024;

  explicit TargetConnection(const boost::asio::any_io_executor& executor)
      : socket(executor) {}

  boost::asio::ip::tcp::socket socket;
  /// Read, but not yet parsed. A target that sends no valid framing fills it,
  /// which ends the attempt.
  boost::beast::flat_buffer buffer{kBufferBytes};
  /// Requests that the target has refused on this connection, by the callers'
  /// ids. A faulty target may write a refusal again, which would be taken for
  /// the response if the same request were sent on this connection again.
  std::set<RequestId> refused;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_CONNECTION_H_
