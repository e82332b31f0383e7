#ifndef CICADALOFT_CORE_RENDEZVOUS_H_
#define CICADALOFT_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace cicadaloft {

/// @return the weight of `member` for `key` in rendezvous hashing; the same in
/// every process.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view member);

/// @return a 64-bit hash of `text`; the same in every process.
std::uint64_t StableHash(std::string_view text);

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_RENDEZVOUS_H_
