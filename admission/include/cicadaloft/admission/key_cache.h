#ifndef CICADALOFT_ADMISSION_KEY_CACHE_H_
#define CICADALOFT_ADMISSION_KEY_CACHE_H_

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "cicadaloft/core/id.h"
#include "cicadaloft/tickets/messages.h"

namespace cicadaloft {

/// @return the key id of a credential "<key id>.<secret>", or none.
std::optional<KeyId> KeyIdOf(const std::string& credential);

/// Remembers which credentials have been checked against which key items, so
/// that a caller who sends many requests pays the hash once. A key that has
/// been withdrawn or changed is another item, so it is checked anew.
class KeyCache {
 public:
  explicit KeyCache(std::size_t capacity = 4096) : capacity(capacity) {}

  /// @param key the configuration's item of this id; null if there is none.
  /// @return the customer, or none if the secret does not fit.
  std::optional<CustomerId> Check(const std::string& credential,
                                  const std::shared_ptr<const ApiKey>& key);

  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::string credential;
    std::shared_ptr<const ApiKey> key;
  };
  using EntryRef = std::list<Entry>::iterator;

  void Remember(const std::string& credential,
                const std::shared_ptr<const ApiKey>& key);

  std::size_t capacity;
  std::list<Entry> entries;  ///< The last used one first.
  std::unordered_map<std::string, EntryRef> index;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_KEY_CACHE_H_
