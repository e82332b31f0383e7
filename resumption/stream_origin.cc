#include "cicadaloft/resumption/stream_origin.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <string>

#include "cicadaloft/resumption/messages.h"

namespace cicadaloft {

StreamKey MakeStreamKey(const CustomerId& customer,
                        const RequestId& caller_request_id) {
  // The length keeps the two names apart.
  const std::string text = std::to_string(customer.value().size()) + ":" +
                           customer.value() + caller_request_id.value();
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return StreamKey{.high = hash.high64, .low = hash.low64};
}

std::string_view ToString(OriginSource source) {
  switch (source) {
    case OriginSource::kThisHost:
      return "this_host";
    case OriginSource::kLog:
      return "log";
  }
  return "unknown";
}

}  // namespace cicadaloft
