#ifndef CICADALOFT_FORWARDING_TARGET_CONNECTION_H_
#define CICADALOFT_FORWARDING_TARGET_CONNECTION_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace cicadaloft {

/// A connection to a target, with one owner at a time.
struct TargetConnection {
  explicit TargetConnection(const boost::asio::any_io_executor& executor)
      : socket(executor) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;  ///< Read, but not yet parsed.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_CONNECTION_H_
