#include "target_request.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <system_error>

namespace cicadaloft {
namespace {

// These say that they have no body by a length of 0.
bool StatesLength(const CallerRequest& request) {
  constexpr std::array<std::string_view, 3> kWithBody = {"POST", "PUT",
                                                         "PATCH"};
  return !request.body.empty() ||
         std::ranges::find(kWithBody, request.method) != kWithBody.end();
}

constexpr int kNotFoundStatus = 404;
constexpr int kTooManyRequestsStatus = 429;

}  // namespace

std::string FormatTargetHeader(const CallerRequest& request,
                               std::string_view address) {
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
  text.append("Host: ").append(address).append("\r\n");
  for (const HeaderField& field : request.fields) {
    text += field.name + ": " + field.value + "\r\n";
  }
  text += "X-Request-Id: " + request.arrival.request.value() + "\r\n";
  if (StatesLength(request)) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n";
}

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = address.substr(0, colon);
  const std::string_view port_text = address.substr(colon + 1);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto* const end = std::to_address(port_text.end());
  const auto [stop, failure] =
      std::from_chars(std::to_address(port_text.begin()), end, port);
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  if (error || failure != std::errc() || stop != end) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

std::optional<AttemptOutcome> RefusalIn(int status, std::string_view body) {
  const auto root = nlohmann::json::parse(body, nullptr, false);
  if (!root.is_object()) {
    return std::nullopt;
  }
  const auto error = root.find("error");
  if (error == root.end()) {
    return std::nullopt;
  }
  if (status == kNotFoundStatus && *error == "model_not_loaded") {
    return AttemptOutcome::kNotLoaded;
  }
  if (status == kTooManyRequestsStatus && *error == "overloaded") {
    return AttemptOutcome::kRefused;
  }
  return std::nullopt;
}

}  // namespace cicadaloft
