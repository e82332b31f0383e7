#include "cicadaloft/own_interface/native_protocol.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "chat_request.h"
#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/forwarding/header_rules.h"

namespace cicadaloft {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::size_t kMaxIdempotencyKeyBytes = 200;
constexpr std::chrono::milliseconds kMinTimeout{100};
constexpr std::chrono::milliseconds kMaxTimeout{600'000};
constexpr std::chrono::milliseconds kDefaultTimeout{30'000};

// Destination of a request, and the path to send to the target.
struct ParsedDestination {
  Destination destination;
  std::optional<ChatRequest> chat;
  std::string path;
};

Error Malformed(std::string message) {
  return MakeError(ErrorKind::kMalformedRequest, std::move(message));
}

// A field that is evaluated may occur only once, as two HTTP implementations
// could otherwise use different values.
Result<std::optional<std::string>> SingleField(const RawRequest& raw,
                                               std::string_view name) {
  const auto has_name = [&](const HeaderField& field) {
    return EqualsIgnoreCase(field.name, name);
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

Result<Duration> ParseTimeout(const std::optional<std::string>& text) {
  if (!text) {
    return Duration(kDefaultTimeout);
  }
  std::uint32_t number = 0;
  const char* const end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, number);
  const std::chrono::milliseconds timeout(number);
  if (error != std::errc() || stop != end || timeout < kMinTimeout ||
      timeout > kMaxTimeout) {
    return Malformed(
        "X-Request-Timeout-Ms: expected an integer from 100 to 600000");
  }
  return Duration(timeout);
}

// @return whether the request is batch work.
Result<bool> ParseIsBatch(const std::optional<std::string>& text) {
  if (!text || *text == "interactive") {
    return false;
  }
  if (*text == "batch") {
    return true;
  }
  return Malformed("X-Request-Class: expected interactive or batch");
}

std::optional<Error> CheckIdempotencyKey(
    const std::optional<std::string>& key) {
  const auto is_visible = [](char c) { return c > ' ' && c <= '~'; };
  if (key && (key->empty() || key->size() > kMaxIdempotencyKeyBytes ||
              !std::ranges::all_of(*key, is_visible))) {
    return Malformed(
        "Idempotency-Key: expected 1 to 200 visible ASCII characters");
  }
  return std::nullopt;
}

Result<std::optional<StreamResumption>> ParseResumption(const RawRequest& raw) {
  const auto last_event = SingleField(raw, "Last-Event-ID");
  const auto first_request = SingleField(raw, "X-Resumed-Request-Id");
  for (const auto* field : {&last_event, &first_request}) {
    if (!IsOk(*field)) {
      return ErrorOf(*field);
    }
  }
  if (ValueOf(last_event).value_or("").empty()) {
    return std::optional<StreamResumption>();
  }
  return std::optional(StreamResumption{
      .first_request = RequestId(ValueOf(first_request).value_or(""))});
}

Result<ParsedDestination> ParseServicePath(const RawRequest& raw) {
  const std::string remaining_path = raw.path.substr(kServicePrefix.size());
  const std::size_t end =
      std::min(remaining_path.find_first_of("/?"), remaining_path.size());
  const std::string route = remaining_path.substr(0, end);
  if (route.empty()) {
    return MakeError(ErrorKind::kUnknownRoute,
                     "path: expected /services/ROUTE/...");
  }
  const std::string_view slash =
      remaining_path.substr(end).starts_with('/') ? "" : "/";
  return ParsedDestination{
      .destination = ByRoute{.route = RouteId(route)},
      .path = std::string(slash) + remaining_path.substr(end)};
}

Result<ParsedDestination> ParseDestination(const RawRequest& raw) {
  if (raw.method == "CONNECT" || raw.method == "TRACE") {
    return MakeError(ErrorKind::kMethodNotAllowed,
                     "method: CONNECT and TRACE are not supported");
  }
  if (raw.path.starts_with(kServicePrefix)) {
    return ParseServicePath(raw);
  }
  if (raw.path != kChatPath) {
    return MakeError(
        ErrorKind::kUnknownRoute,
        "path: expected /v1/chat/completions or /services/ROUTE/...");
  }
  if (raw.method != "POST") {
    return MakeError(ErrorKind::kMethodNotAllowed, "method: expected POST");
  }
  const Result<ChatRequest> chat = ParseChatRequest(raw.body);
  if (!IsOk(chat)) {
    return ErrorOf(chat);
  }
  return ParsedDestination{
      .destination = ByModel{}, .chat = ValueOf(chat), .path = raw.path};
}

std::uint64_t FingerprintOf(const RawRequest& raw) {
  return StableHash(raw.method + '\n' + raw.path + '\n' + raw.body);
}

// Header fields that the decisions use.
struct RequestFields {
  std::string credential;
  Duration timeout;
  bool is_batch = false;
  std::optional<StreamResumption> resumption;
};

Result<RequestFields> ParseRequestFields(const RawRequest& raw) {
  const auto authorization = SingleField(raw, "Authorization");
  const auto key = SingleField(raw, "Idempotency-Key");
  const auto timeout_text = SingleField(raw, "X-Request-Timeout-Ms");
  const auto class_text = SingleField(raw, "X-Request-Class");
  for (const auto* field : {&authorization, &key, &timeout_text, &class_text}) {
    if (!IsOk(*field)) {
      return ErrorOf(*field);
    }
  }
  if (auto error = CheckIdempotencyKey(ValueOf(key))) {
    return *error;
  }
  const Result<Duration> timeout = ParseTimeout(ValueOf(timeout_text));
  if (!IsOk(timeout)) {
    return ErrorOf(timeout);
  }
  const Result<bool> is_batch = ParseIsBatch(ValueOf(class_text));
  if (!IsOk(is_batch)) {
    return ErrorOf(is_batch);
  }
  const auto resumption = ParseResumption(raw);
  if (!IsOk(resumption)) {
    return ErrorOf(resumption);
  }
  return RequestFields{
      .credential = BearerCredential(FindField(raw.fields, "Authorization")),
      .timeout = ValueOf(timeout),
      .is_batch = ValueOf(is_batch),
      .resumption = ValueOf(resumption)};
}

}  // namespace

Result<CallerRequest> NativeProtocol::ParseRequest(const RequestId& id,
                                                   const RawRequest& raw) {
  const Result<RequestFields> fields = ParseRequestFields(raw);
  if (!IsOk(fields)) {
    return ErrorOf(fields);
  }
  const Result<ParsedDestination> destination = ParseDestination(raw);
  if (!IsOk(destination)) {
    return ErrorOf(destination);
  }
  const RequestFields& header = ValueOf(fields);
  const ParsedDestination& parsed = ValueOf(destination);
  RequestArrived arrival{
      .request = id,
      .caller_request_id = id,
      .credential = header.credential,
      .destination = parsed.destination,
      .model = parsed.chat ? std::optional(parsed.chat->model) : std::nullopt,
      .tokens = parsed.chat ? std::optional(parsed.chat->tokens) : std::nullopt,
      .prompt_prefix_key = parsed.chat ? parsed.chat->prompt_prefix_key : 0,
      .timeout = header.timeout,
      .is_batch = header.is_batch,
      .fingerprint = FingerprintOf(raw),
      .resumption = header.resumption};
  return CallerRequest{.arrival = std::move(arrival),
                       .method = raw.method,
                       .path = parsed.path,
                       .fields = FieldsForTarget(raw.fields, header.credential),
                       .body = raw.body};
}

}  // namespace cicadaloft
