#ifndef CICADALOFT_CONTROL_MESSAGES_H_
#define CICADALOFT_CONTROL_MESSAGES_H_

#include <set>
#include <string>
#include <variant>

#include "cicadaloft/configuration/active_configuration.h"
#include "cicadaloft/core/decision_line.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/fleet/fleet_register.h"
#include "cicadaloft/lease/messages.h"
#include "cicadaloft/peering/messages.h"
#include "cicadaloft/placement/messages.h"

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

/// A link to another host is up or down.
struct PeerChanged {
  HostId host;
  bool is_up = false;
};

/// A message of another host, or of this one to itself.
struct PeerReceived {
  HostId host;
  PeerMessage message;
};

/// This host stops.
struct ControlStop {};

/// Comes every kControlTickInterval.
struct ControlTick {};

using ControlEvent = std::variant<ConfigurationRead,
                                  EvacuationAsked,
                                  EvacuationsRead,
                                  RecordRefused,
                                  OperatorReachable,
                                  FleetEvent,
                                  ModelWanted,
                                  UsageMeasured,
                                  DeathNoticed,
                                  LeaseEvent,
                                  OrderEnded,
                                  ReportRead,
                                  ReportFailed,
                                  PeerChanged,
                                  PeerReceived,
                                  ControlStop,
                                  ControlTick>;

/// For the host's entry.
struct TellEntry {
  EntryEvent event;
};

/// Read the operator's topic as a whole now.
struct ReadOperatorAgain {};

/// Keep a link to this holder, and to no other.
struct LinkToHolder {
  LeaseRecord holder;
};

/// For the holder, over the link to it.
struct TellHolder {
  PeerMessage message;
};

/// From the holder, for one host that has a link to it.
struct TellHost {
  HostId host;
  PeerMessage message;
};

/// From the holder, for all hosts that have a link to it.
struct TellAllHosts {
  PeerMessage message;
};

using ControlEffect = std::variant<TellEntry,
                                   ReadOperatorAgain,
                                   LinkToHolder,
                                   TellHolder,
                                   TellHost,
                                   TellAllHosts,
                                   ReadLeaseLog,
                                   AppendLease,
                                   SendOrder,
                                   AskReport,
                                   DecisionLine>;

inline constexpr Duration kControlTickInterval = std::chrono::milliseconds(20);

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_MESSAGES_H_
