#ifndef CICADALOFT_ROUTING_COMPLETED_RUN_H_
#define CICADALOFT_ROUTING_COMPLETED_RUN_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "cicadaloft/core/time.h"
#include "cicadaloft/routing/request_size.h"

namespace cicadaloft {

/// A run that this host has seen from its start to its complete response.
struct CompletedRun {
  StatedSize stated;
  std::uint64_t events = 0;  ///< 0 if the response was no stream.
  Duration first_token{};  ///< From the dispatch to the response's first byte.
  Duration streamed{};     ///< From the first byte to the last.

  /// @return the mean time between events, or the whole time if the response
  /// was no stream; none for a stream with a single event.
  std::optional<Duration> EventInterval() const {
    if (this->events == 0) {
      return this->first_token + this->streamed;
    }
    return this->events == 1
               ? std::nullopt
               : std::optional(this->streamed /
                               static_cast<Duration::rep>(this->events - 1));
  }

  friend auto operator<=>(const CompletedRun&, const CompletedRun&) = default;
  friend bool operator==(const CompletedRun&, const CompletedRun&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_COMPLETED_RUN_H_
