#include "cicadaloft/admission/key_cache.h"

#include "cicadaloft/core/sha256.h"

namespace cicadaloft {

std::optional<KeyId> KeyIdOf(const std::string& credential) {
  const auto dot = credential.find('.');
  if (dot == std::string::npos || dot == 0) {
    return std::nullopt;
  }
  return KeyId(credential.substr(0, dot));
}

std::optional<CustomerId> KeyCache::Check(
    const std::string& credential,
    const std::shared_ptr<const ApiKey>& key) {
  if (key == nullptr) {
    return std::nullopt;
  }
  const auto known = this->index.find(credential);
  if (known != this->index.end() && known->second->key == key) {
    this->entries.splice(this->entries.begin(), this->entries, known->second);
    return key->customer;
  }
  const std::string secret = credential.substr(credential.find('.') + 1);
  if (!EqualInConstantTime(Sha256Hex(key->salt + secret), key->secret_hash)) {
    return std::nullopt;
  }
  this->Remember(credential, key);
  return key->customer;
}

void KeyCache::Remember(const std::string& credential,
                        const std::shared_ptr<const ApiKey>& key) {
  const auto known = this->index.find(credential);
  if (known != this->index.end()) {
    this->entries.erase(known->second);
    this->index.erase(known);
  }
  this->entries.push_front(Entry{.credential = credential, .key = key});
  this->index.emplace(credential, this->entries.begin());
  if (this->entries.size() > this->capacity) {
    this->index.erase(this->entries.back().credential);
    this->entries.pop_back();
  }
}

}  // namespace cicadaloft
