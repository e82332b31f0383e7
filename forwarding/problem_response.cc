#include "problem_response.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/forwarding/header_rules.h"

namespace cicadaloft {
namespace {

std::string FormatBody(const Refuse& refusal, const ErrorInfo& info) {
  const nlohmann::ordered_json body = {
      {"kind", info.token},
      {"message", refusal.error.message},
      {"run_state", ToString(refusal.run_state)},
      {"request_id", refusal.request.value()},
      {"advice", info.advice},
  };
  // Messages may contain bytes from the caller that are not valid UTF-8.
  return body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

// Formats whole seconds, rounded up, or seconds with milliseconds.
std::string FormatSeconds(Duration time, bool has_fractions) {
  if (!has_fractions) {
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(time).count());
  }
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.3f",
                                 std::chrono::duration<double>(time).count());
  return {text.data(), static_cast<std::size_t>(size)};
}

}  // namespace

Refuse MakeRefusal(const RequestId& request, const Error& error) {
  return Refuse{.request = request,
                .error = error,
                .run_state = GetErrorInfo(error.kind).run_state,
                .retry_after = std::nullopt};
}

std::string FormatProblem(const Refuse& refusal,
                          const ResponseFormat& format,
                          bool keep_alive) {
  const ErrorInfo& info = GetErrorInfo(refusal.error.kind);
  const std::string body = FormatBody(refusal, info);
  const auto status = boost::beast::http::int_to_status(
      static_cast<unsigned>(info.http_status));
  std::string text = "HTTP/1.1 " + std::to_string(info.http_status) + " ";
  text += boost::beast::http::obsolete_reason(status);
  text += "\r\nContent-Type: application/problem+json\r\nContent-Length: ";
  text += std::to_string(body.size());
  text += "\r\nX-Request-Id: " + refusal.request.value() + "\r\n";
  if (info.http_status == 401) {
    text += "WWW-Authenticate: Bearer\r\n";
  }
  if (refusal.retry_after) {
    text +=
        "Retry-After: " +
        FormatSeconds(*refusal.retry_after, format.has_fractional_retry_after) +
        "\r\n";
  }
  if (format.has_run_state) {
    text += std::string(kRunStateField) + ": " +
            std::string(ToString(refusal.run_state)) + "\r\n";
    if (refusal.configuration != ConfigurationVersion()) {
      text += std::string(kConfigurationField) + ": " +
              std::to_string(refusal.configuration.value()) + "\r\n";
    }
    if (refusal.takes_other_requests) {
      text += std::string(kTakesOtherRequestsField) + ": " +
              std::string(kTakesOtherRequests) + "\r\n";
    }
  }
  if (!keep_alive) {
    text += "Connection: close\r\n";
  } else if (format.is_http_1_0) {
    text += "Connection: keep-alive\r\n";
  }
  text += "\r\n";
  return format.is_head ? text : text + body;
}

}  // namespace cicadaloft
