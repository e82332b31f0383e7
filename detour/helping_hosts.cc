#include "cicadaloft/detour/helping_hosts.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace cicadaloft {

void HelpingHosts::Replace(std::vector<DetourHost> hosts) {
  const auto is_listed = [&](const HostId& id) {
    return std::ranges::find(hosts, id, &DetourHost::host) != hosts.end();
  };
  std::vector<UnlistedHost> unlisted;
  for (const DetourHost& host : this->known_hosts) {
    if (!is_listed(host.host)) {
      unlisted.push_back({.host = host});
    }
  }
  std::ranges::copy_if(
      this->unlisted_hosts, std::back_inserter(unlisted),
      [&](const UnlistedHost& entry) { return !is_listed(entry.host.host); });
  unlisted.resize(std::min(unlisted.size(), kMaxUnlistedHosts));
  this->known_hosts = std::move(hosts);
  this->unlisted_hosts = std::move(unlisted);
  std::erase_if(this->uses, [this](const auto& entry) {
    const auto has_id = [&](const UnlistedHost& item) {
      return item.host.host == entry.first;
    };
    return entry.second.in_flight == 0 &&
           std::ranges::find(this->known_hosts, entry.first,
                             &DetourHost::host) == this->known_hosts.end() &&
           std::ranges::none_of(this->unlisted_hosts, has_id);
  });
}

std::size_t HelpingHosts::size() const {
  return this->known_hosts.size() +
         static_cast<std::size_t>(std::ranges::count(
             this->unlisted_hosts, true, &UnlistedHost::is_confirmed));
}

std::vector<DetourHost> HelpingHosts::UnconfirmedHosts(TimePoint now) const {
  std::vector<DetourHost> hosts;
  for (const UnlistedHost& entry : this->unlisted_hosts) {
    if (!entry.is_confirmed &&
        now >= this->UseOf(entry.host.host).left_out_until) {
      hosts.push_back(entry.host);
    }
  }
  return hosts;
}

void HelpingHosts::OnCompared(const HostId& host,
                              bool reaches_targets,
                              TimePoint now) {
  for (UnlistedHost& entry : this->unlisted_hosts) {
    if (entry.host.host == host) {
      entry.is_confirmed = reaches_targets;
      if (!reaches_targets) {
        this->uses[host].left_out_until = now + kFailureBackoff;
      }
    }
  }
}

void HelpingHosts::Forget(const HostId& host) {
  std::erase_if(this->unlisted_hosts, [&](const UnlistedHost& entry) {
    return entry.host.host == host;
  });
}

HelpingHosts::Use HelpingHosts::UseOf(const HostId& host) const {
  const auto found = this->uses.find(host);
  return found == this->uses.end() ? Use{} : found->second;
}

std::optional<DetourHost> HelpingHosts::Choose(const std::set<HostId>& tried,
                                               TimePoint now) const {
  const auto is_usable = [&](const DetourHost& host) {
    return !tried.contains(host.host) &&
           now >= this->UseOf(host.host).left_out_until;
  };
  std::vector<DetourHost> usable;
  std::ranges::copy_if(this->known_hosts, std::back_inserter(usable),
                       is_usable);
  if (usable.empty()) {
    for (const UnlistedHost& entry : this->unlisted_hosts) {
      if (entry.is_confirmed && is_usable(entry.host)) {
        usable.push_back(entry.host);
      }
    }
  }
  const auto best = std::ranges::min_element(usable, {}, [&](const auto& host) {
    const Use use = this->UseOf(host.host);
    return std::tuple(!use.states_configuration, use.in_flight,
                      use.last_number);
  });
  return best == usable.end() ? std::nullopt : std::optional(*best);
}

void HelpingHosts::OnSent(const HostId& host) {
  Use& use = this->uses[host];
  ++use.in_flight;
  use.last_number = ++this->last_number;
}

void HelpingHosts::OnEnded(const HostId& host) {
  const auto found = this->uses.find(host);
  if (found != this->uses.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

void HelpingHosts::OnFailure(const HostId& host, TimePoint now) {
  this->uses[host].left_out_until = now + kFailureBackoff;
  for (UnlistedHost& entry : this->unlisted_hosts) {
    entry.is_confirmed &= entry.host.host != host;
  }
}

void HelpingHosts::OnUnreachable(const HostId& host, TimePoint now) {
  this->OnFailure(host, now);
  this->Forget(host);
}

void HelpingHosts::OnAnswer(const HostId& host, bool states_configuration) {
  this->uses[host].states_configuration = states_configuration;
}

}  // namespace cicadaloft
