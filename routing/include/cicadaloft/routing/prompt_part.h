#ifndef CICADALOFT_ROUTING_PROMPT_PART_H_
#define CICADALOFT_ROUTING_PROMPT_PART_H_

#include <compare>
#include <cstdint>

namespace cicadaloft {

/// A part of a prompt. A target that has computed it for one request may keep
/// it for others that begin with the same parts.
struct PromptPart {
  std::uint64_t hash = 0;  ///< Of the part's id.
  double tokens = 0;       ///< From 0 to kMaxRequestTokens.

  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_PROMPT_PART_H_
