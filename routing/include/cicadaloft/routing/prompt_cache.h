#ifndef CICADALOFT_ROUTING_PROMPT_CACHE_H_
#define CICADALOFT_ROUTING_PROMPT_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cicadaloft/routing/prompt_chain.h"

namespace cicadaloft {

/// The parts of prompts that a target is likely to have kept, by what this host
/// has sent there. The target evicts the least recently used part when it needs
/// memory; the time of a use is therefore counted in tokens that have been
/// written there since.
class PromptCache {
 public:
  /// Least recently used parts beyond these are forgotten.
  static constexpr std::size_t kMaxParts = 48;

  /// The target has computed or read these parts.
  /// @param written tokens that were written at the target so far.
  void OnUse(const PromptChain& chain, double written);
  /// @param capacity tokens that the target can keep beside running requests.
  /// @return tokens of the parts from the first one on that it still has.
  double CachedTokens(const PromptChain& chain,
                      double written,
                      double capacity) const;

 private:
  struct Part {
    std::uint64_t key = 0;
    double used_at = 0;  ///< In tokens written.
  };

  std::vector<Part> parts;  ///< The least recently used part first.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_PROMPT_CACHE_H_
