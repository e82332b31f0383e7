#include "call_reader.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "chat_call.h"
#include "cicadaloft/core/rendezvous.h"
#include "header_rules.h"

namespace cicadaloft {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxIdempotencyKey = 200;
constexpr std::chrono::milliseconds kShortestTimeout{100};
constexpr std::chrono::milliseconds kLongestTimeout{600'000};
constexpr std::chrono::milliseconds kDefaultTimeout{30'000};

// Where a request goes: its call, and the path that the target is asked.
struct Destination {
  const Call call;
  const std::string path;
};

Error Malformed(std::string message) {
  return Fail(ErrorKind::kMalformedRequest, std::move(message));
}

// A field that counts may come once only: else two readers could disagree.
Result<std::optional<std::string>> OneField(const RawRequest& raw,
                                            std::string_view name) {
  const auto has_name = [&](const HeaderField& field) {
    return IsSameName(field.name, name);
  };
  const auto first = std::ranges::find_if(raw.fields, has_name);
  if (first == raw.fields.end()) {
    return std::nullopt;
  }
  if (std::ranges::count_if(raw.fields, has_name) > 1) {
    return Malformed(std::string(name) + ": expected at most one field");
  }
  return first->value;
}

std::string CredentialIn(const std::optional<std::string>& authorization) {
  if (!authorization ||
      !IsSameName(authorization->substr(0, kBearer.size()), kBearer)) {
    return {};
  }
  const std::size_t start =
      authorization->find_first_not_of(' ', kBearer.size());
  return start == std::string::npos ? "" : authorization->substr(start);
}

Result<Duration> TimeoutIn(const std::optional<std::string>& text) {
  if (!text) {
    return Duration(kDefaultTimeout);
  }
  std::uint32_t number = 0;
  const char* const end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, number);
  const std::chrono::milliseconds timeout(number);
  if (error != std::errc() || stop != end || timeout < kShortestTimeout ||
      timeout > kLongestTimeout) {
    return Malformed("X-Request-Timeout-Ms: expected 100 to 600000");
  }
  return Duration(timeout);
}

Result<RequestClass> ClassIn(const std::optional<std::string>& text) {
  if (!text || *text == "interactive") {
    return RequestClass::kInteractive;
  }
  if (*text == "batch") {
    return RequestClass::kBatch;
  }
  return Malformed("X-Request-Class: expected interactive or batch");
}

std::optional<Error> CheckIdempotencyKey(
    const std::optional<std::string>& key) {
  const auto is_visible = [](char c) { return c > ' ' && c <= '~'; };
  if (key && (key->empty() || key->size() > kMaxIdempotencyKey ||
              !std::ranges::all_of(*key, is_visible))) {
    return Malformed("Idempotency-Key: expected 1 to 200 visible characters");
  }
  return std::nullopt;
}

Result<Destination> ServiceDestination(const RawRequest& raw) {
  const std::string rest = raw.path.substr(kServicePrefix.size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  const std::string route = rest.substr(0, end);
  if (route.empty()) {
    return Fail(ErrorKind::kUnknownRoute, "path: expected /services/ROUTE/...");
  }
  const std::string_view slash = rest.substr(end).starts_with('/') ? "" : "/";
  return Destination{
      .call = ServiceCall{.route = RouteId(route), .method = raw.method},
      .path = std::string(slash) + rest.substr(end)};
}

Result<Destination> DestinationOf(const RawRequest& raw) {
  if (raw.method == "CONNECT" || raw.method == "TRACE") {
    return Fail(ErrorKind::kMethodNotAllowed, "method: not served");
  }
  if (raw.path.starts_with(kServicePrefix)) {
    return ServiceDestination(raw);
  }
  if (raw.path != kChatPath) {
    return Fail(ErrorKind::kUnknownRoute,
                "path: expected /v1/chat/completions or /services/ROUTE/...");
  }
  if (raw.method != "POST") {
    return Fail(ErrorKind::kMethodNotAllowed, "method: expected POST");
  }
  const Result<ModelCall> call = ReadChatCall(raw.body);
  if (!IsOk(call)) {
    return ErrorOf(call);
  }
  return Destination{.call = ValueOf(call), .path = raw.path};
}

std::uint64_t FingerprintOf(const RawRequest& raw) {
  return StableHash(raw.method + '\n' + raw.path + '\n' + raw.body);
}

// The fields of the header that the decisions use.
struct CallFields {
  const std::string credential;
  const std::optional<std::string> idempotency_key;
  const Duration timeout;
  const RequestClass request_class;
};

Result<CallFields> ReadCallFields(const RawRequest& raw) {
  const auto authorization = OneField(raw, "Authorization");
  const auto key = OneField(raw, "Idempotency-Key");
  const auto timeout_text = OneField(raw, "X-Request-Timeout-Ms");
  const auto class_text = OneField(raw, "X-Request-Class");
  for (const auto* field : {&authorization, &key, &timeout_text, &class_text}) {
    if (!IsOk(*field)) {
      return ErrorOf(*field);
    }
  }
  if (auto error = CheckIdempotencyKey(ValueOf(key))) {
    return *error;
  }
  const Result<Duration> timeout = TimeoutIn(ValueOf(timeout_text));
  if (!IsOk(timeout)) {
    return ErrorOf(timeout);
  }
  const Result<RequestClass> request_class = ClassIn(ValueOf(class_text));
  if (!IsOk(request_class)) {
    return ErrorOf(request_class);
  }
  return CallFields{.credential = CredentialIn(ValueOf(authorization)),
                    .idempotency_key = ValueOf(key),
                    .timeout = ValueOf(timeout),
                    .request_class = ValueOf(request_class)};
}

}  // namespace

Result<CallerRequest> ReadCall(const RequestId& id, RawRequest raw) {
  const Result<CallFields> fields = ReadCallFields(raw);
  if (!IsOk(fields)) {
    return ErrorOf(fields);
  }
  const Result<Destination> destination = DestinationOf(raw);
  if (!IsOk(destination)) {
    return ErrorOf(destination);
  }
  const CallFields& read = ValueOf(fields);
  return CallerRequest{
      .arrival = {.request = id,
                  .credential = read.credential,
                  .call = ValueOf(destination).call,
                  .request_class = read.request_class,
                  .timeout = read.timeout,
                  .idempotency_key = read.idempotency_key,
                  .fingerprint = FingerprintOf(raw)},
      .method = raw.method,
      .path = ValueOf(destination).path,
      .fields = FieldsForTarget(raw.fields, read.credential),
      .body = raw.body,
  };
}

}  // namespace cicadaloft
