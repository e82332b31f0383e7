#ifndef CICADALOFT_PEERING_LINK_AUTH_H_
#define CICADALOFT_PEERING_LINK_AUTH_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/peering/link_messages.h"

namespace cicadaloft {

/// What each end says of itself first.
struct LinkHello {
  const LinkPeer self;
  const std::string nonce;  ///< kNonceBytes random bytes.

  friend auto operator<=>(const LinkHello&, const LinkHello&) = default;
  friend bool operator==(const LinkHello&, const LinkHello&) = default;
};

/// Which end proves that it knows the secret.
enum class LinkSide { kClient, kServer };

inline constexpr std::size_t kNonceBytes = 32;
/// No message is longer before both ends are authenticated.
inline constexpr std::size_t kMaxHandshakeMessageBytes = 1024;

LinkHello MakeHello(const LinkPeer& self);
std::vector<std::uint8_t> EncodeHello(const LinkHello& hello);
/// @return the hello, or none for bytes that are none.
std::optional<LinkHello> DecodeHello(const std::vector<std::uint8_t>& bytes);

/// @return the HMAC-SHA256 over the side and both hellos under the secret.
std::vector<std::uint8_t> ProveSecret(const std::string& secret,
                                      LinkSide side,
                                      const LinkHello& client,
                                      const LinkHello& server);

/// Compares without telling by its duration where the proofs differ.
bool IsSameProof(const std::vector<std::uint8_t>& left,
                 const std::vector<std::uint8_t>& right);

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_AUTH_H_
