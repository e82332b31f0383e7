#ifndef CICADALOFT_CONTROL_TESTS_SIMULATION_HOOKS_H_
#define CICADALOFT_CONTROL_TESTS_SIMULATION_HOOKS_H_

#include <functional>

#include "cicadaloft/control/messages.h"
#include "cicadaloft/entry/messages.h"

namespace cicadaloft {

/// What a test sees of a HostsSimulation, and does in its place.
struct SimulationHooks {
  /// Sees the effects of each host's control, if set.
  std::function<void(const HostId&, const ControlEffect&)> on_effect;
  /// Runs attempts in place of the target that answers all requests, if set.
  std::function<void(const HostId&, const Dispatch&)> run_attempt;
  /// Sees the effects of each host's entry, if set.
  std::function<void(const HostId&, const EntryEffect&)> on_entry_effect;
  /// Tells whether a host can connect to a target. It can if this isn't set.
  std::function<bool(const HostId&, const TargetId&)> reaches_target;
  /// Executes orders of target counts and ends them, if set.
  std::function<void(const HostId&, const OrderTargetCount&)> order_targets;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_SIMULATION_HOOKS_H_
