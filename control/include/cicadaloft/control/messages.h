#ifndef CICADALOFT_CONTROL_MESSAGES_H_
#define CICADALOFT_CONTROL_MESSAGES_H_

#include <set>
#include <string>
#include <variant>

#include "cicadaloft/configuration/active_configuration.h"
#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/fleet/fleet_tracker.h"
#include "cicadaloft/lease/messages.h"
#include "cicadaloft/peering/messages.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/relay/messages.h"
#include "cicadaloft/scaling/messages.h"
#include "cicadaloft/store/messages.h"
#include "cicadaloft/usage/messages.h"

namespace cicadaloft {

/// A valid configuration was read from the store.
struct ConfigurationRead {
  const ActiveConfigurationPtr configuration;

  friend auto operator<=>(const ConfigurationRead&,
                          const ConfigurationRead&) = default;
  friend bool operator==(const ConfigurationRead&,
                         const ConfigurationRead&) = default;
};

/// The operator requests the evacuation of a data centre, or withdraws the
/// request.
struct EvacuationRequest {
  const DataCentreId data_centre;
  const bool is_requested = false;

  friend auto operator<=>(const EvacuationRequest&,
                          const EvacuationRequest&) = default;
  friend bool operator==(const EvacuationRequest&,
                         const EvacuationRequest&) = default;
};

/// All evacuations that are requested now have been read.
struct EvacuationsRead {
  const std::set<DataCentreId> data_centres;
  /// The topic has come back from an older copy since it was read last.
  const bool is_restored = false;
  const bool is_relayed = false;  ///< The lease holder has read them.

  friend auto operator<=>(const EvacuationsRead&,
                          const EvacuationsRead&) = default;
  friend bool operator==(const EvacuationsRead&,
                         const EvacuationsRead&) = default;
};

/// A record is not valid; the previous one stays in force.
struct RecordRejected {
  const std::string topic;
  const std::string reason;

  friend auto operator<=>(const RecordRejected&,
                          const RecordRejected&) = default;
  friend bool operator==(const RecordRejected&,
                         const RecordRejected&) = default;
};

/// Whether the operator's topic can be read: the topic of the store that holds
/// the configuration and the evacuations.
struct OperatorTopicReachability {
  const bool is_reachable = false;
  const std::string reason;

  friend auto operator<=>(const OperatorTopicReachability&,
                          const OperatorTopicReachability&) = default;
  friend bool operator==(const OperatorTopicReachability&,
                         const OperatorTopicReachability&) = default;
};

/// A link to another host went up or down.
struct PeerLinkChanged {
  const HostId host;
  const bool is_up = false;

  friend auto operator<=>(const PeerLinkChanged&,
                          const PeerLinkChanged&) = default;
  friend bool operator==(const PeerLinkChanged&,
                         const PeerLinkChanged&) = default;
};

/// A message from another host, or from this one to itself.
struct PeerReceived {
  const HostId host;
  const PeerMessage message;

  friend auto operator<=>(const PeerReceived&, const PeerReceived&) = default;
  friend bool operator==(const PeerReceived&, const PeerReceived&) = default;
};

/// This host shuts down.
struct ControlStop {
  friend auto operator<=>(const ControlStop&, const ControlStop&) = default;
  friend bool operator==(const ControlStop&, const ControlStop&) = default;
};

/// Sent every kControlTickInterval.
struct ControlTick {
  friend auto operator<=>(const ControlTick&, const ControlTick&) = default;
  friend bool operator==(const ControlTick&, const ControlTick&) = default;
};

using ControlEvent = std::variant<ConfigurationRead,
                                  EvacuationRequest,
                                  EvacuationsRead,
                                  RecordRejected,
                                  OperatorTopicReachability,
                                  FleetEvent,
                                  RegistryCaughtUp,
                                  StoreEraSeen,
                                  StoreRead,
                                  SnapshotRead,
                                  ModelLoadRequest,
                                  UsageReport,
                                  QuotaRequest,
                                  WarmupRequest,
                                  CrashEvidence,
                                  PoisonRefutation,
                                  TargetLeavingReport,
                                  QuotaHistory,
                                  TargetReachabilityChanged,
                                  ConfigurationHeard,
                                  ConfigurationReceived,
                                  LeaseEvent,
                                  UsageEvent,
                                  OrderEnded,
                                  TargetReportReceived,
                                  TargetReportFailed,
                                  TargetCountOrderEnded,
                                  PeerLinkChanged,
                                  PeerReceived,
                                  ControlStop,
                                  ControlTick>;

/// Send an event to this host's entry.
struct SendToEntry {
  const EntryEvent event;

