#include "cicadaloft/forwarding/exchange_params.h"

#include <boost/asio/ip/address.hpp>

#include "cicadaloft/settings/socket_address.h"

namespace cicadaloft {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address) {
  const Result<SocketAddress> parsed = ParseSocketAddress(address);
  if (!IsOk(parsed)) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(
      boost::asio::ip::make_address(ValueOf(parsed).ip), ValueOf(parsed).port);
}

}  // namespace cicadaloft
