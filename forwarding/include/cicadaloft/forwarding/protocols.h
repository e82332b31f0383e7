#ifndef CICADALOFT_FORWARDING_PROTOCOLS_H_
#define CICADALOFT_FORWARDING_PROTOCOLS_H_

#include <compare>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/detour/detour_messages.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/messages.h"
#include "cicadaloft/routing/target_load.h"
#include "cicadaloft/routing/target_notice.h"

namespace cicadaloft {

/// An HTTP request as received, before it is parsed by a CallerProtocol.
struct RawRequest {
  std::string method;
  std::string path;  ///< Including the query.
  std::vector<HeaderField> fields;
  std::string body;

  friend auto operator<=>(const RawRequest&, const RawRequest&) = default;
  friend bool operator==(const RawRequest&, const RawRequest&) = default;
};

/// Protocol of the callers: parses an HTTP message into a request. Invalid
/// messages result in kMalformedRequest, kUnknownRoute or kMethodNotAllowed.
template <typename P>
concept CallerProtocol = requires(const RequestId& id, RawRequest raw) {
  { P::ParseRequest(id, raw) } -> std::same_as<Result<CallerRequest>>;
  { P::kHasFractionalRetryAfter } -> std::convertible_to<bool>;
  { P::kHasRunState } -> std::convertible_to<bool>;
};

/// @return the format of the response to input from which nothing else is
/// known.
template <CallerProtocol P>
constexpr ResponseFormat MakeResponseFormat() {
  return ResponseFormat{
      .has_fractional_retry_after = P::kHasFractionalRetryAfter,
      .has_run_state = P::kHasRunState};
}

/// What the head of a response says in addition to plain HTTP. Over a helping
/// host: the target's stamp, the host's configuration, and was_not_run or
/// is_outdated if the host itself has refused the request so that another one
/// may take it; nothing about the target.
struct ResponseMetadata {
  bool matches_request = true;  ///< False: the response to an earlier request.
  /// The response names the request that it belongs to.
  bool names_request = false;
  bool is_stamped = false;   ///< The response carries the target's stamp.
  bool was_not_run = false;  ///< The target did not run the request.
  /// A helping host has refused the request by an older configuration than the
  /// one that has admitted it, or by one that it doesn't state.
  bool is_outdated = false;
  /// That a helping host states.
  std::optional<ConfigurationVersion> host_configuration;
  /// A helping host has refused this request only.
  bool takes_other_requests = false;
  bool is_misdirected = false;     ///< The target doesn't have the model.
  bool is_other_instance = false;  ///< Another process than the expected one.
  std::optional<TargetLoad> load;
  TargetNotice notice;
  /// After which the target closes the connection.
  std::optional<Duration> idle_timeout;

  friend auto operator<=>(const ResponseMetadata&,
                          const ResponseMetadata&) = default;
  friend bool operator==(const ResponseMetadata&,
                         const ResponseMetadata&) = default;
};

/// Protocol of the targets, and of other hosts that forward to them.
template <typename P>
concept TargetProtocol = requires(const CallerRequest& request,
                                  const Dispatch& dispatch,
                                  const DetourHost& self,
                                  const ProbeTarget& probe,
                                  Duration remaining_time,
                                  int status,
                                  const std::vector<HeaderField>& fields) {
  {
    P::FormatRequestHead(request, dispatch, remaining_time)
  } -> std::same_as<std::string>;
  {
    P::FormatForwardedHead(request, dispatch, self, remaining_time)
  } -> std::same_as<std::optional<std::string>>;
  { P::FormatProbe(probe) } -> std::same_as<std::string>;
  {
    P::ParseResponseMetadata(request, dispatch, status, fields)
  } -> std::same_as<ResponseMetadata>;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_PROTOCOLS_H_
