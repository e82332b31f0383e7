#ifndef CICADALOFT_FORWARDING_TARGET_CONNECTION_H_
#define CICADALOFT_FORWARDING_TARGET_CONNECTION_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <set>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// A connection to a target, with one owner at a time.
struct TargetConnection {
  explicit TargetConnection(const boost::asio::any_io_executor& executor)
      : socket(executor) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;  ///< Read, but not yet parsed.
  /// Requests that the target has refused on this connection, by the callers'
  /// ids. A faulty target may write a refusal again, which would be taken for
  /// the response if the same request were sent on this connection again.
  std::set<RequestId> refused;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_CONNECTION_H_
