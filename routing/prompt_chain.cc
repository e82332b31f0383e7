#include "cicadaloft/routing/prompt_chain.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

// Depends on the order: the same part behind another one is another beginning.
std::uint64_t Combine(std::uint64_t before, std::uint64_t hash) {
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15U;
  constexpr int kShift = 29;
  const std::uint64_t mixed = (before ^ hash) * kMultiplier;
  return (mixed ^ (mixed >> kShift)) * kMultiplier;
}

}  // namespace

PromptChain ChainParts(const std::optional<ModelPath>& path,
                       const std::vector<PromptPart>& parts) {
  PromptChain chain;
  if (!path) {
    return chain;
  }
  std::uint64_t key = StableHash(path->ToString());
  std::ranges::transform(
      parts | std::views::take(kMaxChainedParts), std::back_inserter(chain),
      [&key](const PromptPart& part) {
        key = Combine(key, part.hash);
        return PromptPart{.hash = key, .tokens = part.tokens};
      });
  return chain;
}

std::uint64_t SharedKey(const PromptChain& chain) {
  return chain.size() < 2 ? 0 : chain.front().hash;
}

}  // namespace cicadaloft
