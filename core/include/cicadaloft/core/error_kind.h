#ifndef CICADALOFT_CORE_ERROR_KIND_H_
#define CICADALOFT_CORE_ERROR_KIND_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace cicadaloft {

/// Kinds of errors; GetErrorInfo() describes each.
enum class ErrorKind {
  kMalformedRequest,
  kUnauthenticated,
  kUnknownRoute,
  kMethodNotAllowed,
  kBodyTooLarge,
  kHeaderTooLarge,
  kSlowCaller,
  kTooManyConnections,
  kMemoryLimit,
  kRateLimited,
  kQueueFull,
  kNoCapacity,
  kStopping,
  kNotConfigured,
  kOutdatedConfiguration,  ///< Another host has admitted it by a newer one.
  kPoisonRequest,
  kStreamOriginUnknown,      ///< Which version began the stream isn't known.
  kStreamOriginUnreachable,  ///< It can't be looked up at present.
  kStreamVersionGone,        ///< No target of that version is left.
  kTargetUnreachable,
  kTargetFailed,
  kTargetTimeout,
  kStoreUnavailable,  ///< The store has not executed the call.
  kStoreUnanswered,   ///< The store may have executed the call.
  kRecordMalformed,
  kLinkRefused,
  kSettingsInvalid,
  kInternal,
};

/// Whether a request that ended with an error was run by a target.
enum class RunState {
  kNotRun,   ///< No byte of the request reached a target.
  kUnknown,  ///< A target may have run it.
  kRan,      ///< A target has run it.
};

/// How an error of this kind is reported to the caller.
struct ErrorInfo {
  const ErrorKind kind;
  const std::string_view token;  ///< Stable name in logs and responses.
  const int http_status;
  const RunState run_state;
  const bool is_retryable;        ///< The caller may repeat the request.
  const std::string_view advice;  ///< One sentence for the caller.

  friend auto operator<=>(const ErrorInfo&, const ErrorInfo&) = default;
};

/// An error: its kind, and what was expected and found.
struct Error {
  const ErrorKind kind;
  const std::string message;

  friend auto operator<=>(const Error&, const Error&) = default;
};

/// @return how errors of `kind` are reported.
const ErrorInfo& GetErrorInfo(ErrorKind kind);

/// @return the kind with this token, or none for an unknown token.
std::optional<ErrorKind> ErrorKindFromToken(std::string_view token);

/// @return "not run", "unknown" or "ran".
std::string_view ToString(RunState state);

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_ERROR_KIND_H_
