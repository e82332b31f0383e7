#ifndef CICADALOFT_TELEMETRY_DECISION_LOG_H_
#define CICADALOFT_TELEMETRY_DECISION_LOG_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "cicadaloft/core/decision_line.h"
#include "cicadaloft/telemetry/log.h"

namespace cicadaloft {

/// @return the line as members of a JSON object: event, request and fields.
std::string FormatDecision(const DecisionLine& line);

/// Writes decisions to the log and keeps the latest for explanations.
class DecisionLog {
 public:
  /// @param kept how many of the latest lines are kept.
  explicit DecisionLog(std::size_t kept = kDefaultKept);

  void Write(const DecisionLine& line);
  /// @return the kept lines of a request, the oldest first.
  std::vector<DecisionLine> LinesOf(const RequestId& request) const;

  static constexpr std::size_t kDefaultKept = 10000;

 private:
  Log log;
  std::size_t kept;
  std::deque<DecisionLine> lines;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_TELEMETRY_DECISION_LOG_H_
