#ifndef CICADALOFT_ROUTING_PREFIX_CACHE_H_
#define CICADALOFT_ROUTING_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

class TargetView;

/// A prompt's first part, per model.
struct PromptPrefix {
  const ModelId model;
  const std::uint64_t hash = 0;

  friend auto operator<=>(const PromptPrefix&, const PromptPrefix&) = default;
};

/// Remembers which target ran a prompt prefix last. Only a hint: the target may
/// have dropped it since.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity = 16384) : capacity(capacity) {}

  /// @return null if unknown.
  TargetView* Find(const PromptPrefix& prefix) const;
  void Remember(const PromptPrefix& prefix, TargetView* target);

  std::size_t size() const { return this->index.size(); }

 private:
  struct Entry {
    TargetView* target;
    std::list<PromptPrefix>::iterator place;
  };

  std::size_t capacity;
  std::list<PromptPrefix> order;  ///< The last remembered one first.
  std::map<PromptPrefix, Entry> index;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_PREFIX_CACHE_H_
