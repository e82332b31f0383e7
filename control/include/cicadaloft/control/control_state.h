#ifndef CICADALOFT_CONTROL_CONTROL_STATE_H_
#define CICADALOFT_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/admission/share_ledger.h"
#include "cicadaloft/configuration/configuration_lag.h"
#include "cicadaloft/control/evacuation_tracker.h"
#include "cicadaloft/control/messages.h"
#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/detour/detour_ledger.h"
#include "cicadaloft/fleet/fleet_tracker.h"
#include "cicadaloft/lease/lease_state.h"
#include "cicadaloft/placement/placement_state.h"
#include "cicadaloft/poison/poison_ledger.h"
#include "cicadaloft/relay/relay_publisher.h"
#include "cicadaloft/relay/snapshot_queue.h"
#include "cicadaloft/scaling/scaling_state.h"
#include "cicadaloft/usage/usage_settings.h"
#include "cicadaloft/usage/usage_state.h"
#include "cicadaloft/warmup/warmup_ledger.h"

namespace cicadaloft {

/// One host's view of the whole system, and the duties that the lease holder
/// does for all hosts: it places models, orders numbers of targets, divides
/// customers' limits and grants warm-up requests. Changes only through
/// Decide().
class ControlState {
 public:
  /// @param lease_settings identity of this host and times of the lease.
  /// @param limit_window the window over which customers' limits hold.
  /// @param relay_interval at which the lease holder relays what it reads from
  /// the store.
  /// @param usage_settings none if the platform wants no usage reports.
  /// @param orders_target_counts whether the lease holder orders the number of
  /// targets of services with `scaling`.
  /// @param forward_address where other hosts reach this host's listener for
  /// forwarded requests; empty if it takes none, and then it offers none.
  ControlState(const LeaseSettings& lease_settings,
               Duration limit_window,
               Duration relay_interval = kDefaultRelayInterval,
               const std::optional<UsageSettings>& usage_settings = {},
               bool orders_target_counts = false,
               std::string forward_address = {});

  friend Step<ControlState, ControlEffect> Decide(ControlState state,
                                                  const ControlEvent& event,
                                                  TimePoint now);

 private:
  // Read from the store and the registry.
  void Handle(const ConfigurationRead& read);
  void Handle(const ConfigurationReceived& received);
  void Handle(const EvacuationRequest& request);
  void Handle(const EvacuationsRead& read);
  void Handle(const RecordRejected& rejected);
  void Handle(const OperatorTopicReachability& reachability);
  void Handle(const FleetEvent& event);
  void Handle(const RegistryCaughtUp& caught_up);
  void Handle(const StoreEraSeen& seen);
  void Handle(const StoreRead& read);
  void Handle(const SnapshotRead& read);
  // From this host's entry.
  void Handle(const ModelLoadRequest& request);
  void Handle(const UsageReport& report);
  void Handle(const QuotaRequest& request);
  void Handle(const WarmupRequest& request);
  void Handle(const CrashEvidence& evidence);
  void Handle(const PoisonRefutation& refutation);
  void Handle(const TargetLeavingReport& report);
  void Handle(const QuotaHistory& history);
  void Handle(const TargetReachabilityChanged& change);
  void Handle(const ConfigurationHeard& heard);
  void MarkLeaving(const TargetLeavingReport& report);
  void SendLeavingTargets(const HostId& host);
  // The lease, and the duties of its holder.
  void Handle(const LeaseEvent& event);
  void Handle(const UsageEvent& event);
  void Handle(const OrderEnded& ended);
  void Handle(const TargetReportReceived& received);
  void Handle(const TargetReportFailed& failed);
  void Handle(const TargetCountOrderEnded& ended);
  // Links to other hosts, shutdown and the periodic tick.
  void Handle(const PeerLinkChanged& change);
  void Handle(const PeerReceived& received);
  void Handle(const ControlStop& stop);
  void Handle(const ControlTick& tick);

