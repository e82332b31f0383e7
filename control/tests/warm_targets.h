#ifndef CICADALOFT_CONTROL_TESTS_WARM_TARGETS_H_
#define CICADALOFT_CONTROL_TESTS_WARM_TARGETS_H_

#include <cstddef>
#include <optional>

#include "hosts_simulation.h"
#include "simulated_targets.h"

namespace cicadaloft {

/// Host counts of the smallest site, of a grown site and of the planned one.
inline constexpr std::size_t kHostCounts[] = {6, 76, 360};
inline constexpr std::size_t kTargetCount = 40;
inline constexpr double kRequestsPerSecond = 200;
inline constexpr double kDeadlyFraction = 0.03;

/// The shortest stability window of the sites.
inline constexpr Duration kStabilityWindow = seconds(3);
/// Deadly requests that may reach targets later than that after the fifth
/// crash.
inline constexpr std::size_t kMaxDeadlyArrivals = 3;
/// Sound requests must be served at least half as often as without crashes.
inline constexpr double kMinServedRatio = 0.5;

/// Hosts with targets that have served requests for some seconds.
struct WarmTargets {
  explicit WarmTargets(std::size_t hosts)
      : simulation(hosts, SharedLimit{.rate_per_second = 4e6, .burst = 4e6}) {
    this->simulation.RunFor(seconds(10));
    this->targets.emplace(this->simulation, kTargetCount);
    this->simulation.RunFor(seconds(1));
    this->targets->SendRequestsFor(seconds(5), kRequestsPerSecond, 0);
  }

  HostsSimulation simulation;
  std::optional<SimulatedTargets> targets;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_WARM_TARGETS_H_
