#ifndef CICADALOFT_CONTROL_CONTROL_STATE_H_
#define CICADALOFT_CONTROL_CONTROL_STATE_H_

#include <set>
#include <vector>

#include "cicadaloft/control/messages.h"
#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/fleet/fleet_register.h"

namespace cicadaloft {

/// What one host believes of the whole system. It moves through Decide().
class ControlState {
 public:
  friend Step<ControlState, ControlEffect> Decide(ControlState state,
                                                  const ControlEvent& event,
                                                  TimePoint now);

 private:
  void Take(const ConfigurationRead& read);
  void Take(const EvacuationAsked& evacuation);
  void Take(const EvacuationsRead& read);
  void Take(const RecordRefused& refused);
  void Take(const OperatorReachable& reachable);
  void Take(const FleetEvent& event);
  void Take(const ModelWanted& wanted);
  void Take(const ControlTick& tick);

  void TellFleet();
  void TellEvacuations();
  void Tell(EntryEvent event);

  TimePoint now{};
  std::vector<ControlEffect> effects;
  ActiveConfigurationPtr configuration;
  std::set<DataCentreId> evacuated;
  FleetRegister fleet_register;
  bool is_operator_reachable = false;
  bool has_shares = false;
};

Step<ControlState, ControlEffect> Decide(ControlState state,
                                         const ControlEvent& event,
                                         TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_CONTROL_STATE_H_
