#include "cicadaloft/detour/helping_hosts.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace cicadaloft {

void HelpingHosts::Replace(std::vector<DetourHost> hosts) {
  this->known_hosts = std::move(hosts);
  std::erase_if(this->uses, [this](const auto& entry) {
    return entry.second.in_flight == 0 &&
           std::ranges::find(this->known_hosts, entry.first,
                             &DetourHost::host) == this->known_hosts.end();
  });
}

std::optional<DetourHost> HelpingHosts::Choose(const std::set<HostId>& tried,
                                               TimePoint now) const {
  const auto use_of = [this](const DetourHost& host) {
    const auto found = this->uses.find(host.host);
    return found == this->uses.end() ? Use{} : found->second;
  };
  std::vector<DetourHost> usable;
  std::ranges::copy_if(this->known_hosts, std::back_inserter(usable),
                       [&](const DetourHost& host) {
                         return !tried.contains(host.host) &&
                                now >= use_of(host).left_out_until;
                       });
  const auto best = std::ranges::min_element(usable, {}, [&](const auto& host) {
    const Use use = use_of(host);
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
}

void HelpingHosts::OnAnswer(const HostId& host, bool states_configuration) {
  this->uses[host].states_configuration = states_configuration;
}

}  // namespace cicadaloft
