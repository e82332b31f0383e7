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

void DetourLedger::OnConfiguration(const HostId& host,
                                   ConfigurationVersion version,
                                   TimePoint now) {
  this->versions[host] = version;
  if (this->known_versions.empty() ||
      version > this->known_versions.back().version) {
    this->known_versions.push_back({.version = version, .known_since = now});
  }
}

// A host that has just been linked counts as up to date until its first report.
std::set<HostId> DetourLedger::OutdatedHosts(Duration max_age, TimePoint now) {
  const auto is_due = [&](const KnownVersion& known) {
    return now - known.known_since > max_age;
  };
  while (this->known_versions.size() > 1 && is_due(this->known_versions[1])) {
    this->known_versions.pop_front();
  }
  std::set<HostId> hosts;
  if (this->known_versions.empty() || !is_due(this->known_versions.front())) {
    return hosts;
  }
  const ConfigurationVersion required = this->known_versions.front().version;
  for (const auto& [host, version] : this->versions) {
    if (version < required && !this->checking.contains(host)) {
      hosts.insert(host);
    }
  }
  return hosts;
}

void DetourLedger::OnLinkDown(const HostId& host) {
  this->versions.erase(host);
  this->checking.erase(host);
  this->is_changed |= this->offers.erase(host) > 0;
  this->told.erase(host);
}

std::vector<HostDetours> DetourLedger::TakeChanges(TimePoint now,
                                                   Duration report_interval) {
  if (now - this->taken_at < kListInterval) {
    return {};
  }
  this->taken_at = now;
  std::set<HostId> hosts =
      this->OutdatedHosts(kMaxConfigurationAge + report_interval, now);
  this->is_changed |= std::exchange(this->outdated, hosts) != hosts;
  if (!std::exchange(this->is_changed, false)) {
    return {};
  }
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
    if (entry.first != host && entry.second.reaches_targets &&
        !this->outdated.contains(entry.first)) {
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
