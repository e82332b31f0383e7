#include "relay.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <ranges>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

constexpr std::size_t kKeptRecords = 5000;
/// Records in one message at most.
constexpr std::size_t kMaxRelayed = 500;
/// Records that have not shown in a peer's position are sent again.
constexpr Duration kResendTime = std::chrono::seconds(1);

/// @return whether no other linked reader of the log comes before `self` for
/// this peer, so that mostly one host relays to it.
bool IsRelayFor(const LinkBook& links, const HostId& self, const HostId& peer) {
  const std::optional<DataCentreId> there = links.DataCentreOf(peer);
  const std::uint64_t own = RendezvousWeight(peer.value(), self.value());
  return std::ranges::none_of(links.positions(), [&](const auto& other) {
    return other.second.log_reachable &&
           links.DataCentreOf(other.first) == there &&
           RendezvousWeight(peer.value(), other.first.value()) > own;
  });
}

}  // namespace

void Relay::Note(const Advance& advance) {
  if (advance.has_jumped) {
    this->recent.clear();
  }
  std::ranges::copy(advance.applied, std::back_inserter(this->recent));
  while (this->recent.size() > kKeptRecords) {
    this->recent.pop_front();
  }
}

LinkMessage Relay::Answer(LogOffset from, const Ledger& ledger) const {
  const bool is_at_hand =
      from >= ledger.next() ||
      (!this->recent.empty() && this->recent.front().offset <= from);
  if (!is_at_hand) {
    return StateTransfer{.checkpoint = CheckpointRecord{
                             .offset = ledger.next(),
                             .state = std::make_shared<const Ledger>(ledger)}};
  }
  std::vector<PlacedRecord> records;
  const auto first =
      std::ranges::lower_bound(this->recent, from, {}, &PlacedRecord::offset);
  std::ranges::copy(std::ranges::subrange(first, this->recent.end()) |
                        std::views::take(kMaxRelayed),
                    std::back_inserter(records));
  return RelayRecords{.records = std::move(records), .next = ledger.next()};
}

std::vector<std::pair<HostId, LogOffset>> Relay::Due(const LinkBook& links,
                                                     const HostId& self,
                                                     LogOffset next,
                                                     TimePoint now) {
  std::vector<std::pair<HostId, LogOffset>> due;
  std::ranges::for_each(links.positions(), [&](const auto& entry) {
    const auto& [peer, position] = entry;
    if (position.log_reachable || position.next >= next ||
        !IsRelayFor(links, self, peer)) {
      return;
    }
    const auto before = this->sent.find(peer);
    const bool is_fresh =
        before != this->sent.end() && now - before->second.at < kResendTime;
    const LogOffset from =
        is_fresh ? std::max(before->second.next, position.next) : position.next;
    if (from < next) {
      due.emplace_back(peer, from);
      this->sent.insert_or_assign(peer, Sent{.next = next, .at = now});
    }
  });
  return due;
}

}  // namespace cicadaloft
