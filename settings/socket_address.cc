#include "cicadaloft/settings/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace cicadaloft {
namespace {

Error MakeAddressError() {
  return MakeError(ErrorKind::kSettingsInvalid,
                   "expected an address such as \"127.0.0.1:7101\"");
}

}  // namespace

Result<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return MakeAddressError();
  }
  const std::string ip(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
    return MakeAddressError();
  }
  const std::string digits(text.substr(colon + 1));
  const char* const end = digits.c_str() + digits.size();
  std::uint16_t port = 0;
  const auto read = std::from_chars(digits.c_str(), end, port);
  if (read.ec != std::errc() || read.ptr != end) {
    return MakeAddressError();
  }
  return SocketAddress{.ip = ip, .port = port};
}

}  // namespace cicadaloft
