#include "cicadaloft/peering/link_codec.h"

#include "link_json.h"

namespace cicadaloft {

namespace {

constexpr JsonLimits kLinkLimits{.max_bytes = std::size_t{64} << 20,
                                 .max_depth = 32,
                                 .max_values = 4'000'000};

}  // namespace

std::vector<std::uint8_t> EncodePeerMessage(const PeerMessage& message) {
  return Json::to_cbor(ToJson(message));
}

Result<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> bytes) {
  const Result<Json> json = ParseCbor(bytes, kLinkLimits);
  if (!IsOk(json)) {
    return ErrorOf(json);
  }
  JsonReader reader;
  return reader.Finish(FromJson<PeerMessage>(ValueOf(json), reader),
                       ErrorKind::kMalformedRequest);
}

}  // namespace cicadaloft
