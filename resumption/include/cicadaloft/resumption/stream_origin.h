#ifndef CICADALOFT_RESUMPTION_STREAM_ORIGIN_H_
#define CICADALOFT_RESUMPTION_STREAM_ORIGIN_H_

#include <compare>
#include <cstdint>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// Identifies a stream among those of all customers: a hash of 128 bits.
struct StreamKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const StreamKey&, const StreamKey&) = default;
  friend bool operator==(const StreamKey&, const StreamKey&) = default;
};

/// @param customer empty if there is none, as on public routes.
/// @param caller_request_id the id that the caller gave the request which
/// brings the first event.
/// @return the key; other customers' requests of the same id have others.
StreamKey MakeStreamKey(const CustomerId& customer,
                        const RequestId& caller_request_id);

/// Where a stream began. It may go on only there.
struct StreamOrigin {
  ServiceId service;
  SoftwareVersion software;

  friend auto operator<=>(const StreamOrigin&, const StreamOrigin&) = default;
  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// The origin of one stream, as it is recorded in the store.
struct OriginRecord {
  StreamKey stream;
  StreamOrigin origin;

  friend auto operator<=>(const OriginRecord&, const OriginRecord&) = default;
  friend bool operator==(const OriginRecord&, const OriginRecord&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RESUMPTION_STREAM_ORIGIN_H_
