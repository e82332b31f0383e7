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

/// First handshake message of each end: its identity and a nonce.
struct LinkHello {
  const LinkPeer self;
  const std::string nonce;  ///< kNonceBytes random bytes.

  friend auto operator<=>(const LinkHello&, const LinkHello&) = default;
  friend bool operator==(const LinkHello&, const LinkHello&) = default;
};

/// Which end of the link a process is.
enum class LinkRole { kClient, kServer };

inline constexpr std::size_t kNonceBytes = 32;
/// Longer messages are rejected until both ends are authenticated.
inline constexpr std::size_t kMaxHandshakeMessageBytes = 1024;

LinkHello MakeHello(const LinkPeer& self);
std::vector<std::uint8_t> EncodeHello(const LinkHello& hello);
/// @return the hello, or none if the bytes don't hold one.
std::optional<LinkHello> DecodeHello(const std::vector<std::uint8_t>& bytes);

/// @return the HMAC-SHA256, keyed with the secret, of the role and both hellos.
std::vector<std::uint8_t> ComputeProof(const std::string& secret,
                                       LinkRole role,
                                       const LinkHello& client,
                                       const LinkHello& server);

/// Compares in constant time, so that timing doesn't reveal where the proofs
/// differ.
bool ProofsEqual(const std::vector<std::uint8_t>& left,
                 const std::vector<std::uint8_t>& right);

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_AUTH_H_
