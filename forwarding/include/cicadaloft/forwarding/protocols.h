#ifndef CICADALOFT_FORWARDING_PROTOCOLS_H_
#define CICADALOFT_FORWARDING_PROTOCOLS_H_

#include <compare>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/messages.h"
#include "cicadaloft/routing/target_load.h"

namespace cicadaloft {

/// A request as it came, before anything is made of it.
struct RawRequest {
  std::string method;
  std::string path;  ///< With the query.
  std::vector<HeaderField> fields;
  std::string body;

  friend auto operator<=>(const RawRequest&, const RawRequest&) = default;
  friend bool operator==(const RawRequest&, const RawRequest&) = default;
};

/// What callers speak: makes a request of an HTTP message. It returns
/// kMalformedRequest, kUnknownRoute or kMethodNotAllowed for one that is none.
template <typename W>
concept CallerProtocol = requires(const RequestId& id, RawRequest raw) {
  { W::ParseRequest(id, raw) } -> std::same_as<Result<CallerRequest>>;
  { W::kHasFractionalRetryAfter } -> std::convertible_to<bool>;
};

/// What the head of a target's answer says beside its HTTP form.
struct ResponseMetadata {
  bool matches_request = true;     ///< False: the answer to an earlier request.
  bool is_stamped = false;         ///< The target vouches for it.
  bool was_not_run = false;        ///< The target says that it has not run it.
  bool is_misdirected = false;     ///< It needs another target.
  bool is_other_instance = false;  ///< Another process than the expected one.
  std::optional<TargetLoad> load;
  std::optional<Duration> idle_timeout;  ///< The connection is closed after it.

  friend auto operator<=>(const ResponseMetadata&,
                          const ResponseMetadata&) = default;
  friend bool operator==(const ResponseMetadata&,
                         const ResponseMetadata&) = default;
};

/// What targets speak.
template <typename W>
concept TargetProtocol = requires(const CallerRequest& request,
                                  const Dispatch& dispatch,
                                  Duration left,
                                  int status,
                                  const std::vector<HeaderField>& fields) {
  {
    W::FormatRequestHead(request, dispatch, left)
  } -> std::same_as<std::string>;
  {
    W::ParseResponseMetadata(request, dispatch, status, fields)
  } -> std::same_as<ResponseMetadata>;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_PROTOCOLS_H_
