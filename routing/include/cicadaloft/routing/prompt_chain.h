#ifndef CICADALOFT_ROUTING_PROMPT_CHAIN_H_
#define CICADALOFT_ROUTING_PROMPT_CHAIN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cicadaloft/core/model_path.h"
#include "cicadaloft/routing/prompt_part.h"

namespace cicadaloft {

/// Parts of longer prompts are left out of the estimates from here on.
inline constexpr std::size_t kMaxChainedParts = 8;

/// The beginning of a prompt. The hash of each part stands for it and all
/// before it, and for the model and adapter that compute them.
using PromptChain = std::vector<PromptPart>;

PromptChain ChainParts(const std::optional<ModelPath>& path,
                       const std::vector<PromptPart>& parts);

/// @return the key of the part that requests of other hosts are the most likely
/// to share; 0 if there is none. The last part belongs to the request itself.
std::uint64_t SharedKey(const PromptChain& chain);

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_PROMPT_CHAIN_H_
