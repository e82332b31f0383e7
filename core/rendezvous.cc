#include "cicadaloft/core/rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cicadaloft {

std::uint64_t RendezvousWeight(std::string_view key, std::string_view member) {
  return XXH64(member.data(), member.size(), StableHash(key));
}

std::uint64_t StableHash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace cicadaloft
