#include "cicadaloft/membership/eviction_watch.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

/// Between two tries to evict the same member.
constexpr Duration kRetryTime = std::chrono::seconds(5);
/// Mates try one after another, so that mostly one record is written.
constexpr Duration kRankDelay = std::chrono::seconds(1);

/// @return how many mates of the data centre come before `self` with it.
std::int64_t RankOf(const MemberTable& members,
                    const EvictionScope& scope,
                    const MemberInfo& member) {
  const std::string& key = member.member.host.value();
  const auto weight = [&](const HostId& host) {
    return RendezvousWeight(key, host.value());
  };
  return std::ranges::count_if(
      members.members() | std::views::values, [&](const MemberInfo& mate) {
        return mate.data_centre == scope.data_centre &&
               mate.member != member.member &&
               weight(mate.member.host) > weight(scope.self.host);
      });
}

}  // namespace

EvictionWatch::EvictionWatch(const EvictionTerms& terms) : terms(terms) {}

void EvictionWatch::Look(const MemberTable& members, TimePoint now) {
  std::erase_if(this->sightings, [&](const auto& sighting) {
    return members.Find(sighting.first) == nullptr;
  });
  std::ranges::for_each(
      members.members() | std::views::values, [&](const MemberInfo& member) {
        const auto [found, is_new] =
            this->sightings.try_emplace(member.member.host);
        Sighting& sighting = found->second;
        if (is_new || sighting.renewal != member.last_renewal ||
            sighting.incarnation != member.member.incarnation) {
          sighting = Sighting{.renewal = member.last_renewal,
                              .incarnation = member.member.incarnation,
                              .since = now};
        }
      });
}

void EvictionWatch::LogFailed() {
  this->sightings.clear();
}

void EvictionWatch::TakeHostList(const std::vector<HostListEntry>& hosts,
                                 TimePoint now) {
  std::set<HostId> names;
  std::ranges::transform(hosts, std::inserter(names, names.end()),
                         &HostListEntry::host);
  this->listed = std::move(names);
  this->listed_at = now;
}

bool EvictionWatch::IsDue(const MemberInfo& member,
                          const MemberTable& members,
                          const EvictionScope& scope,
                          TimePoint now) const {
  const HostId& host = member.member.host;
  const auto sighting = this->sightings.find(host);
  if (member.member == scope.self || sighting == this->sightings.end() ||
      !this->listed.has_value() || this->listed->contains(host) ||
      this->listed_at < sighting->second.since) {
    return false;
  }
  const bool is_mate = member.data_centre == scope.data_centre;
  if (!is_mate && !scope.out.contains(member.data_centre)) {
    return false;
  }
  const DutyId duty{.kind = DutyKind::kPlacement,
                    .data_centre = member.data_centre};
  const bool may_have_orders = scope.unfenced.contains(member.data_centre) &&
                               members.Owns(member.member, duty);
  const Duration wait = this->terms.lapse_time +
                        (may_have_orders ? this->terms.order_term : Duration{});
  const Duration all =
      (is_mate ? wait : std::max(wait, this->terms.outside_time)) +
      RankOf(members, scope, member) * kRankDelay;
  return now - sighting->second.since >= all;
}

std::vector<EvictRecord> EvictionWatch::Due(const MemberTable& members,
                                            const EvictionScope& scope,
                                            TimePoint now) {
  std::vector<EvictRecord> due;
  std::erase_if(this->tried, [&](const auto& entry) {
    return now - entry.second >= kRetryTime;
  });
  std::ranges::for_each(
      members.members() | std::views::values, [&](const MemberInfo& member) {
        const HostId& host = member.member.host;
        if (this->tried.contains(host) ||
            !this->IsDue(member, members, scope, now)) {
          return;
        }
        this->tried.emplace(host, now);
        due.push_back(EvictRecord{.member = member.member,
                                  .last_renewal = member.last_renewal});
      });
  return due;
}

}  // namespace cicadaloft
