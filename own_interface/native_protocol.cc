#include "cicadaloft/own_interface/native_protocol.h"

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
#include "cicadaloft/forwarding/header_rules.h"

namespace cicadaloft {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::size_t kMaxIdempotencyKey = 200;
constexpr std::chrono::milliseconds kShortestTimeout{100};
constexpr std::chrono::milliseconds kLongestTimeout{600'000};
constexpr std::chrono::milliseconds kDefaultTimeout{30'000};

// What a request asks for, and the path that the target is asked.
struct Asked {
  Destination destination;
  std::optional<ChatRequest> chat;
  std::string path;
};

Error Malformed(std::string message) {
  return MakeError(ErrorKind::kMalformedRequest, std::move(message));
}

// A field that counts may come once only: else two readers could disagree.
Result<std::optional<std::string>> OneField(const RawRequest& raw,
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

// @return whether it is batch work.
Result<bool> ClassIn(const std::optional<std::string>& text) {
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
  if (key && (key->empty() || key->size() > kMaxIdempotencyKey ||
              !std::ranges::all_of(*key, is_visible))) {
    return Malformed("Idempotency-Key: expected 1 to 200 visible characters");
  }
  return std::nullopt;
}

Result<Asked> AskedService(const RawRequest& raw) {
  const std::string rest = raw.path.substr(kServicePrefix.size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  const std::string route = rest.substr(0, end);
  if (route.empty()) {
    return MakeError(ErrorKind::kUnknownRoute,
                     "path: expected /services/ROUTE/...");
  }
  const std::string_view slash = rest.substr(end).starts_with('/') ? "" : "/";
  return Asked{.destination = ByRoute{.route = RouteId(route)},
               .path = std::string(slash) + rest.substr(end)};
}

Result<Asked> AskedIn(const RawRequest& raw) {
  if (raw.method == "CONNECT" || raw.method == "TRACE") {
    return MakeError(ErrorKind::kMethodNotAllowed, "method: not served");
  }
  if (raw.path.starts_with(kServicePrefix)) {
    return AskedService(raw);
  }
  if (raw.path != kChatPath) {
    return MakeError(
        ErrorKind::kUnknownRoute,
        "path: expected /v1/chat/completions or /services/ROUTE/...");
  }
  if (raw.method != "POST") {
    return MakeError(ErrorKind::kMethodNotAllowed, "method: expected POST");
  }
  const Result<ChatRequest> call = ReadChatCall(raw.body);
  if (!IsOk(call)) {
    return ErrorOf(call);
  }
  return Asked{
      .destination = ByModel{}, .chat = ValueOf(call), .path = raw.path};
}

std::uint64_t FingerprintOf(const RawRequest& raw) {
  return StableHash(raw.method + '\n' + raw.path + '\n' + raw.body);
}

// The fields of the header that the decisions use.
struct CallFields {
  std::string credential;
  Duration timeout;
  bool is_batch = false;
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
  const Result<bool> is_batch = ClassIn(ValueOf(class_text));
  if (!IsOk(is_batch)) {
    return ErrorOf(is_batch);
  }
  return CallFields{
      .credential = BearerCredential(FindField(raw.fields, "Authorization")),
      .timeout = ValueOf(timeout),
      .is_batch = ValueOf(is_batch)};
}

}  // namespace

Result<CallerRequest> NativeProtocol::ParseRequest(const RequestId& id,
                                                   const RawRequest& raw) {
  const Result<CallFields> fields = ReadCallFields(raw);
  if (!IsOk(fields)) {
    return ErrorOf(fields);
  }
  const Result<Asked> asked = AskedIn(raw);
  if (!IsOk(asked)) {
    return ErrorOf(asked);
  }
  const CallFields& read = ValueOf(fields);
  const Asked& what = ValueOf(asked);
  RequestArrived arrival{
      .request = id,
      .caller_request_id = id,
      .credential = read.credential,
      .destination = what.destination,
      .model = what.chat ? std::optional(what.chat->model) : std::nullopt,
      .tokens = what.chat ? std::optional(what.chat->tokens) : std::nullopt,
      .prompt_prefix_key = what.chat ? what.chat->prompt_prefix_key : 0,
      .timeout = read.timeout,
      .is_batch = read.is_batch,
      .fingerprint = FingerprintOf(raw)};
  return CallerRequest{.arrival = std::move(arrival),
                       .method = raw.method,
                       .path = what.path,
                       .fields = FieldsForTarget(raw.fields, read.credential),
                       .body = raw.body};
}

}  // namespace cicadaloft
