#include "cicadaloft/routing/prompt_cache.h"

#include <algorithm>

namespace cicadaloft {

void PromptCache::OnUse(const PromptChain& chain, double written) {
  for (const PromptPart& used : chain) {
    std::erase_if(this->parts,
                  [&](const Part& part) { return part.key == used.hash; });
    if (this->parts.size() >= kMaxParts) {
      this->parts.erase(this->parts.begin());
    }
    this->parts.push_back({.key = used.hash, .used_at = written});
  }
}

double PromptCache::CachedTokens(const PromptChain& chain,
                                 double written,
                                 double capacity) const {
  double tokens = 0;
  for (const PromptPart& wanted : chain) {
    const auto found = std::ranges::find(this->parts, wanted.hash, &Part::key);
    if (found == this->parts.end() || written - found->used_at > capacity) {
      break;
    }
    tokens += wanted.tokens;
  }
  return tokens;
}

}  // namespace cicadaloft
