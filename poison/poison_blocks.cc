#include "cicadaloft/poison/poison_blocks.h"

#include <algorithm>
#include <iterator>

namespace cicadaloft {

bool PoisonBlocks::Apply(const PoisonBlock& block, TimePoint now) {
  std::erase_if(this->blocked_until,
                [&](const auto& entry) { return entry.second <= now; });
  if (block.fingerprints.empty()) {
    return false;
  }
  if (block.remaining <= Duration::zero()) {
    return this->blocked_until.erase(block.fingerprints) != 0;
  }
  const bool is_new =
      this->blocked_until
          .insert_or_assign(
              block.fingerprints,
              now + std::min<Duration>(block.remaining, kPoisonBlockDuration))
          .second;
  if (this->blocked_until.size() > kMaxBlocks) {
    this->blocked_until.erase(std::ranges::min_element(
        this->blocked_until, {},
        [](const auto& entry) { return entry.second; }));
  }
  return is_new;
}

std::optional<Fingerprints> PoisonBlocks::Find(const Fingerprints& request,
                                               TimePoint now) const {
  const auto found =
      std::ranges::find_if(this->blocked_until, [&](const auto& entry) {
        return now < entry.second &&
               std::ranges::includes(request, entry.first);
      });
  return found == this->blocked_until.end() ? std::nullopt
                                            : std::optional(found->first);
}

std::vector<PoisonBlock> PoisonBlocks::List(TimePoint now) const {
  std::vector<PoisonBlock> blocks;
  for (const auto& [fingerprints, until] : this->blocked_until) {
    if (now < until) {
      blocks.push_back(
          PoisonBlock{.fingerprints = fingerprints, .remaining = until - now});
    }
  }
  return blocks;
}

}  // namespace cicadaloft
