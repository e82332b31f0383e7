#include "cicadaloft/peering/link_codec.h"

#include "cicadaloft/codec/cbor.h"
#include "link_json.h"

namespace cicadaloft {

namespace {

constexpr JsonLimits kLinkLimits{.max_bytes = std::size_t{2} << 20,
                                 .max_depth = 32,
                                 .max_values = 4'000'000};

}  // namespace

std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message) {
  return EncodeCbor(message);
}

Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> bytes) {
  return DecodeCbor<PeerMessage>(bytes, kLinkLimits,
                                 ErrorKind::kMalformedRequest);
}

}  // namespace cicadaloft
