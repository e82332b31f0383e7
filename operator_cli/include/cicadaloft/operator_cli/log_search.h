#ifndef CICADALOFT_OPERATOR_CLI_LOG_SEARCH_H_
#define CICADALOFT_OPERATOR_CLI_LOG_SEARCH_H_

#include <compare>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace cicadaloft {

/// One line of a host's log that concerns a request, or what it waited for.
struct LogLine {
  std::int64_t unix_ms = 0;
  std::string event;
  std::string fields;  ///< "name=value", parted by spaces.

  friend auto operator<=>(const LogLine&, const LogLine&) = default;
  friend bool operator==(const LogLine&, const LogLine&) = default;
};

/// What hosts' logs say of one request.
struct Explanation {
  std::vector<LogLine> lines;    ///< In order of time.
  std::vector<LogLine> context;  ///< Orders for its model while it waited.
  std::uint64_t unreadable = 0;  ///< Lines that are no records.

  friend bool operator==(const Explanation&, const Explanation&) = default;
};

/// Searches logs of hosts, one after the other in one stream; what stands
/// before a line's JSON object is ignored.
/// @param request the id that the caller gave its request.
Explanation Explain(std::istream& logs, const std::string& request);

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_LOG_SEARCH_H_
