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

/// Which targets have a key, such as a model: one look-up instead of a look at
/// each target.
template <typename Key>
class TargetIndex {
 public:
  /// Replaces what the target has.
  void Set(const TargetId& target, std::set<Key> keys) {
    std::set<Key>& known = this->keys_of[target];
    std::vector<Key> gone;
    std::ranges::set_difference(known, keys, std::back_inserter(gone));
    std::ranges::for_each(gone,
                          [&](const Key& key) { this->Erase(key, target); });
    std::ranges::for_each(
        keys, [&](const Key& key) { this->targets_of[key].insert(target); });
    known = std::move(keys);
  }

  void Remove(const TargetId& target) {
    this->Set(target, {});
    this->keys_of.erase(target);
  }

  /// @return the targets that have it, in the order of their ids.
  const std::set<TargetId>& Of(const Key& key) const {
    static const std::set<TargetId> kNone;
    const auto found = this->targets_of.find(key);
    return found == this->targets_of.end() ? kNone : found->second;
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
