#ifndef CICADALOFT_OWN_INTERFACE_CHAT_CALL_H_
#define CICADALOFT_OWN_INTERFACE_CHAT_CALL_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft {

/// What a chat completion says that routing needs.
struct ChatRequest {
  ModelPath model;
  double tokens = 0;                    ///< Expected prompt and answer tokens.
  std::uint64_t prompt_prefix_key = 0;  ///< Of the prompt's beginning.

  friend auto operator<=>(const ChatRequest&, const ChatRequest&) = default;
  friend bool operator==(const ChatRequest&, const ChatRequest&) = default;
};

/// Reads the body of a chat completion as far as routing needs it.
/// @return the call, or kMalformedRequest naming the field.
Result<ChatRequest> ReadChatCall(std::string_view body);

}  // namespace cicadaloft

#endif  // CICADALOFT_OWN_INTERFACE_CHAT_CALL_H_