  void FeedLease(const LeaseEvent& event);
  void FeedPlacement(const PlacementEvent& event);
  void FeedScaling(const ScalingEvent& event);
  void FeedUsage(const UsageEvent& event);
  void OnPeerMessage(const HostId& host, const ModelUsageReport& report);
  void OnPeerMessage(const HostId& host, const DemandReport& report);
  void OnPeerMessage(const HostId& host, const ModelLoadRequest& request);
  void OnPeerMessage(const HostId& host, const PlacementChange& change);
  void OnPeerMessage(const HostId& host, const ShareGrant& grant);
  void OnPeerMessage(const HostId& host, const QuotaRequest& request);
  void OnPeerMessage(const HostId& host, const QuotaReply& reply);
  void OnPeerMessage(const HostId& host, const WarmupRequest& request);
  void OnPeerMessage(const HostId& host, const WarmupGrant& grant);
  void OnPeerMessage(const HostId& host, const CrashEvidence& evidence);
  void OnPeerMessage(const HostId& host, const PoisonSuspects& suspects);
  void OnPeerMessage(const HostId& host, const PoisonRefutation& refutation);
  void OnPeerMessage(const HostId& host, const PoisonBlock& block);
  void OnPeerMessage(const HostId& host, const TargetLeavingReport& report);
  void OnPeerMessage(const HostId& host, const QuotaHistory& history);
  void OnPeerMessage(const HostId& host, const ServiceLoadReport& report);
  void OnPeerMessage(const HostId& host, const RelayRequest& request);
  void OnPeerMessage(const HostId& host, const RelayWelcome& welcome);
  void OnPeerMessage(const HostId& host, const StoreRelay& relay);
  void OnPeerMessage(const HostId& host, const SnapshotRequest& request);
  void OnPeerMessage(const HostId& host, const RelayedSnapshot& snapshot);
  /// Asks the holder for the operator's topic, which the store doesn't answer.
  void RequestSnapshot();
  void OnPeerMessage(const HostId& host, const UsageCounts& counts);
  void OnPeerMessage(const HostId& host, const UsageClock& clock);
  void OnPeerMessage(const HostId& host, const DetourOffer& offer);
  void OnPeerMessage(const HostId& host, const DetourHosts& hosts);
  /// Tells the holder whether this host reaches targets, if it can be told.
  void SendDetourOffer();
  /// @return whether this host can take requests of others.
  bool CanHelp() const;
  void UpdateDetours();
  void SendDetourHosts(const HostDetours& detours);
  void OnPeerMessage(const HostId& host, const HostPosition& position);
  /// Tells a new holder which position this host has.
  void StatePosition();
  void AdoptPosition(const HostPosition& position);
  void SendPositions();
  void UpdateRelay();
  void LogLeftOutRecords();
  void DecidePoison();
  /// Sends the block to the other hosts and to this host's entry.
  void PublishBlock(const PoisonBlock& block);
  /// Repeats to a new holder what its predecessor was told.
  void RepeatPoisonReports();
  /// Sends the blocks to a host that has just connected.
  void SendBlocks(const HostId& host);
  /// @return whether the registry shows that the process no longer runs.
  bool HasEnded(const TargetId& target, TargetInstance instance) const;
  /// Sends the message to the holder, which may be this host.
  void ReportToHolder(PeerMessage message);
  void DivideShares();
  void DivideSharesIfDue();
  /// @return requests per second that the target tolerates from all hosts
  /// together while it is cold; 0 if not known.
  double ColdRequestRate(const TargetId& target) const;
  void SendWarmupGrants();
  std::vector<GrantedShare> SharesInUse(
      const std::vector<CustomerDemand>& demands) const;
  std::uint32_t AssumedHostCount() const;
  bool HasValidGrant() const;
  bool IsLeaseHolderReachable() const;
  void OnHolderChanged(const LeaseRecord& record);
  void OnLeaseExtended(const LeaseExtended& extended);
  void BeginPlacementIfDue();
  double ReservedShare() const;
  /// @return the append, its record filled in with the host count, the highest
  /// core count and the limit usage.
  AppendLeaseRecord CompleteRecord(AppendLeaseRecord append);
  void RecordPreviousHolder();
  void PublishShares();
  void PublishFleet();
  void PublishEvacuations();
  void NotifyEntry(EntryEvent event);
  ConfigurationVersion CurrentVersion() const;
  void RecordReportedVersion(ConfigurationVersion version);
  void RereadIfBehind();
  void RereadInEra(StoreEra era);

