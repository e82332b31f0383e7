#include "mirror_collector.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace cicadaloft {
namespace {

constexpr Duration kAskInterval = std::chrono::milliseconds(500);

}  // namespace

std::vector<std::pair<HostId, DutyId>> MirrorCollector::Work(
    const MemberTable& members,
    const Member& self,
    const DataCentreId& data_centre,
    TimePoint now) {
  std::vector<std::pair<HostId, DutyId>> asks;
  std::erase_if(this->collections, [&](const auto& entry) {
    return !members.Owns(self, entry.first);
  });
  std::ranges::for_each(DutiesOf(data_centre), [&](const DutyId& duty) {
    const DutyHolder* holder = members.FindDuty(duty);
    if (holder == nullptr || holder->owner != self) {
      return;
    }
    Collection& collection = this->collections[duty];
    if (collection.since == TimePoint() || collection.token != holder->token) {
      collection = Collection{
          .token = holder->token, .awaited = {}, .since = now, .next_ask = now};
      std::ranges::for_each(members.MembersOf(data_centre),
                            [&](const MemberInfo& mate) {
                              if (mate.member != self) {
                                collection.awaited.insert(mate.member);
                              }
                            });
    }
    std::erase_if(collection.awaited,
                  [&](const Member& mate) { return !members.IsInForce(mate); });
    if (collection.awaited.empty() || now < collection.next_ask) {
      return;
    }
    collection.next_ask = now + kAskInterval;
    std::ranges::transform(
        collection.awaited, std::back_inserter(asks),
        [&](const Member& mate) { return std::pair(mate.host, duty); });
  });
  return asks;
}

void MirrorCollector::Replied(const HostId& mate, const DutyId& duty) {
  const auto found = this->collections.find(duty);
  if (found != this->collections.end()) {
    std::erase_if(found->second.awaited,
                  [&](const Member& member) { return member.host == mate; });
  }
}

bool MirrorCollector::IsCollected(const DutyId& duty) const {
  const auto found = this->collections.find(duty);
  return found != this->collections.end() && found->second.awaited.empty();
}

Duration MirrorCollector::Age(const DutyId& duty, TimePoint now) const {
  const auto found = this->collections.find(duty);
  return found == this->collections.end() ? Duration{}
                                          : now - found->second.since;
}

}  // namespace cicadaloft
