#include "cicadaloft/alignment/alignment_codec.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <tuple>
#include <vector>

#include "cicadaloft/codec/cbor.h"
#include "cicadaloft/codec/json_containers.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonFields<HeldConfiguration> = std::tuple(
    Required("host", &HeldConfiguration::host),
    Required("version", &HeldConfiguration::version),
    Defaulted("record", &HeldConfiguration::record),
    Defaulted("reaches_targets", &HeldConfiguration::reaches_targets));

namespace {

/// Larger than any record that the store takes.
constexpr JsonLimits kMessageLimits{.max_bytes = std::size_t{2} << 20,
                                    .max_depth = 4,
                                    .max_values = 16};

}  // namespace

std::string EncodeHeldConfiguration(const HeldConfiguration& held) {
  const std::vector<std::uint8_t> bytes = EncodeCbor(held);
  return {bytes.begin(), bytes.end()};
}

Result<HeldConfiguration> DecodeHeldConfiguration(std::string_view bytes) {
  const std::vector<std::uint8_t> copy(bytes.begin(), bytes.end());
  return DecodeCbor<HeldConfiguration>(copy, kMessageLimits,
                                       ErrorKind::kMalformedRequest);
}

}  // namespace cicadaloft
