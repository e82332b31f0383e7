#include "cicadaloft/operator_cli/new_key.h"

#include <openssl/rand.h>

#include <array>
#include <boost/algorithm/hex.hpp>
#include <cstddef>
#include <iterator>
#include <optional>

#include "cicadaloft/core/sha256.h"

namespace cicadaloft {
namespace {

constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kSaltBytes = 16;

template <std::size_t Size>
std::optional<std::string> DrawHex() {
  std::array<unsigned char, Size> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return std::nullopt;
  }
  std::string hex;
  boost::algorithm::hex_lower(bytes.begin(), bytes.end(),
                              std::back_inserter(hex));
  return hex;
}

}  // namespace

Result<KeyMaterial> DrawKeyMaterial() {
  const auto id = DrawHex<kIdBytes>();
  const auto secret = DrawHex<kSecretBytes>();
  const auto salt = DrawHex<kSaltBytes>();
  if (!id.has_value() || !secret.has_value() || !salt.has_value()) {
    return Fail(ErrorKind::kInternal, "the system gives no random bytes");
  }
  return KeyMaterial{.id = *id, .secret = *secret, .salt = *salt};
}

IssuedKey IssueKey(const CustomerId& customer, const KeyMaterial& material) {
  return IssuedKey{.credential = material.id + "." + material.secret,
                   .item = ApiKey{.id = KeyId(material.id),
                                  .customer = customer,
                                  .salt = material.salt,
                                  .secret_hash = Sha256Hex(material.salt +
                                                           material.secret)}};
}

}  // namespace cicadaloft
