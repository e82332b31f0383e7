#ifndef CICADALOFT_CONTROL_CONTROL_STATE_H_
#define CICADALOFT_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/admission/share_ledger.h"
#include "cicadaloft/control/messages.h"
#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/fleet/fleet_tracker.h"
#include "cicadaloft/lease/lease_state.h"
#include "cicadaloft/placement/placement_state.h"
#include "cicadaloft/warmup/warmup_ledger.h"

namespace cicadaloft {

/// What one host believes of the whole system, and its part in the duties that
/// one host does for all. It moves through Decide().
class ControlState {
 public:
  /// @param limit_window in which customers' limits are kept.
  ControlState(const LeaseSettings& lease_settings, Duration limit_window);

  friend Step<ControlState, ControlEffect> Decide(ControlState state,
                                                  const ControlEvent& event,
                                                  TimePoint now);

 private:
  // What is read from the store.
  void Take(const ConfigurationRead& read);
  void Take(const EvacuationRequest& evacuation);
  void Take(const EvacuationsRead& read);
  void Take(const RecordRejected& refused);
  void Take(const OperatorTopicReachability& reachable);
  void Take(const FleetEvent& event);
  // What the entry tells.
  void Take(const ModelLoadRequest& wanted);
  void Take(const UsageReport& measured);
  void Take(const QuotaRequest& asked);
  void Take(const WarmupRequest& asked);
  void Take(const TargetCrashReport& notice);
  // The lease, and the duties that come with it.
  void Take(const LeaseEvent& event);
  void Take(const OrderEnded& ended);
  void Take(const TargetReportReceived& read);
  void Take(const TargetReportFailed& failed);
  // Other hosts.
  void Take(const PeerLinkChanged& change);
  void Take(const PeerReceived& received);
  void Take(const ControlStop& stop);
  void Take(const ControlTick& tick);

  void FeedLease(const LeaseEvent& event);
  void FeedPlacement(const PlacementEvent& event);
  void OnPeer(const HostId& host, const ModelUsageReport& report);
  void OnPeer(const HostId& host, const DemandReport& report);
  void OnPeer(const HostId& host, const ModelLoadRequest& wanted);
  void OnPeer(const HostId& host, const PlacementChange& change);
  void OnPeer(const HostId& host, const ShareGrant& granted);
  void OnPeer(const HostId& host, const QuotaRequest& asked);
  void OnPeer(const HostId& host, const QuotaReply& drawn);
  void OnPeer(const HostId& host, const WarmupRequest& asked);
  void OnPeer(const HostId& host, const WarmupGrant& granted);
  void OnPeer(const HostId& host, const TargetCrashReport& notice);
  /// To the holder, which may be this host.
  void Report(PeerMessage message);
  void DivideShares();
  void DivideSharesIfDue();
  /// @return requests a second that the target bears while it is cold, from all
  /// hosts together; 0: not known.
  double ColdRate(const TargetId& target) const;
  void GrantWarmup();
  std::vector<GrantedShare> HeldShares(
      const std::vector<CustomerDemand>& demands) const;
  std::uint32_t KnownHosts() const;
  bool HasGrant() const;
  bool CanDraw() const;
  void OnHolderChanged(const LeaseRecord& record);
  void OnRight(const LeaseExtended& right);
  void BeginPlacementIfDue();
  double ReservedShare() const;
  /// @return the append with what its record tells of hosts and limits.
  AppendLeaseRecord Complete(AppendLeaseRecord append);
  void NoteHolderBefore();
  void TellShares();
  void TellFleet();
  void TellEvacuations();
  void Tell(EntryEvent event);
  ConfigurationVersion Version() const;
  void NoteVersion(ConfigurationVersion version);
  void CatchUp();

  LeaseSettings lease_settings;
  Duration limit_window;
  TimePoint now{};
  std::vector<ControlEffect> effects;
  ActiveConfigurationPtr configuration;
  std::set<DataCentreId> evacuated;
  FleetTracker fleet_register;
  bool is_fleet_changed = false;  ///< Since it was told.
  bool has_reported_use = false;  ///< With the last measurement.
  bool is_operator_reachable = false;
  ConfigurationVersion told_version;  ///< The newest one any host has told of.
  TimePoint told_version_at{};

  LeaseState lease;
  std::optional<HostId> holder;           ///< As the lease's log tells.
  std::optional<HostId> linked_holder;    ///< The holder, while its link is up.
  std::optional<LogOffset> noted_record;  ///< The newest one of another holder.
  LimitUsage spent_before;                ///< As that record told.
  /// As the first record that this process has read told.
  std::optional<LimitUsage> spent_before_start;
  TimePoint right_until{};      ///< When the right to give orders ends.
  bool is_lease_valid = false;  ///< The lease is this host's.
  /// This host has been the holder not long ago, and no other one is known
  /// since: it divides limits among the hosts that keep their links.
  bool is_keeper = false;
  bool has_placed = false;  ///< It has given orders since it is the keeper.
  /// Of the placement that is to begin when others' orders can't arrive any
  /// more; 0: none.
  FencingToken next_token;
  TimePoint orders_from{};
  PlacementState placement;
  ShareLedger ledger;
  WarmupLedger warmup;
  TimePoint divided_at{};

  ShareGrant granted;  ///< The newest one for this host.
  TimePoint granted_at{};
  std::uint32_t known_hosts = 0;  ///< 0: not heard yet.
  std::optional<SharesChanged> told_shares;
};

Step<ControlState, ControlEffect> Decide(ControlState state,
                                         const ControlEvent& event,
                                         TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_CONTROL_STATE_H_
