#ifndef CICADALOFT_OWN_INTERFACE_NATIVE_PROTOCOL_H_
#define CICADALOFT_OWN_INTERFACE_NATIVE_PROTOCOL_H_

#include "cicadaloft/core/result.h"
#include "cicadaloft/forwarding/protocols.h"

namespace cicadaloft {

/// Protocol of the native HTTP interface; a CallerProtocol. It has POST
/// /v1/chat/completions with a model or MODEL/ADAPTER, and /services/ROUTE/...
/// for plain services. A caller takes a stream up again with Last-Event-ID and,
/// in X-Resumed-Request-Id, the X-Request-Id of the response that brought the
/// first event.
struct NativeProtocol {
  static constexpr bool kHasFractionalRetryAfter = false;
  static constexpr bool kHasRunState = false;

  /// @return the request, or kMalformedRequest, kUnknownRoute or
  /// kMethodNotAllowed.
  static Result<CallerRequest> ParseRequest(const RequestId& id,
                                            const RawRequest& raw);
};

}  // namespace cicadaloft

#endif  // CICADALOFT_OWN_INTERFACE_NATIVE_PROTOCOL_H_
