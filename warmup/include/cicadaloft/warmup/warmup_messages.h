#ifndef CICADALOFT_WARMUP_WARMUP_MESSAGES_H_
#define CICADALOFT_WARMUP_WARMUP_MESSAGES_H_

#include <chrono>
#include <compare>
#include <cstdint>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A host requests permits from the lease holder to send requests to a cold
/// target. Any number of WarmupGrant messages may follow, for at most `count`
/// requests together.
struct WarmupRequest {
  const HostId host;
  const TargetId target;
  const std::uint64_t request_number = 0;  ///< Assigned by the host.
  const std::uint32_t count = 0;           ///< Requests to be sent.

  friend auto operator<=>(const WarmupRequest&, const WarmupRequest&) = default;
  friend bool operator==(const WarmupRequest&, const WarmupRequest&) = default;
};

/// Permits the host to send `count` more requests to the target, until
/// kWarmupRequestTtl after it sent the WarmupRequest.
struct WarmupGrant {
  const TargetId target;
  const std::uint64_t request_number = 0;  ///< Of the WarmupRequest.
  const std::uint32_t count = 0;

  friend auto operator<=>(const WarmupGrant&, const WarmupGrant&) = default;
  friend bool operator==(const WarmupGrant&, const WarmupGrant&) = default;
};

/// Time from the sending of a request until it and all its grants expire.
/// The permits used in one second may have been granted in that second or up to
/// this time before it. The excess is 4/10 of a target's rate, which is less
/// than the half that platforms tolerate.
inline constexpr Duration kWarmupRequestTtl = std::chrono::milliseconds(400);

}  // namespace cicadaloft

#endif  // CICADALOFT_WARMUP_WARMUP_MESSAGES_H_
