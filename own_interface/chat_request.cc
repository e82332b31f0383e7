#include "chat_request.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "cicadaloft/codec/json.h"
#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/entry/messages.h"

namespace cicadaloft {
namespace {

constexpr JsonLimits kBodyLimits{.max_bytes = std::size_t{16} << 20,
                                 .max_depth = 64,
                                 .max_values = 1'000'000};
constexpr std::size_t kPromptPrefixBytes = 256;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::uint64_t kDefaultMaxTokens = 256;

// Content is a string, or an array of parts, some of which contain a text.
std::string TextOf(const Json& content) {
  if (content.is_string()) {
    return content.get<std::string>();
  }
  std::string text;
  if (!content.is_array()) {
    return text;
  }
  for (const Json& part : content) {
    const auto found = part.is_object() ? part.find("text") : part.end();
    if (found != part.end() && found->is_string()) {
      text += found->get_ref<const std::string&>();
    }
  }
  return text;
}

std::string PromptOf(const Json& messages) {
  std::string prompt;
  for (const Json& message : messages) {
    const auto content = message.find("content");
    if (content != message.end()) {
      prompt += TextOf(*content);
    }
  }
  return prompt;
}

Result<std::uint64_t> MaxTokensOf(const Json& root) {
  const auto found = root.find("max_tokens");
  if (found == root.end() || found->is_null()) {
    return kDefaultMaxTokens;
  }
  if (!found->is_number_unsigned()) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "max_tokens: expected a non-negative integer");
  }
  return found->get<std::uint64_t>();
}

std::optional<Error> Validate(const Json& root) {
  const auto fail = [](std::string message) {
    return MakeError(ErrorKind::kMalformedRequest, std::move(message));
  };
  if (!root.is_object()) {
    return fail("body: expected a JSON object");
  }
  const auto model = root.find("model");
  if (model == root.end() || !model->is_string() ||
      model->get_ref<const std::string&>().empty()) {
    return fail("model: expected a non-empty string naming a model or adapter");
  }
  const auto messages = root.find("messages");
  if (messages == root.end() || !messages->is_array() || messages->empty()) {
    return fail("messages: expected an array with at least one message");
  }
  if (!std::ranges::all_of(*messages, &Json::is_object)) {
    return fail("messages: expected an array of objects with role and content");
  }
  const auto stream = root.find("stream");
  if (stream != root.end() && !stream->is_boolean() && !stream->is_null()) {
    return fail("stream: expected true or false");
  }
  return std::nullopt;
}

}  // namespace

Result<ChatRequest> ParseChatRequest(std::string_view body) {
  const Result<Json> parsed =
      ParseJson(body, kBodyLimits, JsonComments::kRefused);
  if (!IsOk(parsed)) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "body: " + ErrorOf(parsed).message);
  }
  const Json& root = ValueOf(parsed);
  if (auto error = Validate(root)) {
    return *error;
  }
  const Result<std::uint64_t> max_tokens = MaxTokensOf(root);
  if (!IsOk(max_tokens)) {
    return ErrorOf(max_tokens);
  }
  const std::string prompt = PromptOf(root["messages"]);
  const std::size_t prompt_tokens = prompt.size() / kBytesPerToken;
  const double tokens = static_cast<double>(prompt_tokens) +
                        static_cast<double>(ValueOf(max_tokens));
  if (tokens > kMaxRequestTokens) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "max_tokens: expected at most " +
                         std::to_string(std::llround(kMaxRequestTokens)) +
                         " with the prompt's tokens");
  }
  return ChatRequest{
      .model = ParseModelPath(root["model"].get<std::string>()),
      .tokens = tokens,
      .prompt_prefix_key =
          StableHash(std::string_view(prompt).substr(0, kPromptPrefixBytes))};
}

}  // namespace cicadaloft
