#include "cicadaloft/routing/target_ramp.h"

#include <algorithm>
#include <functional>
#include <ranges>
#include <utility>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

/// A host without a part earns its first one by this many answers to requests
/// that ran on lent room.
constexpr std::uint32_t kAnswersForFirstPart = 2;

std::pair<std::uint64_t, HostId> RankOf(const TargetId& target,
                                        const HostId& host) {
  return {RendezvousWeight(target.value(), host.value()), host};
}

}  // namespace

std::vector<HostId> RankHosts(const TargetId& target,
                              const std::vector<HostId>& hosts) {
  std::vector<HostId> ranked = hosts;
  std::ranges::sort(ranked, std::greater<>{},
                    [&](const HostId& h) { return RankOf(target, h); });
  return ranked;
}

std::uint32_t PartOf(std::uint32_t total,
                     const TargetId& target,
                     const std::vector<HostId>& hosts,
                     const HostId& self) {
  if (std::ranges::find(hosts, self) == hosts.end()) {
    return 0;
  }
  const auto own_rank = RankOf(target, self);
  const auto before = std::ranges::count_if(
      hosts, [&](const HostId& h) { return RankOf(target, h) > own_rank; });
  const auto count = static_cast<std::uint32_t>(hosts.size());
  const bool gets_one_more = static_cast<std::uint32_t>(before) < total % count;
  return total / count + (gets_one_more ? 1 : 0);
}

void TargetRamp::SetBounds(const RampBounds& bounds) {
  const bool was_unset = this->most == 0;
  this->most = bounds.most;
  this->initial = std::min(bounds.initial, bounds.most);
  if (was_unset) {
    this->Restart();
    return;
  }
  this->current = std::clamp(this->current, this->initial, this->most);
}

void TargetRamp::Restart() {
  this->current = this->initial;
  this->good_answers = 0;
}

void TargetRamp::OnGoodAnswer() {
  ++this->good_answers;
  const std::uint32_t needed = std::max(this->current, kAnswersForFirstPart);
  if (this->good_answers < needed || this->current >= this->most) {
    return;
  }
  ++this->current;
  this->good_answers = 0;
}

void TargetRamp::OnOverload() {
  this->current = std::max(this->initial, this->current / 2);
  this->good_answers = 0;
}

}  // namespace cicadaloft
