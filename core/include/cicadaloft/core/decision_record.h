#ifndef CICADALOFT_CORE_DECISION_RECORD_H_
#define CICADALOFT_CORE_DECISION_RECORD_H_

#include <chrono>
#include <compare>
#include <concepts>
#include <string>
#include <string_view>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// One input or outcome of a decision.
struct LogField {
  std::string name;
  std::string value;

  LogField(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  LogField(std::string_view name, const char* value)
      : name(name), value(value) {}
  LogField(std::string_view name, std::integral auto value)
      : name(name), value(std::to_string(value)) {}
  /// Times are logged in whole milliseconds.
  LogField(std::string_view name, Duration value)
      : name(name),
        value(std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(value)
                .count())) {}

  friend auto operator<=>(const LogField&, const LogField&) = default;
  friend bool operator==(const LogField&, const LogField&) = default;
};

/// Log record of one decision, also read by `explain`.
struct DecisionRecord {
  std::string event;  ///< Stable name, such as "route.dispatch".
  RequestId request;  ///< The caller's request id; empty: not due to a request.
  std::vector<LogField> fields;

  friend auto operator<=>(const DecisionRecord&,
                          const DecisionRecord&) = default;
  friend bool operator==(const DecisionRecord&,
                         const DecisionRecord&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_DECISION_RECORD_H_
