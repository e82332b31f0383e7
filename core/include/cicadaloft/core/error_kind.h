#ifndef CICADALOFT_CORE_ERROR_KIND_H_
#define CICADALOFT_CORE_ERROR_KIND_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace cicadaloft {

/// The closed list of everything that can go wrong.
enum class ErrorKind {
  kMalformedRequest,
  kUnauthenticated,
  kUnknownRoute,
  kMethodNotAllowed,
  kBodyTooLarge,
  kHeaderTooLarge,
  kSlowCaller,
  kTooManyConnections,
  kRateLimited,
  kQueueFull,
  kNoCapacity,
  kStopping,
  kNotConfigured,
  kPoisonRequest,
  kTargetUnreachable,
  kTargetFailed,
  kTargetTimeout,
  kStoreUnavailable,
  kStoreUnanswered,
  kRecordMalformed,
  kLinkRefused,
  kSettingsInvalid,
  kInternal,
};

/// What is known of the request's run when it ends with an error.
enum class RunState {
  kNotRun,   ///< No byte of the request reached a target.
  kUnknown,  ///< A target may have run it.
  kRan,      ///< A target has run it.
};

/// How one kind of error is answered.
struct ErrorInfo {
  const ErrorKind kind;
  const std::string_view token;  ///< Stable name in logs and answers.
  const int http_status;
  const RunState run_state;
  const bool is_retryable;        ///< The same request may be sent again.
  const std::string_view advice;  ///< One sentence for the caller.

  friend auto operator<=>(const ErrorInfo&, const ErrorInfo&) = default;
};

/// One error: its kind, and what was expected where.
struct Error {
  const ErrorKind kind;
  const std::string message;

  friend auto operator<=>(const Error&, const Error&) = default;
};

/// @return the table's row for `kind`.
const ErrorInfo& GetErrorInfo(ErrorKind kind);

/// @return the kind with this token, or none for an unknown token.
std::optional<ErrorKind> ErrorKindFromToken(std::string_view token);

/// @return "not run", "unknown" or "ran".
std::string_view ToString(RunState state);

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_ERROR_KIND_H_
