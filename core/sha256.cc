#include "cicadaloft/core/sha256.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>

namespace cicadaloft {

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::string hex;
  hex.reserve(2 * digest.size());
  boost::algorithm::hex_lower(digest.begin(), digest.end(),
                              std::back_inserter(hex));
  return hex;
}

bool EqualInConstantTime(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace cicadaloft
