#ifndef CICADALOFT_HOST_PROCESS_END_H_
#define CICADALOFT_HOST_PROCESS_END_H_

#include <compare>
#include <string>
#include <string_view>

#include "cicadaloft/core/result.h"

namespace cicadaloft {

/// Exit codes of the process; docs/OPERATIONS.md describes them.
enum class ExitCode {
  kStopped = 0,      ///< Stopped as asked.
  kStartFailed = 2,  ///< Wrong arguments or settings, or no address.
  kFault = 3,        ///< A fault of the program.
};

/// How and why the process ends.
struct ProcessEnd {
  const ExitCode code = ExitCode::kStopped;
  /// Token: "stopped", "start_failed" or "exception".
  const std::string reason;
  const std::string details;

  friend auto operator<=>(const ProcessEnd&, const ProcessEnd&) = default;
  friend bool operator==(const ProcessEnd&, const ProcessEnd&) = default;
};

/// @return the end after a stop that was asked for.
ProcessEnd MakeStopped(std::string details);
/// @return the end of a start that `error` prevented.
ProcessEnd MakeStartFailed(const Error& error);
/// @param details what the exception says.
/// @return the end by an exception that nothing has handled.
ProcessEnd MakeFault(std::string details);

/// @return one line for the log: code, reason and details.
std::string Format(const ProcessEnd& end);

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_PROCESS_END_H_
