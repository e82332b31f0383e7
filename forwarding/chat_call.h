#ifndef CICADALOFT_FORWARDING_CHAT_CALL_H_
#define CICADALOFT_FORWARDING_CHAT_CALL_H_

#include <string_view>

#include "cicadaloft/core/result.h"
#include "cicadaloft/entry/messages.h"

namespace cicadaloft {

/// Reads the body of a chat completion as far as routing needs it.
/// @return the call, or kMalformedRequest naming the field.
Result<ModelCall> ReadChatCall(std::string_view body);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_CHAT_CALL_H_
