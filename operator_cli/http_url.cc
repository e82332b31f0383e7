#include "http_url.h"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <cctype>
#include <charconv>
#include <cstdint>

namespace cicadaloft {
namespace {

bool IsPort(const std::string& text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  return error == std::errc() && stop == end && port != 0;
}

}  // namespace

std::string HttpUrl::Text() const {
  const bool is_v6 = this->host.find(':') != std::string::npos;
  return "http://" + (is_v6 ? "[" + this->host + "]" : this->host) + ":" +
         this->port;
}

Result<HttpUrl> ParseHttpUrl(std::string_view text) {
  constexpr std::string_view kScheme = "http://";
  std::string_view rest = text;
  if (rest.starts_with(kScheme)) {
    rest.remove_prefix(kScheme.size());
  }
  if (rest.ends_with('/')) {
    rest.remove_suffix(1);
  }
  const std::size_t colon = rest.rfind(':');
  const bool has_port = colon != std::string_view::npos &&
                        IsPort(std::string(rest.substr(colon + 1)));
  std::string_view host = has_port ? rest.substr(0, colon) : "";
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  if (host.empty() || host.find('/') != std::string_view::npos) {
    return Fail(ErrorKind::kMalformedRequest,
                "expected http://HOST:PORT, found '" + std::string(text) + "'");
  }
  return HttpUrl{.host = std::string(host),
                 .port = std::string(rest.substr(colon + 1))};
}

Result<std::vector<HttpUrl>> ParseHttpUrls(
    const std::vector<std::string>& texts) {
  std::vector<HttpUrl> urls;
  for (const std::string& text : texts) {
    const Result<HttpUrl> url = ParseHttpUrl(text);
    if (!IsOk(url)) {
      return ErrorOf(url);
    }
    urls.push_back(ValueOf(url));
  }
  return urls;
}

std::string PathSegment(std::string_view text) {
  constexpr std::string_view kUnreserved = "-._~";
  std::string segment;
  std::ranges::for_each(text, [&](char c) {
    if (std::isalnum(static_cast<unsigned char>(c)) != 0 ||
        kUnreserved.find(c) != std::string_view::npos) {
      segment += c;
    } else {
      segment += "%" + boost::algorithm::hex(std::string(1, c));
    }
  });
  return segment;
}

}  // namespace cicadaloft
