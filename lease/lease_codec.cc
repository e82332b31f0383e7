#include "cicadaloft/lease/lease_codec.h"

#include <cstdint>
#include <tuple>
#include <vector>

#include "cicadaloft/admission/share_json.h"
#include "cicadaloft/codec/cbor.h"
#include "cicadaloft/codec/json_containers.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonFields<LeaseRecord> =
    std::tuple(Required("holder", &LeaseRecord::holder),
               Required("address", &LeaseRecord::address),
               Required("secret", &LeaseRecord::secret),
               Required("token", &LeaseRecord::token),
               Required("is_released", &LeaseRecord::is_released),
               Required("orders_in", &LeaseRecord::order_delay),
               Required("hosts", &LeaseRecord::host_count),
               Required("most_cores", &LeaseRecord::max_cores),
               Required("spent", &LeaseRecord::limit_usage));

namespace {

// Large enough for all customers that a ledger lists.
constexpr JsonLimits kLimits{.max_bytes = 16384,
                             .max_depth = 8,
                             .max_values = 512};

}  // namespace

std::string EncodeLeaseRecord(const LeaseRecord& record) {
  const std::vector<std::uint8_t> bytes = EncodeCbor(record);
  return {bytes.begin(), bytes.end()};
}

Result<LeaseRecord> DecodeLeaseRecord(const std::string& bytes) {
  const std::vector<std::uint8_t> data(bytes.begin(), bytes.end());
  return DecodeCbor<LeaseRecord>(data, kLimits, ErrorKind::kRecordMalformed);
}

}  // namespace cicadaloft
