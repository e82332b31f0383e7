#include "cicadaloft/alignment/configuration_alignment.h"

#include <algorithm>
#include <ranges>

namespace cicadaloft {

bool ConfigurationAlignment::MayBegin(const HostId& host, TimePoint now) const {
  const auto found = this->comparisons.find(host);
  return found == this->comparisons.end()
             ? this->comparisons.size() < kMaxHosts
             : !found->second.expected && now >= found->second.not_before;
}

void ConfigurationAlignment::OnBegun(const HostId& host,
                                     ConfigurationVersion stated,
                                     ConfigurationVersion sent) {
  Comparison& comparison = this->comparisons[host];
  comparison.expected = stated;
  comparison.sent = sent;
}

void ConfigurationAlignment::OnEnded(
    const HostId& host,
    const std::optional<ConfigurationVersion>& version,
    TimePoint now) {
  const auto found = this->comparisons.find(host);
  if (found == this->comparisons.end()) {
    return;
  }
  Comparison& comparison = found->second;
  comparison.expected.reset();
  if (version) {
    comparison.known = *version;
  }
  if (!version || *version < comparison.sent) {
    comparison.not_before = now + kBackoff;
  }
}

bool ConfigurationAlignment::IsRunning(const HostId& host) const {
  const auto found = this->comparisons.find(host);
  return found != this->comparisons.end() && found->second.expected;
}

bool ConfigurationAlignment::IsExpecting(ConfigurationVersion version) const {
  return std::ranges::any_of(
      this->comparisons | std::views::values, [&](const Comparison& item) {
        return item.expected && *item.expected >= version;
      });
}

ConfigurationVersion ConfigurationAlignment::KnownVersion(
    const HostId& host) const {
  const auto found = this->comparisons.find(host);
  return found == this->comparisons.end() ? ConfigurationVersion()
                                          : found->second.known;
}

}  // namespace cicadaloft
