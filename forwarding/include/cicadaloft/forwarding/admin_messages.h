#ifndef CICADALOFT_FORWARDING_ADMIN_MESSAGES_H_
#define CICADALOFT_FORWARDING_ADMIN_MESSAGES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/core/id.h"

namespace cicadaloft {

struct StatusRequest {
  friend auto operator<=>(const StatusRequest&, const StatusRequest&) = default;
  friend bool operator==(const StatusRequest&, const StatusRequest&) = default;
};

struct MetricsRequest {
  friend auto operator<=>(const MetricsRequest&,
                          const MetricsRequest&) = default;
  friend bool operator==(const MetricsRequest&,
                         const MetricsRequest&) = default;
};

/// Requests the stored decisions on one request.
struct ExplanationRequest {
  const RequestId request;

  friend auto operator<=>(const ExplanationRequest&,
                          const ExplanationRequest&) = default;
  friend bool operator==(const ExplanationRequest&,
                         const ExplanationRequest&) = default;
};

using AdminRequest =
    std::variant<StatusRequest, MetricsRequest, ExplanationRequest>;

struct StatusReply {
  const bool is_ready = false;
  const bool is_stopping = false;
  const std::size_t open_requests = 0;
  const std::size_t running_attempts = 0;

  friend auto operator<=>(const StatusReply&, const StatusReply&) = default;
  friend bool operator==(const StatusReply&, const StatusReply&) = default;
};

struct MetricsReply {
  const std::string text;  ///< In the Prometheus text format.

  friend auto operator<=>(const MetricsReply&, const MetricsReply&) = default;
  friend bool operator==(const MetricsReply&, const MetricsReply&) = default;
};

/// A decision record and the wall time of the decision.
struct TimedDecision {
  const std::int64_t unix_ms = 0;
  const DecisionRecord record;

  friend auto operator<=>(const TimedDecision&, const TimedDecision&) = default;
  friend bool operator==(const TimedDecision&, const TimedDecision&) = default;
};

struct ExplanationReply {
  const std::vector<TimedDecision> decisions;  ///< Oldest first.

  friend auto operator<=>(const ExplanationReply&,
                          const ExplanationReply&) = default;
  friend bool operator==(const ExplanationReply&,
                         const ExplanationReply&) = default;
};

using AdminReply = std::variant<StatusReply, MetricsReply, ExplanationReply>;

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ADMIN_MESSAGES_H_
