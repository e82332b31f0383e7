#ifndef CICADALOFT_CONTROL_MESSAGES_H_
#define CICADALOFT_CONTROL_MESSAGES_H_

#include <set>
#include <string>
#include <variant>

#include "cicadaloft/configuration/active_configuration.h"
#include "cicadaloft/core/decision_line.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/fleet/fleet_register.h"

namespace cicadaloft {

/// A configuration has been read.
struct ConfigurationRead {
  ActiveConfigurationPtr configuration;
};

/// The operator asks for a data centre to be emptied, or takes that back.
struct EvacuationAsked {
  DataCentreId data_centre;
  bool is_asked = false;
};

/// All evacuations that are asked for have been read.
struct EvacuationsRead {
  std::set<DataCentreId> data_centres;
};

/// A record that can't be used; the one before it stays in force.
struct RecordRefused {
  std::string topic;
  std::string reason;
};

/// The operator's topic can be read, or not.
struct OperatorReachable {
  bool is_reachable = false;
  std::string reason;
};

/// Comes every kControlTickInterval.
struct ControlTick {};

using ControlEvent = std::variant<ConfigurationRead,
                                  EvacuationAsked,
                                  EvacuationsRead,
                                  RecordRefused,
                                  OperatorReachable,
                                  FleetEvent,
                                  ModelWanted,
                                  ControlTick>;

/// For the host's entry.
struct TellEntry {
  EntryEvent event;
};

using ControlEffect = std::variant<TellEntry, DecisionLine>;

inline constexpr Duration kControlTickInterval = std::chrono::milliseconds(50);

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_MESSAGES_H_
