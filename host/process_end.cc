#include "process_end.h"

#include <utility>

namespace cicadaloft {

ProcessEnd MakeStopped(std::string details) {
  return ProcessEnd{.code = ExitCode::kStopped,
                    .reason = "stopped",
                    .details = std::move(details)};
}

ProcessEnd MakeStartFailed(const Error& error) {
  return ProcessEnd{.code = ExitCode::kStartFailed,
                    .reason = "start_failed",
                    .details = std::string(GetErrorInfo(error.kind).token) +
                               ": " + error.message};
}

ProcessEnd MakeFault(std::string details) {
  return ProcessEnd{.code = ExitCode::kFault,
                    .reason = "exception",
                    .details = std::move(details)};
}

std::string Format(const ProcessEnd& end) {
  return "process ends code=" + std::to_string(static_cast<int>(end.code)) +
         " reason=" + end.reason + " details=" + end.details;
}

}  // namespace cicadaloft
