#ifndef CICADALOFT_SCALING_MESSAGES_H_
#define CICADALOFT_SCALING_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/duties/messages.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/placement/messages.h"

namespace cicadaloft {

/// One host's load by service, for the services whose number of targets is
/// ordered. Also sent when all values are 0: the lease holder orders nothing
/// before its hosts have reported.
struct ServiceLoadReport {
  const HostId host;
  const std::vector<ServiceLoad> loads;

  friend auto operator<=>(const ServiceLoadReport&,
                          const ServiceLoadReport&) = default;
  friend bool operator==(const ServiceLoadReport&,
                         const ServiceLoadReport&) = default;
};

/// This host may order numbers of targets from now on, with this token.
struct ScalingStarted {
  const FencingToken token;
  /// This host also held the previous lease, and no other host has sent orders
  /// since: what it has ordered is still in force.
  const bool is_state_current = false;

  friend auto operator<=>(const ScalingStarted&,
                          const ScalingStarted&) = default;
  friend bool operator==(const ScalingStarted&,
                         const ScalingStarted&) = default;
};

/// This host must order nothing more.
struct ScalingStopped {
  friend auto operator<=>(const ScalingStopped&,
                          const ScalingStopped&) = default;
  friend bool operator==(const ScalingStopped&,
                         const ScalingStopped&) = default;
};

struct ScalingTick {
  /// Hosts that have been there within the last minute.
  const std::uint32_t host_count = 1;
  /// Hosts with a link to this one, and this one.
  const std::uint32_t linked_host_count = 1;

  friend auto operator<=>(const ScalingTick&, const ScalingTick&) = default;
  friend bool operator==(const ScalingTick&, const ScalingTick&) = default;
};

using ScalingEvent = std::variant<ScalingStarted,
                                  ScalingStopped,
                                  ConfigurationChanged,
                                  EvacuationsChanged,
                                  FleetChanged,
                                  ServiceLoadReport,
                                  ModelUsageReport,
                                  TargetCountOrderEnded,
                                  ScalingTick>;

/// Targets of one service in one data centre.
struct TargetCount {
  ServiceId service;
  DataCentreId data_centre;
  std::uint32_t running = 0;             ///< Without those that leave.
  std::optional<std::uint32_t> ordered;  ///< The last order in force, if known.

  friend auto operator<=>(const TargetCount&, const TargetCount&) = default;
  friend bool operator==(const TargetCount&, const TargetCount&) = default;
};

/// The numbers of targets have changed. Empty while this host orders none.
struct TargetCountsChanged {
  std::vector<TargetCount> counts;

  friend auto operator<=>(const TargetCountsChanged&,
                          const TargetCountsChanged&) = default;
  friend bool operator==(const TargetCountsChanged&,
                         const TargetCountsChanged&) = default;
};

using ScalingEffect =
    std::variant<OrderTargetCount, TargetCountsChanged, DecisionRecord>;

}  // namespace cicadaloft

#endif  // CICADALOFT_SCALING_MESSAGES_H_
