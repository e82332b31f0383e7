#ifndef CICADALOFT_OWN_INTERFACE_CHAT_REQUEST_H_
#define CICADALOFT_OWN_INTERFACE_CHAT_REQUEST_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft {

/// Fields of a chat completion request that routing uses.
struct ChatRequest {
  ModelPath model;
  double tokens = 0;  ///< Expected prompt and completion tokens.
  std::uint64_t prompt_prefix_key = 0;  ///< Hash of the start of the prompt.

  friend auto operator<=>(const ChatRequest&, const ChatRequest&) = default;
  friend bool operator==(const ChatRequest&, const ChatRequest&) = default;
};

/// Parses the fields of a chat completion request that routing uses.
/// @return the request, or kMalformedRequest naming the field.
Result<ChatRequest> ParseChatRequest(std::string_view body);

}  // namespace cicadaloft

#endif  // CICADALOFT_OWN_INTERFACE_CHAT_REQUEST_H_
