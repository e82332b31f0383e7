#include "problem_answer.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "cicadaloft/core/error_kind.h"

namespace cicadaloft {
namespace {

std::string BodyOf(const Refuse& refusal, const ErrorInfo& answer) {
  const nlohmann::ordered_json body = {
      {"kind", answer.token},
      {"message", refusal.error.message},
      {"run_state", ToString(refusal.run_state)},
      {"request_id", refusal.request.value()},
      {"advice", answer.advice},
  };
  // Messages may hold a caller's bytes.
  return body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

// Whole seconds, rounded up, or with milliseconds.
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

Refuse RefusalOf(const RequestId& request, const Error& error) {
  return Refuse{.request = request,
                .error = error,
                .run_state = GetErrorInfo(error.kind).run_state,
                .retry_after = std::nullopt};
}

std::string FormatProblem(const Refuse& refusal,
                          const ResponseFormat& framing,
                          bool keep_alive) {
  const ErrorInfo& answer = GetErrorInfo(refusal.error.kind);
  const std::string body = BodyOf(refusal, answer);
  const auto status = boost::beast::http::int_to_status(
      static_cast<unsigned>(answer.http_status));
  std::string text = "HTTP/1.1 " + std::to_string(answer.http_status) + " ";
  text += boost::beast::http::obsolete_reason(status);
  text += "\r\nContent-Type: application/problem+json\r\nContent-Length: ";
  text += std::to_string(body.size());
  text += "\r\nX-Request-Id: " + refusal.request.value() + "\r\n";
  if (answer.http_status == 401) {
    text += "WWW-Authenticate: Bearer\r\n";
  }
  if (refusal.retry_after) {
    text += "Retry-After: " +
            FormatSeconds(*refusal.retry_after,
                          framing.has_fractional_retry_after) +
            "\r\n";
  }
  if (!keep_alive) {
    text += "Connection: close\r\n";
  } else if (framing.is_http_1_0) {
    text += "Connection: keep-alive\r\n";
  }
  text += "\r\n";
  return framing.is_head ? text : text + body;
}

}  // namespace cicadaloft
