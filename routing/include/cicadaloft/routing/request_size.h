#ifndef CICADALOFT_ROUTING_REQUEST_SIZE_H_
#define CICADALOFT_ROUTING_REQUEST_SIZE_H_

#include <compare>
#include <optional>

#include "cicadaloft/core/model_path.h"

namespace cicadaloft {

/// What a request is expected to take of a target. Each number is bounded by
/// what the service has seen, whatever the caller states.
struct RequestSize {
  double prompt_tokens = 0;
  double output_tokens = 0;
  double events = 1;  ///< Of the response; 1 if it is no stream.

  double tokens() const { return this->prompt_tokens + this->output_tokens; }

  friend auto operator<=>(const RequestSize&, const RequestSize&) = default;
  friend bool operator==(const RequestSize&, const RequestSize&) = default;
};

/// What a caller states of the size of its request.
struct StatedSize {
  std::optional<ModelId> model;
  std::optional<double> prompt_tokens;
  std::optional<double> max_output_tokens;
  std::optional<double> expected_output_tokens;

  friend auto operator<=>(const StatedSize&, const StatedSize&) = default;
  friend bool operator==(const StatedSize&, const StatedSize&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_REQUEST_SIZE_H_
