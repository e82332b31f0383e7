#ifndef CICADALOFT_SETTINGS_SOCKET_ADDRESS_H_
#define CICADALOFT_SETTINGS_SOCKET_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "cicadaloft/core/result.h"

namespace cicadaloft {

/// The address at which a process listens or is reached.
struct SocketAddress {
  const std::string ip;  ///< IPv4, dotted.
  const std::uint16_t port = 0;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;
  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

/// @param text "IP:port", such as "127.0.0.1:7101".
/// @return the address, or kSettingsInvalid.
Result<SocketAddress> ParseSocketAddress(std::string_view text);

}  // namespace cicadaloft

#endif  // CICADALOFT_SETTINGS_SOCKET_ADDRESS_H_
