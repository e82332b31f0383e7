#ifndef CICADALOFT_DETOUR_DETOUR_LEDGER_H_
#define CICADALOFT_DETOUR_DETOUR_LEDGER_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/detour/detour_messages.h"

namespace cicadaloft {

/// The hosts that may help one host.
struct HostDetours {
  HostId host;
  std::vector<DetourHost> helping;

  friend auto operator<=>(const HostDetours&, const HostDetours&) = default;
  friend bool operator==(const HostDetours&, const HostDetours&) = default;
};

/// The lease holder's knowledge of which hosts can help others.
class DetourLedger {
 public:
  /// Bounds the message to a host, and the work of the lease holder.
  static constexpr std::size_t kMaxHelpingHosts = 8;
  /// Changes within this time are told together: while many hosts are cut off,
  /// each change concerns the lists of many.
  static constexpr Duration kListInterval = std::chrono::milliseconds(200);

  /// Longest time for which a host of an earlier version that takes requests of
  /// others may lack a version of the configuration, besides the interval of
  /// its reports.
  static constexpr Duration kMaxConfigurationAge = std::chrono::seconds(1);

  void OnOffer(const DetourOffer& offer);
  /// A host has this version of the configuration.
  void OnConfiguration(const HostId& host,
                       ConfigurationVersion version,
                       TimePoint now);
  /// The host can't be told anything, and must not be sent requests.
  void OnLinkDown(const HostId& host);

  /// The host decides no request by an older configuration than the one that
  /// has admitted it, so it may be listed also while it is behind.
  void OnVersionCheck(const HostId& host) { this->checking.insert(host); }

  /// @param report_interval at which hosts report their configuration.
  /// @return the lists that have changed since they were last taken, and those
  /// of hosts that have made their first offer since their link went up.
  std::vector<HostDetours> TakeChanges(TimePoint now,
                                       Duration report_interval = {});

 private:
  struct Offer {
    std::string address;
    bool reaches_targets = true;

    friend auto operator<=>(const Offer&, const Offer&) = default;
    friend bool operator==(const Offer&, const Offer&) = default;
  };

  struct KnownVersion {
    ConfigurationVersion version;
    TimePoint known_since{};
  };

  std::vector<DetourHost> HostsFor(const HostId& host) const;
  /// @return the hosts whose configuration is too old to decide for others.
  std::set<HostId> OutdatedHosts(Duration max_age, TimePoint now);

  std::map<HostId, Offer> offers;
  std::map<HostId, std::vector<DetourHost>> told;
  std::map<HostId, ConfigurationVersion> versions;
  std::set<HostId> checking;  ///< They check the versions of requests.
  /// Each newer than the one before. The first is the newest one that hosts
  /// need.
  std::deque<KnownVersion> known_versions;
  std::set<HostId> outdated;
  bool is_changed = false;
  TimePoint taken_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DETOUR_DETOUR_LEDGER_H_