  LeaseSettings lease_settings;
  Duration limit_window;
  Duration relay_interval;
  bool orders_target_counts;
  std::string forward_address;
  TimePoint now{};
  std::vector<ControlEffect> effects;
  ActiveConfigurationPtr configuration;
  EvacuationTracker evacuations;
  FleetTracker fleet_tracker;
  bool is_fleet_changed = false;  ///< Since the fleet was last published.
  /// Not yet passed on to the entry.
  std::optional<RegistryCaughtUp> registry_caught_up;
  bool has_reported_usage = false;  ///< The last UsageReport had usages.
  bool is_operator_topic_reachable = false;
  std::optional<StoreEra> store_era;   ///< The highest one seen.
  StoreEra reread_era;                 ///< The highest one of a RereadTopics.
  bool is_store_era_outdated = false;  ///< In the last answer of the store.
  ConfigurationLag lag;
  TimePoint reread_at{};  ///< The last time, because of the lag.

  LeaseState lease;
  std::optional<HostId> holder;            ///< By the lease's log.
  std::set<HostId> linked_hosts;           ///< Their links are up.
  std::optional<HostId> connected_holder;  ///< The holder, if its link is up.
  /// Offset of the newest record that another process wrote.
  std::optional<LogOffset> previous_holder_offset;
  LimitUsage previous_holder_usage;  ///< By that record.
  /// By the first record that this process has read.
  std::optional<LimitUsage> usage_before_start;
  /// The lease, and with it the permission to send orders, expires then.
  TimePoint lease_valid_until{};
  bool is_lease_valid = false;  ///< This host holds the lease.
  /// This host holds the lease, or held it less than kShareGrantTtl ago and
  /// knows of no later holder: it divides limits among the hosts that are still
  /// connected to it.
  bool is_limit_coordinator = false;
  /// This host has begun placement since it became the limit coordinator.
  bool has_begun_placement = false;
  /// Token of the placement that begins once orders of earlier holders can no
  /// longer arrive; 0 if none is pending.
  FencingToken pending_token;
  TimePoint orders_allowed_from{};
  PlacementState placement;
  ShareLedger ledger;
  ScalingState scaling;
  WarmupLedger warmup;
  TimePoint last_division_at{};

  /// None if the platform wants no usage reports.
  std::optional<UsageState> usage;

  PoisonLedger poison_ledger;  ///< Decides while this host divides limits.
  /// This host's evidence, and when its attempts broke.
  std::deque<std::pair<TimePoint, CrashEvidence>> recent_evidence;
  std::size_t recent_fingerprints = 0;  ///< In all of `recent_evidence`.

  DetourLedger detour_ledger;  ///< Used while this host divides limits.
  bool reaches_targets = true;
  bool is_stopping = false;
  /// The connected holder has answered an offer: it isn't of an earlier
  /// version, which logs each message that it doesn't know.
  bool knows_holder_detours = false;
  TimePoint detour_offered_at{};
  bool offers_detours = true;  ///< As in the last offer.

  RelayPublisher relay_publisher;  ///< Used while this host divides limits.
  RelayClock relay_clock;          ///< Of the connected holder.
  bool is_relay_reader = false;    ///< As last announced by a RelayRole.
  TimePoint left_out_logged_at{};
  SnapshotQueue snapshot_queue;  ///< Used while this host divides limits.
  TimePoint snapshot_requested_at{};
  /// The connected holder has sent one: it isn't of an earlier version, which
  /// logs each message that it doesn't know.
  bool knows_holder_snapshots = false;

  HostPositions host_positions;  ///< Used while this host divides limits.
  /// Of this host, as the last holder has told it.
  std::optional<HostPosition> own_position;
  TimePoint positioned_since{};  ///< When it first got one.

  ShareGrant last_grant;  ///< The newest grant for this host.
  TimePoint last_grant_at{};
  /// 0 until another host or the log has reported it.
  std::uint32_t known_host_count = 0;
  std::optional<SharesChanged> published_shares;
};

Step<ControlState, ControlEffect> Decide(ControlState state,
                                         const ControlEvent& event,
                                         TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_CONTROL_STATE_H_
