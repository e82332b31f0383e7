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
  const ActiveConfigurationPtr configuration;

  friend auto operator<=>(const ConfigurationRead&,
                          const ConfigurationRead&) = default;
  friend bool operator==(const ConfigurationRead&,
                         const ConfigurationRead&) = default;
};

/// The operator asks for a data centre to be emptied, or takes that back.
struct EvacuationAsked {
  const DataCentreId data_centre;
  const bool is_asked = false;

  friend auto operator<=>(const EvacuationAsked&,
                          const EvacuationAsked&) = default;
  friend bool operator==(const EvacuationAsked&,
                         const EvacuationAsked&) = default;
};

/// All evacuations that are asked for have been read.
struct EvacuationsRead {
  const std::set<DataCentreId> data_centres;

  friend auto operator<=>(const EvacuationsRead&,
                          const EvacuationsRead&) = default;
  friend bool operator==(const EvacuationsRead&,
                         const EvacuationsRead&) = default;
};

/// A record that can't be used; the one before it stays in force.
struct RecordRefused {
  const std::string topic;
  const std::string reason;

  friend auto operator<=>(const RecordRefused&, const RecordRefused&) = default;
  friend bool operator==(const RecordRefused&, const RecordRefused&) = default;
};

/// The operator's topic can be read, or not.
struct OperatorReachable {
  const bool is_reachable = false;
  const std::string reason;

  friend auto operator<=>(const OperatorReachable&,
                          const OperatorReachable&) = default;
  friend bool operator==(const OperatorReachable&,
                         const OperatorReachable&) = default;
};

/// A link to another host is up or down.
struct PeerChanged {
  const HostId host;
  const bool is_up = false;

  friend auto operator<=>(const PeerChanged&, const PeerChanged&) = default;
  friend bool operator==(const PeerChanged&, const PeerChanged&) = default;
};

/// A message of another host, or of this one to itself.
struct PeerReceived {
  const HostId host;
  const PeerMessage message;

  friend auto operator<=>(const PeerReceived&, const PeerReceived&) = default;
  friend bool operator==(const PeerReceived&, const PeerReceived&) = default;
};

/// This host stops.
struct ControlStop {
  friend auto operator<=>(const ControlStop&, const ControlStop&) = default;
  friend bool operator==(const ControlStop&, const ControlStop&) = default;
};

/// Comes every kControlTickInterval.
struct ControlTick {
  friend auto operator<=>(const ControlTick&, const ControlTick&) = default;
  friend bool operator==(const ControlTick&, const ControlTick&) = default;
};

using ControlEvent = std::variant<ConfigurationRead,
                                  EvacuationAsked,
                                  EvacuationsRead,
                                  RecordRefused,
                                  OperatorReachable,
                                  FleetEvent,
                                  ModelLoadRequest,
                                  UsageReport,
                                  QuotaRequest,
                                  WarmupRequest,
                                  TargetCrashReport,
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
  const EntryEvent event;

  friend auto operator<=>(const TellEntry&, const TellEntry&) = default;
  friend bool operator==(const TellEntry&, const TellEntry&) = default;
};

/// Read the operator's topic as a whole now.
struct ReadOperatorAgain {
  friend auto operator<=>(const ReadOperatorAgain&,
                          const ReadOperatorAgain&) = default;
  friend bool operator==(const ReadOperatorAgain&,
                         const ReadOperatorAgain&) = default;
};

/// Keep a link to this holder, and to no other.
struct LinkToHolder {
  const LeaseRecord holder;

  friend auto operator<=>(const LinkToHolder&, const LinkToHolder&) = default;
  friend bool operator==(const LinkToHolder&, const LinkToHolder&) = default;
};

/// For the holder, over the link to it.
struct TellHolder {
  const PeerMessage message;

  friend auto operator<=>(const TellHolder&, const TellHolder&) = default;
  friend bool operator==(const TellHolder&, const TellHolder&) = default;
};

/// From the holder, for one host that has a link to it.
struct TellHost {
  const HostId host;
  const PeerMessage message;

  friend auto operator<=>(const TellHost&, const TellHost&) = default;
  friend bool operator==(const TellHost&, const TellHost&) = default;
};

/// From the holder, for all hosts that have a link to it.
struct TellAllHosts {
  const PeerMessage message;

  friend auto operator<=>(const TellAllHosts&, const TellAllHosts&) = default;
  friend bool operator==(const TellAllHosts&, const TellAllHosts&) = default;
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
