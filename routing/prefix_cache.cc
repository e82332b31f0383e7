#include "cicadaloft/routing/prefix_cache.h"

namespace cicadaloft {

TargetView* PrefixCache::Find(const PromptPrefix& prefix) const {
  const auto found = this->index.find(prefix);
  return found == this->index.end() ? nullptr : found->second.target;
}

void PrefixCache::Remember(const PromptPrefix& prefix, TargetView* target) {
  const auto found = this->index.find(prefix);
  if (found != this->index.end()) {
    found->second.target = target;
    this->order.splice(this->order.begin(), this->order, found->second.place);
    return;
  }
  this->order.push_front(prefix);
  this->index.emplace(prefix,
                      Entry{.target = target, .place = this->order.begin()});
  if (this->index.size() > this->capacity) {
    this->index.erase(this->order.back());
    this->order.pop_back();
  }
}

}  // namespace cicadaloft
