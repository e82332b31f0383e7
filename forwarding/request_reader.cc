#include "cicadaloft/forwarding/request_reader.h"

#include <boost/beast/http/field.hpp>
#include <cstddef>
#include <numeric>

namespace cicadaloft {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kHttp10 = 10;
constexpr unsigned kHttp11 = 11;

}  // namespace

Error ErrorFromHttp(const error_code& error) {
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return MakeError(ErrorKind::kHeaderTooLarge,
                     "header: larger than the limit");
  }
  if (error == http::error::body_limit) {
    return MakeError(ErrorKind::kBodyTooLarge, "body: larger than the limit");
  }
  if (error == boost::system::errc::not_enough_memory) {
    return MakeError(ErrorKind::kMemoryLimit,
                     "request: the host has no memory left for it");
  }
  return MakeError(ErrorKind::kMalformedRequest, "HTTP: " + error.message());
}

std::vector<HeaderField> HeaderFieldsOf(const HttpRequest& head) {
  std::vector<HeaderField> fields;
  for (const auto& field : head) {
    fields.push_back(HeaderField{.name = std::string(field.name_string()),
                                 .value = std::string(field.value())});
  }
  return fields;
}

std::size_t HeadBytesOf(const HttpRequest& head) {
  return std::accumulate(head.begin(), head.end(), head.target().size(),
                         [](std::size_t sum, const auto& field) {
                           return sum + field.name_string().size() +
                                  field.value().size();
                         });
}

std::optional<Error> CheckRequestHead(const HttpRequest& head) {
  const HttpRequest& request = head;
  const auto fail = [](std::string message) {
    return MakeError(ErrorKind::kMalformedRequest, std::move(message));
  };
  if (request.version() != kHttp10 && request.version() != kHttp11) {
    return fail("HTTP version: expected 1.0 or 1.1");
  }
  if (request.version() == kHttp11 && request.count(http::field::host) != 1) {
    return fail("Host: expected exactly one field");
  }
  const auto coding = request.find(http::field::transfer_encoding);
  if (coding != request.end() &&
      !EqualsIgnoreCase(coding->value(), "chunked")) {
    return fail("Transfer-Encoding: expected chunked");
  }
  return std::nullopt;
}

}  // namespace cicadaloft
