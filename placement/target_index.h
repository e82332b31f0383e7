#ifndef CICADALOFT_PLACEMENT_TARGET_INDEX_H_
#define CICADALOFT_PLACEMENT_TARGET_INDEX_H_

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// Maps a key, such as a model, to the targets that have it, so that a query
/// needs no scan over all targets.
template <typename Key>
class TargetIndex {
 public:
  /// Replaces the target's keys.
  void SetKeys(const TargetId& target, std::set<Key> keys) {
    std::set<Key>& current_keys = this->keys_of[target];
    std::vector<Key> removed;
    std::ranges::set_difference(current_keys, keys,
                                std::back_inserter(removed));
    std::ranges::for_each(removed,
                          [&](const Key& key) { this->Erase(key, target); });
    std::ranges::for_each(
        keys, [&](const Key& key) { this->targets_of[key].insert(target); });
    current_keys = std::move(keys);
  }

  void Remove(const TargetId& target) {
    this->SetKeys(target, {});
    this->keys_of.erase(target);
  }

  /// @return the targets that have the key, ordered by id.
  const std::set<TargetId>& TargetsWith(const Key& key) const {
    static const std::set<TargetId> kNoTargets;
    const auto found = this->targets_of.find(key);
    return found == this->targets_of.end() ? kNoTargets : found->second;
  }

 private:
  void Erase(const Key& key, const TargetId& target) {
    const auto found = this->targets_of.find(key);
    found->second.erase(target);
    if (found->second.empty()) {
      this->targets_of.erase(found);
    }
  }

  std::map<Key, std::set<TargetId>> targets_of;
  std::map<TargetId, std::set<Key>> keys_of;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_TARGET_INDEX_H_
