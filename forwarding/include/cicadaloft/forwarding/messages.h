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

namespace cicadaloft {

struct HeaderField {
  std::string name;
  std::string value;

  friend auto operator<=>(const HeaderField&, const HeaderField&) = default;
  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

/// A caller's whole request as a target may see it, and as it is decided upon.
struct CallerRequest {
  const RequestArrived arrival;
  const std::string method;
  const std::string path;  ///< Path and query that the target is asked.
  const std::vector<HeaderField> fields;  ///< Cleared for targets.
  const std::string body;

  friend auto operator<=>(const CallerRequest&, const CallerRequest&) = default;
  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// What the request's form asks of the answer's form.
struct ResponseFormat {
  const bool keep_alive = false;
  const bool is_http_1_0 = false;  ///< Knows no chunked answer.
  const bool is_head = false;      ///< The answer has no body.
  /// Times in Retry-After may have fractions.
  const bool has_fractional_retry_after = false;

  friend auto operator<=>(const ResponseFormat&,
                          const ResponseFormat&) = default;
  friend bool operator==(const ResponseFormat&,
                         const ResponseFormat&) = default;
};

/// From the connection's reader: a whole, valid request.
struct RequestRead {
  const std::shared_ptr<const CallerRequest> request;
  const ResponseFormat framing;

  friend auto operator<=>(const RequestRead&, const RequestRead&) = default;
  friend bool operator==(const RequestRead&, const RequestRead&) = default;
};

/// From the connection's reader: input that is no valid request.
struct RequestRejected {
  const RequestId request;
  const Error error;
  const ResponseFormat framing;

  friend auto operator<=>(const RequestRejected&,
                          const RequestRejected&) = default;
  friend bool operator==(const RequestRejected&,
                         const RequestRejected&) = default;
};

/// From the connection's reader: a request's first byte has come.
struct RequestBegun {
  friend auto operator<=>(const RequestBegun&, const RequestBegun&) = default;
  friend bool operator==(const RequestBegun&, const RequestBegun&) = default;
};

/// To the connection's reader: one more request has been answered.
struct RequestServed {
  friend auto operator<=>(const RequestServed&, const RequestServed&) = default;
  friend bool operator==(const RequestServed&, const RequestServed&) = default;
};

/// From the connection's reader: the caller waits for "100 Continue".
struct ContinueExpected {
  friend auto operator<=>(const ContinueExpected&,
                          const ContinueExpected&) = default;
  friend bool operator==(const ContinueExpected&,
                         const ContinueExpected&) = default;
};

/// From the host, which stops: an idle connection ends, another one after its
/// answer.
struct HostStopping {
  friend auto operator<=>(const HostStopping&, const HostStopping&) = default;
  friend bool operator==(const HostStopping&, const HostStopping&) = default;
};

/// From the connection's reader: the caller sends no more.
struct InputEnded {
  friend auto operator<=>(const InputEnded&, const InputEnded&) = default;
  friend bool operator==(const InputEnded&, const InputEnded&) = default;
};

/// How the end of an answer's body is known.
enum class BodyFraming {
  kLength,      ///< By its stated length.
  kChunked,     ///< By the last chunk.
  kUntilClose,  ///< By the connection's end.
  kNone,        ///< There is no body.
};

/// From an exchange: the head of the target's answer.
struct ResponseHead {
  const RequestId request;
  const AttemptNumber attempt;
  const int status = 0;
  const std::string reason_phrase;
  const std::vector<HeaderField> fields;  ///< Cleared for callers.
  const BodyFraming framing = BodyFraming::kNone;
  const std::optional<std::uint64_t>
      content_length;  ///< Stated content length.
  const Duration queue_time{};
  const Duration target_time{};  ///< From dispatch to the head.
  const bool closes_connection =
      false;  ///< The host stops; the connection ends.

  friend auto operator<=>(const ResponseHead&, const ResponseHead&) = default;
  friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

/// From an exchange: the next bytes of the answer's body.
struct ResponseData {
  const RequestId request;
  const AttemptNumber attempt;
  const std::string bytes;

  friend auto operator<=>(const ResponseData&, const ResponseData&) = default;
  friend bool operator==(const ResponseData&, const ResponseData&) = default;
};

/// From an exchange: the whole answer has been passed on.
struct ResponseEnd {
  const RequestId request;
  const AttemptNumber attempt;

  friend auto operator<=>(const ResponseEnd&, const ResponseEnd&) = default;
  friend bool operator==(const ResponseEnd&, const ResponseEnd&) = default;
};

/// From an exchange: the rest of the answer will never come.
struct ResponseAborted {
  const RequestId request;
  const AttemptNumber attempt;

  friend auto operator<=>(const ResponseAborted&,
                          const ResponseAborted&) = default;
  friend bool operator==(const ResponseAborted&,
                         const ResponseAborted&) = default;
};

/// All that a caller's session hears of.
using SessionMessage = std::variant<RequestRead,
                                    RequestRejected,
                                    RequestBegun,
                                    ContinueExpected,
                                    InputEnded,
                                    HostStopping,
                                    Refuse,
                                    ResponseHead,
                                    ResponseData,
                                    ResponseEnd,
                                    ResponseAborted>;

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_MESSAGES_H_
