#ifndef CICADALOFT_PEERING_LINK_CODEC_H_
#define CICADALOFT_PEERING_LINK_CODEC_H_

#include <cstdint>
#include <span>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/peering/messages.h"

namespace cicadaloft {

/// @return the envelope as one CBOR item.
std::vector<std::uint8_t> EncodeEnvelope(const Envelope& envelope);

/// @return the envelope, or kMalformedRequest for bytes that are none.
Result<Envelope> DecodeEnvelope(std::span<const std::uint8_t> bytes);

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_CODEC_H_
