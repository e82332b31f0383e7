#ifndef CICADALOFT_OPERATOR_CLI_HTTP_URL_H_
#define CICADALOFT_OPERATOR_CLI_HTTP_URL_H_

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "cicadaloft/core/result.h"

namespace cicadaloft {

/// Where a server listens.
struct HttpUrl {
  const std::string host;
  const std::string port;

  /// @return "http://host:port".
  std::string Text() const;

  friend auto operator<=>(const HttpUrl&, const HttpUrl&) = default;
  friend bool operator==(const HttpUrl&, const HttpUrl&) = default;
};

/// @return the server of "http://host:port", also without "http://", or
/// kMalformedRequest.
Result<HttpUrl> ParseHttpUrl(std::string_view text);

/// @return the first error, or all servers.
Result<std::vector<HttpUrl>> ParseHttpUrls(
    const std::vector<std::string>& texts);

/// @return `text` as one segment of a path.
std::string PathSegment(std::string_view text);

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_HTTP_URL_H_