  friend auto operator<=>(const SendToEntry&, const SendToEntry&) = default;
  friend bool operator==(const SendToEntry&, const SendToEntry&) = default;
};

/// Read the whole operator's topic again now.
struct RereadOperatorTopic {
  friend auto operator<=>(const RereadOperatorTopic&,
                          const RereadOperatorTopic&) = default;
  friend bool operator==(const RereadOperatorTopic&,
                         const RereadOperatorTopic&) = default;
};

/// The store has come back from an older copy: read all topics again now,
/// unless that has been done in this era or a later one.
struct RereadTopics {
  StoreEra era;

  friend auto operator<=>(const RereadTopics&, const RereadTopics&) = default;
  friend bool operator==(const RereadTopics&, const RereadTopics&) = default;
};

/// Read a snapshot of the operator's topic for hosts that have asked for it. A
/// SnapshotRead follows.
struct ReadSnapshot {
  friend auto operator<=>(const ReadSnapshot&, const ReadSnapshot&) = default;
  friend bool operator==(const ReadSnapshot&, const ReadSnapshot&) = default;
};

/// Keep a link to this holder, and to no other host.
struct ConnectToHolder {
  const LeaseRecord record;

  friend auto operator<=>(const ConnectToHolder&,
                          const ConnectToHolder&) = default;
  friend bool operator==(const ConnectToHolder&,
                         const ConnectToHolder&) = default;
};

/// Send a message to the holder over the link to it.
struct SendToHolder {
  const PeerMessage message;

  friend auto operator<=>(const SendToHolder&, const SendToHolder&) = default;
  friend bool operator==(const SendToHolder&, const SendToHolder&) = default;
};

/// Send a message from the holder to one connected host.
struct SendToHost {
  const HostId host;
  const PeerMessage message;

  friend auto operator<=>(const SendToHost&, const SendToHost&) = default;
  friend bool operator==(const SendToHost&, const SendToHost&) = default;
};

/// Send a message from the holder to all connected hosts.
struct SendToAllHosts {
  const PeerMessage message;

  friend auto operator<=>(const SendToAllHosts&,
                          const SendToAllHosts&) = default;
  friend bool operator==(const SendToAllHosts&,
                         const SendToAllHosts&) = default;
};

/// Send a message from the holder to some of the connected hosts.
struct SendToHosts {
  const std::set<HostId> hosts;
  const PeerMessage message;

  friend auto operator<=>(const SendToHosts&, const SendToHosts&) = default;
  friend bool operator==(const SendToHosts&, const SendToHosts&) = default;
};

using ControlEffect = std::variant<SendToEntry,
                                   RereadOperatorTopic,
                                   RereadTopics,
                                   ConnectToHolder,
                                   SendToHolder,
                                   SendToHost,
                                   SendToAllHosts,
                                   SendToHosts,
                                   RelayReceived,
                                   SnapshotReceived,
                                   ReadSnapshot,
                                   RelayRole,
                                   ReadLeaseLog,
                                   AppendLeaseRecord,
                                   SendOrder,
                                   RequestTargetReport,
                                   OrderTargetCount,
                                   TargetCountsChanged,
                                   StoreLoadLimitChanged,
                                   ReadUsageTopic,
                                   AppendUsageRecord,
                                   SendUsageReport,
                                   CountUsageWindow,
                                   DecisionRecord>;

inline constexpr Duration kControlTickInterval = std::chrono::milliseconds(20);
inline constexpr Duration kDefaultRelayInterval =
    std::chrono::milliseconds(400);

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_MESSAGES_H_
