#ifndef CICADALOFT_RESPONSES_RESPONSE_RULES_H_
#define CICADALOFT_RESPONSES_RESPONSE_RULES_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cicadaloft/responses/header_field.h"

namespace cicadaloft {

/// What the kind of a request says about its response.
enum class RequestKind {
  kOther,
  kHead,     ///< The response has no body.
  kUpgrade,  ///< The response may switch to another protocol.
};

/// The head of an HTTP/1 response as a parser has read it. It may break the
/// rules of HTTP where the parser doesn't check them.
struct ReceivedHead {
  int status = 0;
  std::string reason_phrase;
  std::vector<HeaderField> fields;
  bool is_http_1_0 = false;
  RequestKind request = RequestKind::kOther;

  friend auto operator<=>(const ReceivedHead&, const ReceivedHead&) = default;
  friend bool operator==(const ReceivedHead&, const ReceivedHead&) = default;
};

/// Why a head is not a response.
enum class HeadDefect {
  kStatus,          ///< Not from 100 to 599 (RFC 9110, section 15).
  kProtocolSwitch,  ///< 101, which the request doesn't ask for.
  kReasonPhrase,    ///< Holds a control character (RFC 9112, section 4).
  kFieldName,       ///< Not a token (RFC 9110, section 5.1).
  kFieldValue,      ///< Holds a control character (RFC 9110, section 5.5).
  kContentLength,   ///< Not one length (RFC 9112, section 6.3).
  /// Not just "chunked", or in HTTP/1.0, or beside a length (RFC 9112, section
  /// 6.1): where the body ends, or what it is, isn't known.
  kTransferEncoding,
};

/// @return a stable token, for logs.
std::string_view ToString(HeadDefect defect);

/// Heads read for one response, informational ones included; a well-behaved
/// server sends one informational head.
inline constexpr int kMaxHeadsPerResponse = 8;

/// Decides whether a head is a response, final or informational. No field of a
/// head with a defect may be used.
/// @return the first defect; none: the head is a response.
std::optional<HeadDefect> FindDefect(const ReceivedHead& head);

/// @return whether the head is informational (status 1xx): another head follows
/// on the connection. Clients must accept those that they don't know (RFC 9110,
/// section 15.2).
bool IsInformational(const ReceivedHead& head);

}  // namespace cicadaloft

#endif  // CICADALOFT_RESPONSES_RESPONSE_RULES_H_
