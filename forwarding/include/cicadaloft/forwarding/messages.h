#ifndef CICADALOFT_FORWARDING_MESSAGES_H_
#define CICADALOFT_FORWARDING_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/responses/header_field.h"

namespace cicadaloft {

/// A caller's complete request: the fields used by decisions, and the HTTP
/// message as a target may see it.
struct CallerRequest {
  const RequestArrived arrival;
  const std::string method;
  const std::string path;  ///< Path and query sent to the target.
  const std::vector<HeaderField> fields;  ///< Filtered for targets.
  const std::string body;
  /// The message of another host instead of a request, which then has nothing
  /// but the id that this host has assigned.
  const std::optional<ComparisonArrived> comparison;

  friend auto operator<=>(const CallerRequest&, const CallerRequest&) = default;
  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// How the form of a request determines the form of its response.
struct ResponseFormat {
  const bool keep_alive = false;
  const bool is_http_1_0 = false;  ///< Can't read a chunked response.
  const bool is_head = false;      ///< The response has no body.
  /// Retry-After may hold fractions of a second.
  const bool has_fractional_retry_after = false;
  /// A refusal states in kRunStateField whether the request has run.
  const bool has_run_state = false;

  friend auto operator<=>(const ResponseFormat&,
                          const ResponseFormat&) = default;
  friend bool operator==(const ResponseFormat&,
                         const ResponseFormat&) = default;
};

/// From the connection's reader: a complete, valid request.
struct RequestRead {
  const std::shared_ptr<const CallerRequest> request;
  const ResponseFormat response_format;

  friend auto operator<=>(const RequestRead&, const RequestRead&) = default;
  friend bool operator==(const RequestRead&, const RequestRead&) = default;
};

/// From the connection's reader: input that is not a valid request.
struct RequestRejected {
  const RequestId request;
  const Error error;
  const ResponseFormat response_format;

  friend auto operator<=>(const RequestRejected&,
                          const RequestRejected&) = default;
  friend bool operator==(const RequestRejected&,
                         const RequestRejected&) = default;
};

/// From the connection's reader: the first byte of a request has arrived.
struct RequestBegun {
  friend auto operator<=>(const RequestBegun&, const RequestBegun&) = default;
  friend bool operator==(const RequestBegun&, const RequestBegun&) = default;
};

/// To the connection's reader: the session has finished with one more request.
struct RequestServed {
  friend auto operator<=>(const RequestServed&, const RequestServed&) = default;
  friend bool operator==(const RequestServed&, const RequestServed&) = default;
};

/// To the connection's reader: the session would close the connection if no
/// input follows the first `served_count` requests. The session cancels the
/// reader's read after sending it. An InputPaused or a RequestBegun follows.
struct ConfirmIdle {
  const std::uint64_t served_count = 0;

  friend auto operator<=>(const ConfirmIdle&, const ConfirmIdle&) = default;
  friend bool operator==(const ConfirmIdle&, const ConfirmIdle&) = default;
};

/// All messages to a connection's reader.
using ReaderMessage = std::variant<RequestServed, ConfirmIdle>;

/// From the connection's reader, in reply to ConfirmIdle: nothing has arrived,
/// neither at the reader nor at the socket. Later input is read and dropped.
struct InputPaused {
  friend auto operator<=>(const InputPaused&, const InputPaused&) = default;
  friend bool operator==(const InputPaused&, const InputPaused&) = default;
};

/// From the session's own timer: the connection has been idle since
/// `served_count` requests for as long as it may be.
struct IdleExpired {
  const std::uint64_t served_count = 0;

  friend auto operator<=>(const IdleExpired&, const IdleExpired&) = default;
  friend bool operator==(const IdleExpired&, const IdleExpired&) = default;
};

/// From the connection's reader: the caller expects "100 Continue" before it
/// sends the body.
struct ContinueExpected {
  friend auto operator<=>(const ContinueExpected&,
                          const ContinueExpected&) = default;
  friend bool operator==(const ContinueExpected&,
                         const ContinueExpected&) = default;
};

/// To the listener, and from it to each session: the host is stopping. A
/// connection is closed once it has been idle for a second, a busy one after
/// its response.
struct HostStopping {
  friend auto operator<=>(const HostStopping&, const HostStopping&) = default;
  friend bool operator==(const HostStopping&, const HostStopping&) = default;
};

/// From the connection's reader: the caller sends no further input.
struct InputEnded {
  friend auto operator<=>(const InputEnded&, const InputEnded&) = default;
  friend bool operator==(const InputEnded&, const InputEnded&) = default;
};

/// How the end of a response body is marked.
enum class BodyFraming {
  kLength,      ///< By Content-Length.
  kChunked,     ///< By the last chunk.
  kUntilClose,  ///< By the end of the connection.
  kNone,        ///< There is no body.
};

/// From an exchange: the head of the target's response.
struct ResponseHead {
  const RequestId request;
  const AttemptNumber attempt;
  const int status = 0;
  const std::string reason_phrase;
  const std::vector<HeaderField> fields;  ///< Filtered for callers.
  const BodyFraming framing = BodyFraming::kNone;
  /// As stated by the target.
  const std::optional<std::uint64_t> content_length;
  const Duration queue_time{};   ///< From arrival to dispatch.
  const Duration target_time{};  ///< From dispatch to the head.
  /// The host is stopping; the connection is closed after the response.
  const bool closes_connection = false;

  friend auto operator<=>(const ResponseHead&, const ResponseHead&) = default;
  friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

/// From an exchange: the next bytes of the response body.
struct ResponseData {
  const RequestId request;
  const AttemptNumber attempt;
  const std::string bytes;

  friend auto operator<=>(const ResponseData&, const ResponseData&) = default;
  friend bool operator==(const ResponseData&, const ResponseData&) = default;
};

/// From an exchange: the complete response has been forwarded.
struct ResponseEnd {
  const RequestId request;
  const AttemptNumber attempt;

  friend auto operator<=>(const ResponseEnd&, const ResponseEnd&) = default;
  friend bool operator==(const ResponseEnd&, const ResponseEnd&) = default;
};

/// From an exchange: the response is incomplete; the remainder will not
/// arrive.
struct ResponseAborted {
  const RequestId request;
  const AttemptNumber attempt;

  friend auto operator<=>(const ResponseAborted&,
                          const ResponseAborted&) = default;
  friend bool operator==(const ResponseAborted&,
                         const ResponseAborted&) = default;
};

/// All messages to a caller's session.
using SessionMessage = std::variant<RequestRead,
                                    RequestRejected,
                                    RequestBegun,
                                    ContinueExpected,
                                    InputPaused,
                                    InputEnded,
                                    IdleExpired,
                                    HostStopping,
                                    Refuse,
                                    ResponseHead,
                                    ResponseData,
                                    ResponseEnd,
                                    ResponseAborted>;

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_MESSAGES_H_
