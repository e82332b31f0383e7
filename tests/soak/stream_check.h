#ifndef CICADALOFT_TESTS_SOAK_STREAM_CHECK_H_
#define CICADALOFT_TESTS_SOAK_STREAM_CHECK_H_

#include <string>

namespace cicadaloft::soak {

/// What a caller has received of a complete 2xx response.
struct ResponseParts {
  std::string id;
  std::string stamp;
  std::string body;

  bool operator==(const ResponseParts&) const = default;
};

/// Checks a plain response of the fake runner to the request `id`.
/// @return "RULE: reason", or an empty text.
std::string CheckPlain(const std::string& id, const ResponseParts& response);

/// Checks that a stream is whole, in order and belongs to the request `id`.
/// @return "RULE: reason", or an empty text.
std::string CheckStream(const std::string& id, const ResponseParts& response);

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_STREAM_CHECK_H_
