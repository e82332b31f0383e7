#ifndef CICADALOFT_CORE_RENDEZVOUS_H_
#define CICADALOFT_CORE_RENDEZVOUS_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <ranges>
#include <string_view>

namespace cicadaloft {

/// @return the weight of `member` for `key`; the same in every process.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view member);

/// @return a 64-bit hash of `text`; the same in every process.
std::uint64_t StableHash(std::string_view text);

/// Picks the member with the highest weight for `key`.
/// @param name gives a member's name.
/// @return an iterator into `members`, its end when there are none.
template <std::ranges::forward_range Members, typename Name>
auto PickByRendezvous(std::string_view key, Members&& members, Name name) {
  return std::ranges::max_element(members, std::less<>{}, [&](const auto& m) {
    return RendezvousWeight(key, std::invoke(name, m));
  });
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_RENDEZVOUS_H_
