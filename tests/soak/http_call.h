#ifndef CICADALOFT_TESTS_SOAK_HTTP_CALL_H_
#define CICADALOFT_TESTS_SOAK_HTTP_CALL_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "records.h"

namespace cicadaloft::soak {

/// "IP" and port.
struct Address {
  std::string ip;
  int port = 0;

  std::string Text() const {
    return this->ip + ":" + std::to_string(this->port);
  }
  bool operator==(const Address&) const = default;
};

/// Sends one request on a connection of its own.
/// @return the status, or 0 if there was no response within the time.
boost::asio::awaitable<int> CallOnce(Address address,
                                     std::string method,
                                     std::string path,
                                     std::string body,
                                     Millis timeout);

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_HTTP_CALL_H_
