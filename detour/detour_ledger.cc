#include "cicadaloft/detour/detour_ledger.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <utility>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {

void DetourLedger::OnOffer(const DetourOffer& offer) {
  const Offer known{.address = offer.address,
                    .reaches_targets = offer.reaches_targets};
  const auto [entry, is_new] = this->offers.try_emplace(offer.host, known);
  this->is_changed |= is_new || std::exchange(entry->second, known) != known;
}

void DetourLedger::OnLinkDown(const HostId& host) {
  this->is_changed |= this->offers.erase(host) > 0;
  this->told.erase(host);
}

std::vector<HostDetours> DetourLedger::TakeChanges(TimePoint now) {
  if (!this->is_changed || now - this->taken_at < kListInterval) {
    return {};
  }
  this->is_changed = false;
  this->taken_at = now;
  std::vector<HostDetours> changes;
  for (const auto& [host, offer] : this->offers) {
    std::vector<DetourHost> hosts = this->HostsFor(host);
    const auto [entry, is_new] = this->told.try_emplace(host);
    if (is_new || entry->second != hosts) {
      entry->second = hosts;
      changes.push_back(HostDetours{.host = host, .helping = std::move(hosts)});
    }
  }
  return changes;
}

std::vector<DetourHost> DetourLedger::HostsFor(const HostId& host) const {
  using Entry = decltype(this->offers)::value_type;
  std::vector<std::pair<std::uint64_t, const Entry*>> weighted;
  for (const Entry& entry : this->offers) {
    if (entry.first != host && entry.second.reaches_targets) {
      weighted.emplace_back(RendezvousWeight(host.value(), entry.first.value()),
                            &entry);
    }
  }
  const auto count = std::min(kMaxHelpingHosts, weighted.size());
  std::ranges::partial_sort(
      weighted, weighted.begin() + static_cast<std::ptrdiff_t>(count),
      std::ranges::greater{}, [](const auto& item) { return item.first; });
  weighted.resize(count);
  std::vector<DetourHost> hosts;
  std::ranges::transform(
      weighted, std::back_inserter(hosts), [](const auto& item) {
        return DetourHost{.host = item.second->first,
                          .address = item.second->second.address};
      });
  return hosts;
}

}  // namespace cicadaloft
