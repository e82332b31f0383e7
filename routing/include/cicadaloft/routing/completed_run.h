#ifndef CICADALOFT_ROUTING_COMPLETED_RUN_H_
#define CICADALOFT_ROUTING_COMPLETED_RUN_H_

#include <compare>
#include <cstdint>

#include "cicadaloft/core/time.h"
#include "cicadaloft/routing/request_size.h"

namespace cicadaloft {

/// A run that this host has seen from its start to its complete response.
struct CompletedRun {
  StatedSize stated;
  std::uint64_t events = 0;  ///< 0 if the response was no stream.
  Duration first_token{};  ///< From the dispatch to the response's first byte.
  Duration streamed{};     ///< From the first byte to the last.

  /// @return the mean time between events; the whole time if there was only
  /// one.
  Duration EventInterval() const {
    return this->events > 1
               ? this->streamed / static_cast<Duration::rep>(this->events - 1)
               : this->first_token + this->streamed;
  }

  friend auto operator<=>(const CompletedRun&, const CompletedRun&) = default;
  friend bool operator==(const CompletedRun&, const CompletedRun&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_COMPLETED_RUN_H_
