#ifndef CICADALOFT_FORWARDING_ADMIN_MESSAGES_H_
#define CICADALOFT_FORWARDING_ADMIN_MESSAGES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/decision_line.h"
#include "cicadaloft/core/id.h"

namespace cicadaloft {

struct StatusAsk {
  friend auto operator<=>(const StatusAsk&, const StatusAsk&) = default;
  friend bool operator==(const StatusAsk&, const StatusAsk&) = default;
};

struct MetricsAsk {
  friend auto operator<=>(const MetricsAsk&, const MetricsAsk&) = default;
  friend bool operator==(const MetricsAsk&, const MetricsAsk&) = default;
};

/// Asks for the kept decisions on one request.
struct ExplainAsk {
  const RequestId request;

  friend auto operator<=>(const ExplainAsk&, const ExplainAsk&) = default;
  friend bool operator==(const ExplainAsk&, const ExplainAsk&) = default;
};

using AdminAsk = std::variant<StatusAsk, MetricsAsk, ExplainAsk>;

struct StatusReply {
  const bool is_ready = false;
  const bool is_stopping = false;
  const std::size_t open_requests = 0;
  const std::size_t running_attempts = 0;

  friend auto operator<=>(const StatusReply&, const StatusReply&) = default;
  friend bool operator==(const StatusReply&, const StatusReply&) = default;
};

struct MetricsReply {
  const std::string text;  ///< In the text format of Prometheus.

  friend auto operator<=>(const MetricsReply&, const MetricsReply&) = default;
  friend bool operator==(const MetricsReply&, const MetricsReply&) = default;
};

/// A decision line and the wall time at which it fell.
struct TimedDecision {
  const std::int64_t unix_ms = 0;
  const DecisionRecord record;

  friend auto operator<=>(const TimedDecision&, const TimedDecision&) = default;
  friend bool operator==(const TimedDecision&, const TimedDecision&) = default;
};

struct ExplainReply {
  const std::vector<TimedDecision> decisions;  ///< Oldest first.

  friend auto operator<=>(const ExplainReply&, const ExplainReply&) = default;
  friend bool operator==(const ExplainReply&, const ExplainReply&) = default;
};

using AdminReply = std::variant<StatusReply, MetricsReply, ExplainReply>;

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ADMIN_MESSAGES_H_
