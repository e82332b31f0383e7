#ifndef CICADALOFT_OPERATOR_CLI_LOG_SEARCH_H_
#define CICADALOFT_OPERATOR_CLI_LOG_SEARCH_H_

#include <compare>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace cicadaloft {

/// One line of a host's log that concerns a request or the placement of its
/// model.
struct LogLine {
  std::int64_t unix_ms = 0;
  std::string event;
  std::string fields;  ///< "name=value" pairs, separated by spaces.

  friend auto operator<=>(const LogLine&, const LogLine&) = default;
  friend bool operator==(const LogLine&, const LogLine&) = default;
};

/// The log lines of one request.
struct Explanation {
  std::vector<LogLine> lines;    ///< Sorted by time.
  std::vector<LogLine> context;  ///< Placement events of its model from the
                                 ///< first to the last of `lines`, sorted by
                                 ///< time.
  std::uint64_t unreadable = 0;  ///< Number of lines that hold no record.

  friend bool operator==(const Explanation&, const Explanation&) = default;
};

/// Searches the logs of hosts for the lines of one request. Text before a
/// line's JSON object is ignored.
/// @param logs the logs of all hosts, concatenated in any order.
/// @param request the request id that the caller sent.
Explanation Explain(std::istream& logs, const std::string& request);

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_LOG_SEARCH_H_
