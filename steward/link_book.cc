#include "link_book.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

/// Links from each host to each other data centre.
constexpr std::size_t kLinksOutside = 2;

using HostsByDataCentre = std::map<DataCentreId, std::vector<HostId>>;

/// @return whether `to` is among those that `from` picks in to's data centre.
bool Picks(const HostId& from,
           const HostId& to,
           const std::vector<HostId>& candidates) {
  const auto weight = [&](const HostId& host) {
    return RendezvousWeight(from.value(), host.value());
  };
  const std::uint64_t own = weight(to);
  const auto better = std::ranges::count_if(
      candidates, [&](const HostId& host) { return weight(host) > own; });
  return static_cast<std::size_t>(better) < kLinksOutside;
}

std::set<HostId> PlacementOwners(const MemberTable& members) {
  std::set<HostId> owners;
  std::ranges::for_each(members.duties(), [&](const auto& duty) {
    if (duty.first.kind == DutyKind::kPlacement) {
      owners.insert(duty.second.owner.host);
    }
  });
  return owners;
}

}  // namespace

LinkBook::LinkBook(HostId self, DataCentreId data_centre)
    : self(std::move(self)), data_centre(std::move(data_centre)) {}

void LinkBook::TakeHostList(const std::vector<HostListEntry>& hosts) {
  this->listed.clear();
  std::ranges::for_each(hosts, [this](const HostListEntry& host) {
    this->listed.insert_or_assign(
        host.host,
        Place{.data_centre = host.data_centre, .address = host.peer_address});
  });
}

std::map<HostId, LinkBook::Place> LinkBook::KnownHosts(
    const MemberTable& members) const {
  std::map<HostId, Place> hosts = this->listed;
  std::ranges::for_each(
      members.members() | std::views::values, [&](const MemberInfo& member) {
        hosts.insert_or_assign(member.member.host,
                               Place{.data_centre = member.data_centre,
                                     .address = member.peer_address});
      });
  hosts.erase(this->self);
  return hosts;
}

std::map<HostId, std::string> LinkBook::Wanted() const {
  HostsByDataCentre by_data_centre;
  by_data_centre[this->data_centre].push_back(this->self);
  std::ranges::for_each(this->known, [&](const auto& host) {
    by_data_centre[host.second.data_centre].push_back(host.first);
  });
  std::map<HostId, std::string> wanted;
  std::ranges::for_each(this->known, [&](const auto& entry) {
    const auto& [host, place] = entry;
    const bool is_linked =
        place.data_centre == this->data_centre || this->owners.contains(host) ||
        this->owners.contains(this->self) ||
        Picks(this->self, host, by_data_centre[place.data_centre]) ||
        Picks(host, this->self, by_data_centre[this->data_centre]);
    if (is_linked && this->self < host) {
      wanted.emplace(host, place.address);
    }
  });
  return wanted;
}

std::vector<HoldLink> LinkBook::Update(const MemberTable& members) {
  std::vector<HoldLink> changes;
  std::map<HostId, Place> hosts = this->KnownHosts(members);
  std::set<HostId> placement_owners = PlacementOwners(members);
  if (hosts == this->known && placement_owners == this->owners) {
    return changes;
  }
  this->known = std::move(hosts);
  this->owners = std::move(placement_owners);
  std::map<HostId, std::string> wanted = this->Wanted();
  const auto add_missing = [&](const auto& from, const auto& in, bool is_held) {
    std::ranges::for_each(from, [&](const auto& link) {
      const auto found = in.find(link.first);
      if (found == in.end() || found->second != link.second) {
        changes.push_back(HoldLink{
            .peer = link.first, .address = link.second, .is_held = is_held});
      }
    });
  };
  add_missing(this->dialled, wanted, false);
  add_missing(wanted, this->dialled, true);
  this->dialled = std::move(wanted);
  return changes;
}

void LinkBook::SetUp(const HostId& peer, bool is_up) {
  if (is_up) {
    this->up.insert(peer);
    return;
  }
  this->up.erase(peer);
  this->peer_positions.erase(peer);
}

void LinkBook::SetPosition(const HostId& peer, const LogPosition& position) {
  if (this->up.contains(peer)) {
    this->peer_positions.erase(peer);
    this->peer_positions.emplace(peer, position);
  }
}

std::optional<DataCentreId> LinkBook::DataCentreOf(const HostId& host) const {
  const auto found = this->known.find(host);
  return found == this->known.end()
             ? std::nullopt
             : std::optional<DataCentreId>(found->second.data_centre);
}

std::optional<SendPeer> LinkBook::Route(const Envelope& envelope) const {
  if (this->IsUp(envelope.to)) {
    return SendPeer{.envelope = envelope};
  }
  const std::optional<DataCentreId> there = this->DataCentreOf(envelope.to);
  if (!there.has_value()) {
    return std::nullopt;
  }
  const auto is_mate_of_it = [&](const HostId& peer) {
    return this->DataCentreOf(peer) == there;
  };
  const auto via = std::ranges::find_if(this->up, is_mate_of_it);
  if (via == this->up.end()) {
    return std::nullopt;
  }
  return SendPeer{.envelope = envelope, .via = *via};
}

}  // namespace cicadaloft
