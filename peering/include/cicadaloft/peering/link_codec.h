#ifndef CICADALOFT_PEERING_LINK_CODEC_H_
#define CICADALOFT_PEERING_LINK_CODEC_H_

#include <cstdint>
#include <span>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/peering/messages.h"

namespace cicadaloft {

/// @return the message as one CBOR item.
std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message);

/// @return the message, or kMalformedRequest if the bytes don't hold one.
Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> bytes);

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_CODEC_H_
