#ifndef CICADALOFT_ROUTING_TARGET_ESTIMATE_H_
#define CICADALOFT_ROUTING_TARGET_ESTIMATE_H_

#include <compare>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// How one target would serve one request, as one host expects it.
struct TargetEstimate {
  /// Requests running and waiting there, relative to its slots.
  double slots_used = 0;
  /// Tokens of these requests and of this one, relative to its memory; 0 if its
  /// memory isn't stated.
  double memory_used = 0;
  double cached_tokens = 0;   ///< Of the prompt.
  Duration first_token{};     ///< From the dispatch.
  Duration event_interval{};  ///< Between two events of the stream.
  Duration completion{};      ///< From the dispatch to the last event.
  /// By which the prompt's prefill delays the other requests, taken together.
  Duration delay_of_others{};

  friend auto operator<=>(const TargetEstimate&,
                          const TargetEstimate&) = default;
  friend bool operator==(const TargetEstimate&,
                         const TargetEstimate&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_ESTIMATE_H_
