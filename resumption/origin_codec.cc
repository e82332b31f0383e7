#include "cicadaloft/resumption/origin_codec.h"

#include <cstddef>
#include <cstdint>
#include <tuple>

#include "cicadaloft/codec/cbor.h"
#include "cicadaloft/codec/json_containers.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonFields<StreamKey> =
    std::tuple(Required("high", &StreamKey::high),
               Required("low", &StreamKey::low));
template <>
inline constexpr bool kIsJsonRow<StreamKey> = true;

template <>
inline constexpr auto kJsonFields<StreamOrigin> =
    std::tuple(Required("service", &StreamOrigin::service),
               Required("software", &StreamOrigin::software));
template <>
inline constexpr bool kIsJsonRow<StreamOrigin> = true;

template <>
inline constexpr auto kJsonFields<OriginRecord> =
    std::tuple(Required("stream", &OriginRecord::stream),
               Required("origin", &OriginRecord::origin));
template <>
inline constexpr bool kIsJsonRow<OriginRecord> = true;

namespace {

// Large enough for OriginState::kMaxRecordsPerAppend with names of
// KnownOrigins::kMaxNameBytes that are not UTF-8, which doubles them.
constexpr JsonLimits kLimits{.max_bytes = std::size_t{1} << 20,
                             .max_depth = 4,
                             .max_values = 16'384};

}  // namespace

std::string EncodeOriginRecords(const std::vector<OriginRecord>& records) {
  const std::vector<std::uint8_t> bytes = EncodeCbor(records);
  return {bytes.begin(), bytes.end()};
}

Result<std::vector<OriginRecord>> DecodeOriginRecords(
    const std::string& bytes) {
  const std::vector<std::uint8_t> data(bytes.begin(), bytes.end());
  return DecodeCbor<std::vector<OriginRecord>>(data, kLimits,
                                               ErrorKind::kRecordMalformed);
}

}  // namespace cicadaloft
