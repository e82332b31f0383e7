#ifndef CICADALOFT_ALIGNMENT_CONFIGURATION_ALIGNMENT_H_
#define CICADALOFT_ALIGNMENT_CONFIGURATION_ALIGNMENT_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// The comparisons of this host's configuration with those of other hosts.
class ConfigurationAlignment {
 public:
  /// For one comparison; a host that takes longer is frozen, or cut off.
  static constexpr Duration kTimeout = std::chrono::milliseconds(250);
  /// After a comparison that has failed.
  static constexpr Duration kBackoff = std::chrono::seconds(1);
  /// Hosts that are kept; others aren't compared with. The hosts state their
  /// names themselves.
  static constexpr std::size_t kMaxHosts = 1024;

  /// @return whether a comparison with the host may begin.
  bool MayBegin(const HostId& host, TimePoint now) const;
  /// @param stated the version that the host is known to have.
  /// @param sent the version that it is sent; 0: none.
  void OnBegun(const HostId& host,
               ConfigurationVersion stated,
               ConfigurationVersion sent = {});
  /// @param version that the host has now; none: the comparison has failed. So
  /// it has if the host doesn't adopt what it was sent.
  void OnEnded(const HostId& host,
               const std::optional<ConfigurationVersion>& version,
               TimePoint now);

  bool IsRunning(const HostId& host) const;
  /// @return whether a running comparison is expected to bring this version, or
  /// a later one.
  bool IsExpecting(ConfigurationVersion version) const;
  /// @return the version that the host had after the last comparison.
  ConfigurationVersion KnownVersion(const HostId& host) const;

 private:
  struct Comparison {
    /// That the host stated for the running comparison; none: none is running.
    std::optional<ConfigurationVersion> expected;
    ConfigurationVersion sent;  ///< In the last comparison.
    ConfigurationVersion known;
    TimePoint not_before{};
  };

  std::map<HostId, Comparison> comparisons;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ALIGNMENT_CONFIGURATION_ALIGNMENT_H_
