#ifndef CICADALOFT_FORWARDING_CALL_READER_H_
#define CICADALOFT_FORWARDING_CALL_READER_H_

#include <compare>
#include <string>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/forwarding/messages.h"

namespace cicadaloft {

/// A request as it came, before anything is made of it.
struct RawRequest {
  const std::string method;
  const std::string path;  ///< With the query.
  const std::vector<HeaderField> fields;
  const std::string body;

  friend auto operator<=>(const RawRequest&, const RawRequest&) = default;
  friend bool operator==(const RawRequest&, const RawRequest&) = default;
};

/// Finds out what a caller asks for.
/// @return the request, or kMalformedRequest, kUnknownRoute or
/// kMethodNotAllowed.
Result<CallerRequest> ReadCall(const RequestId& id, RawRequest raw);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_CALL_READER_H_
