#ifndef CICADALOFT_DETOUR_DETOUR_MESSAGES_H_
#define CICADALOFT_DETOUR_DETOUR_MESSAGES_H_

#include <chrono>
#include <compare>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Requests a probe: a health request to the target, or at least a connection.
/// A TargetProbed follows within kTargetProbeTimeout.
struct ProbeTarget {
  const TargetId target;
  const std::string address;

  friend auto operator<=>(const ProbeTarget&, const ProbeTarget&) = default;
  friend bool operator==(const ProbeTarget&, const ProbeTarget&) = default;
};

/// The outcome of a probe.
struct TargetProbed {
  const TargetId target;
  /// A connection was made, or a byte of a response was received.
  const bool is_reached = false;

  friend auto operator<=>(const TargetProbed&, const TargetProbed&) = default;
  friend bool operator==(const TargetProbed&, const TargetProbed&) = default;
};

/// Whether this host reaches targets, on each change and once at the start.
struct TargetReachabilityChanged {
  const bool reaches_targets = true;

  friend auto operator<=>(const TargetReachabilityChanged&,
                          const TargetReachabilityChanged&) = default;
  friend bool operator==(const TargetReachabilityChanged&,
                         const TargetReachabilityChanged&) = default;
};

/// A host that takes forwarded requests.
struct DetourHost {
  HostId host;
  std::string address;  ///< Of its listener for forwarded requests.

  friend auto operator<=>(const DetourHost&, const DetourHost&) = default;
  friend bool operator==(const DetourHost&, const DetourHost&) = default;
};

/// The hosts that this host may send requests to while it reaches no target;
/// they replace all earlier ones.
struct DetourHostsChanged {
  const std::vector<DetourHost> hosts;

  friend auto operator<=>(const DetourHostsChanged&,
                          const DetourHostsChanged&) = default;
  friend bool operator==(const DetourHostsChanged&,
                         const DetourHostsChanged&) = default;
};

/// A host tells the lease holder whether it reaches targets, and where it takes
/// forwarded requests.
struct DetourOffer {
  const HostId host;
  const std::string address;
  const bool reaches_targets = true;

  friend auto operator<=>(const DetourOffer&, const DetourOffer&) = default;
  friend bool operator==(const DetourOffer&, const DetourOffer&) = default;
};

/// The lease holder tells a host who takes its requests while it reaches no
/// target; replaces the earlier list.
struct DetourHosts {
  const std::vector<DetourHost> hosts;

  friend auto operator<=>(const DetourHosts&, const DetourHosts&) = default;
  friend bool operator==(const DetourHosts&, const DetourHosts&) = default;
};

inline constexpr Duration kTargetProbeTimeout = std::chrono::milliseconds(400);

}  // namespace cicadaloft

#endif  // CICADALOFT_DETOUR_DETOUR_MESSAGES_H_
