#ifndef CICADALOFT_WARMUP_WARMUP_MESSAGES_H_
#define CICADALOFT_WARMUP_WARMUP_MESSAGES_H_

#include <chrono>
#include <compare>
#include <cstdint>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A host asks the holder to be let send requests to a cold target. Any number
/// of WarmupGrant may follow, of `count` requests at most together.
struct WarmupRequest {
  const HostId host;
  const TargetId target;
  const std::uint64_t request_number = 0;  ///< The host's number of this ask.
  const std::uint32_t count = 0;           ///< Requests.

  friend auto operator<=>(const WarmupRequest&, const WarmupRequest&) = default;
  friend bool operator==(const WarmupRequest&, const WarmupRequest&) = default;
};

/// The host may send so many more requests to the target, until
/// kWarmupRequestTtl after it asked.
struct WarmupGrant {
  const TargetId target;
  const std::uint64_t request_number = 0;  ///< As the host numbered it.
  const std::uint32_t count = 0;

  friend auto operator<=>(const WarmupGrant&, const WarmupGrant&) = default;
  friend bool operator==(const WarmupGrant&, const WarmupGrant&) = default;
};

/// From the sending of an ask until it and all that was granted for it end.
/// What is granted within the term before a second may be used in that second
/// besides what is granted in it: 4/10 of a target's rate, which is less than
/// the half that platforms tolerate.
inline constexpr Duration kWarmupRequestTtl = std::chrono::milliseconds(400);

}  // namespace cicadaloft

#endif  // CICADALOFT_WARMUP_WARMUP_MESSAGES_H_
