#include "cicadaloft/control/control_state.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cicadaloft/core/result.h"
#include "cicadaloft/store/store_era.h"

namespace cicadaloft {
namespace {

/// How long the configuration may be older than the one that another host
/// reported before the topic is read again. Hosts read the same change within a
/// few ms of each other.
constexpr Duration kMaxConfigurationLag = std::chrono::milliseconds(300);

}  // namespace

ControlState::ControlState(const LeaseSettings& settings,
                           Duration limit_window,
                           Duration relay_interval,
                           const std::optional<UsageSettings>& usage_settings,
                           bool orders_target_counts,
                           std::string forward_address)
    : lease_settings(settings),
      limit_window(limit_window),
      relay_interval(relay_interval),
      orders_target_counts(orders_target_counts),
      forward_address(std::move(forward_address)),
      lease(settings),
      ledger(limit_window) {
  if (usage_settings) {
    this->usage.emplace(*usage_settings);
  }
}

Step<ControlState, ControlEffect> Decide(ControlState state,
                                         const ControlEvent& event,
                                         TimePoint now) {
  state.now = now;
  std::visit([&](const auto& item) { state.Handle(item); }, event);
  std::vector<ControlEffect> effects = std::exchange(state.effects, {});
  return Step<ControlState, ControlEffect>{.state = std::move(state),
                                           .effects = std::move(effects)};
}

void ControlState::Handle(const ConfigurationRead& read) {
  const bool is_older =
      this->configuration != nullptr &&
      read.configuration->version() <= this->configuration->version();
  if (!is_older) {
    this->configuration = read.configuration;
    this->lag.OnAdopted(read.configuration->version(), this->now);
  }
  const ConfigurationChanged change{.configuration = read.configuration};
  this->FeedPlacement(change);
  this->FeedScaling(change);
  this->NotifyEntry(change);
}

void ControlState::Handle(const ConfigurationReceived& received) {
  this->Handle(ConfigurationRead{.configuration = received.configuration});
}

void ControlState::Handle(const EvacuationRequest& request) {
  if (request.is_requested) {
    this->evacuations.Add(request.data_centre);
  } else {
    this->evacuations.Remove(request.data_centre);
  }
  this->PublishEvacuations();
}

void ControlState::Handle(const EvacuationsRead& read) {
  if (read.is_relayed) {
    this->effects.emplace_back(DecisionRecord{
        .event = "relay.snapshot_taken",
        .fields = {{"configuration", this->CurrentVersion().value()}}});
  }
  this->evacuations.OnRead(read, this->now);
  this->PublishEvacuations();
}

void ControlState::Handle(const RecordRejected& rejected) {
  this->effects.emplace_back(DecisionRecord{
      .event = "store.record_refused",
      .fields = {{"topic", rejected.topic}, {"why", rejected.reason}}});
}

void ControlState::Handle(const OperatorTopicReachability& reachability) {
  if (!reachability.is_reachable) {
    this->RequestSnapshot();
  }
  if (reachability.is_reachable == this->is_operator_topic_reachable) {
    return;
  }
  this->is_operator_topic_reachable = reachability.is_reachable;
  this->NotifyEntry(
      ConfigurationFollowed{.is_followed = reachability.is_reachable});
  this->effects.emplace_back(DecisionRecord{
      .event = reachability.is_reachable ? "store.regained" : "store.lost",
      .fields = {{"why", reachability.reason}}});
}

void ControlState::Handle(const StoreEraSeen& seen) {
  // First, while the term that may end because of it is still valid.
  this->FeedUsage(seen);
  const EraChange change =
      CompareEras(this->store_era.value_or(seen.era), seen.era);
  const bool was_outdated = std::exchange(this->is_store_era_outdated,
                                          change == EraChange::kOutdated);
  if (change == EraChange::kNew) {
    this->effects.emplace_back(
        DecisionRecord{.event = "store.era_changed",
                       .fields = {{"known", this->store_era->value()},
                                  {"stated", seen.era.value()}}});
    this->RereadInEra(seen.era);
  } else if (change == EraChange::kOutdated && !was_outdated) {
    this->effects.emplace_back(
        DecisionRecord{.event = "store.era_outdated",
                       .fields = {{"known", this->store_era->value()},
                                  {"stated", seen.era.value()}}});
  }
  this->store_era = std::max(this->store_era.value_or(seen.era), seen.era);
  this->FeedLease(seen);
}

void ControlState::Handle(const FleetEvent& event) {
  // Published with the next tick: a large site gets tens of records per second.
  this->is_fleet_changed |= this->fleet_tracker.Apply(event, this->now);
}

// Passed on after the fleet that it speaks of.
void ControlState::Handle(const RegistryCaughtUp& caught_up) {
  this->registry_caught_up = caught_up;
}

void ControlState::Handle(const ModelLoadRequest& request) {
  this->ReportToHolder(request);
}

void ControlState::Handle(const UsageReport& report) {
  const HostId& self = this->lease_settings.self;
  // One ModelUsageReport without usages follows the last one that has any, so
  // that the holder sees that no request is running any more.
  if (!report.usages.empty() || this->has_reported_usage) {
    this->ReportToHolder(
        ModelUsageReport{.host = self, .usages = report.usages});
  }
  this->has_reported_usage = !report.usages.empty();
  // Hosts of an earlier version don't know the message.
  if (this->orders_target_counts && !report.service_loads.empty()) {
    this->ReportToHolder(
        ServiceLoadReport{.host = self, .loads = report.service_loads});
  }
  this->ReportToHolder(DemandReport{
      .host = self,
      .grant_number = this->HasValidGrant() ? this->last_grant.grant_number : 0,
      .demands = report.demands,
      .shares_in_use = this->SharesInUse(report.demands),
      .configuration = this->CurrentVersion(),
      .cores = this->lease_settings.cores});
}

// When a share shrinks, usage beyond the new share still counts as in use until
// it has left the limit window.
std::vector<GrantedShare> ControlState::SharesInUse(
    const std::vector<CustomerDemand>& demands) const {
  std::vector<GrantedShare> in_use = this->HasValidGrant()
                                         ? this->last_grant.shares
                                         : std::vector<GrantedShare>();
  const double reserved = this->ReservedShare();
  for (const CustomerDemand& demand : demands) {
    const double used = demand.used_fraction - reserved;
    const auto found =
        std::ranges::find(in_use, demand.customer, &GrantedShare::customer);
    if (found != in_use.end()) {
      found->share = std::max(found->share, used);
    } else if (used > 0) {
      in_use.push_back(
          GrantedShare{.customer = demand.customer, .share = used});
    }
  }
  return in_use;
}

void ControlState::Handle(const QuotaRequest& request) {
  this->ReportToHolder(request);
}

void ControlState::Handle(const WarmupRequest& request) {
  this->ReportToHolder(request);
}

void ControlState::Handle(const TargetLeavingReport& report) {
  this->MarkLeaving(report);
  if (this->is_limit_coordinator || this->relay_clock.IsRelaying()) {
    this->ReportToHolder(report);
  }
}

// A host that has just started or was cut off has missed earlier reports.
void ControlState::SendLeavingTargets(const HostId& host) {
  for (const auto& [target, instance] : this->fleet_tracker.Leaving()) {
    this->effects.emplace_back(SendToHost{
        .host = host,
        .message =
            TargetLeavingReport{.target = target, .instance = instance}});
  }
}

void ControlState::MarkLeaving(const TargetLeavingReport& report) {
  this->Handle(FleetEvent(
      TargetSaidLeaving{.target = report.target, .instance = report.instance}));
}

void ControlState::Handle(const OrderEnded& ended) {
  this->FeedPlacement(ended);
}

void ControlState::Handle(const TargetReportReceived& received) {
  this->FeedPlacement(received);
}

void ControlState::Handle(const TargetReportFailed& failed) {
  this->FeedPlacement(failed);
}

void ControlState::Handle(const PeerLinkChanged& change) {
  this->effects.emplace_back(
      DecisionRecord{.event = change.is_up ? "peer.up" : "peer.down",
                     .fields = {{"host", change.host.value()}}});
  if (change.is_up) {
    this->linked_hosts.insert(change.host);
  } else {
    this->linked_hosts.erase(change.host);
    this->ledger.OnLinkDown(change.host);
    this->relay_publisher.OnLinkDown(change.host);
    this->snapshot_queue.OnLinkDown(change.host);
    this->detour_ledger.OnLinkDown(change.host);
  }
  if (change.is_up && this->is_limit_coordinator) {
    this->SendBlocks(change.host);
  }
  this->FeedUsage(
      UsageLinkChanged{.host = change.host,
                       .is_up = change.is_up,
                       .is_to_holder = this->holder == change.host});
  if (this->holder == change.host) {
    if (change.is_up) {
      this->connected_holder = change.host;
      this->FeedLease(HolderHeartbeat{.holder = change.host});
      this->RepeatPoisonReports();
      this->SendDetourOffer();
      this->StatePosition();
    } else {
      this->connected_holder.reset();
      this->knows_holder_detours = false;
      this->knows_holder_snapshots = false;
      this->relay_clock.OnLinkDown();
      this->FeedLease(HolderDisconnected{});
    }
    this->PublishShares();
  }
}

void ControlState::Handle(const PeerReceived& received) {
  // Only a grant sent under a valid lease counts as a heartbeat: a holder that
  // can no longer renew its lease must not keep other hosts from claiming it.
  const auto* grant = std::get_if<ShareGrant>(&received.message);
  if (this->holder == received.host && grant != nullptr &&
      grant->is_lease_valid) {
    this->FeedLease(HolderHeartbeat{.holder = received.host});
  }
  std::visit(
      [&](const auto& message) { this->OnPeerMessage(received.host, message); },
      received.message);
}

void ControlState::Handle(const ControlStop&) {
  this->is_stopping = true;
  this->SendDetourOffer();
  this->FeedLease(LeaseStop{});
}

void ControlState::Handle(const ControlTick&) {
  this->is_fleet_changed |= this->fleet_tracker.Tick(this->now);
  if (std::exchange(this->is_fleet_changed, false)) {
    this->PublishFleet();
  }
  if (const auto caught_up =
          std::exchange(this->registry_caught_up, std::nullopt)) {
    this->NotifyEntry(*caught_up);
  }
  if (this->evacuations.Tick(this->now)) {
    this->PublishEvacuations();
  }
  this->RereadIfBehind();
  this->FeedLease(LeaseTick{});
  this->FeedUsage(UsageTick{.host_count = this->AssumedHostCount()});
  this->BeginPlacementIfDue();
  this->FeedPlacement(PlacementTick{});
  this->FeedScaling(ScalingTick{
      .host_count = this->ledger.HostCount(this->now),
      .linked_host_count =
          static_cast<std::uint32_t>(this->linked_hosts.size()) + 1});
  this->DivideSharesIfDue();
  this->SendWarmupGrants();
  this->PublishShares();
  this->UpdateRelay();
  this->UpdateDetours();
  this->DecidePoison();
}

ConfigurationVersion ControlState::CurrentVersion() const {
  return this->configuration == nullptr ? ConfigurationVersion()
                                        : this->configuration->version();
}

void ControlState::Handle(const ConfigurationHeard& heard) {
  this->RecordReportedVersion(heard.version);
}

void ControlState::RecordReportedVersion(ConfigurationVersion version) {
  if (this->lag.OnHeard(version, this->now)) {
    this->NotifyEntry(ConfigurationHeard{.version = version});
  }
}

// If another host has had a newer configuration for a while, the connection on
// which this host waits for it may be dead, so the topic is read again.
void ControlState::RereadIfBehind() {
  if (!this->lag.IsBehindFor(kMaxConfigurationLag, this->now) ||
      this->now - this->reread_at <= kMaxConfigurationLag) {
    return;
  }
  this->reread_at = this->now;
  this->effects.emplace_back(DecisionRecord{
      .event = "configuration.behind",
      .fields = {{"known", this->CurrentVersion().value()},
                 {"told", this->lag.newest().value()},
                 {"topic", this->is_operator_topic_reachable ? "followed"
                                                             : "not_followed"},
                 {"holder",
                  this->IsLeaseHolderReachable() ? "linked" : "not_linked"}}});
  this->RequestSnapshot();
  this->effects.emplace_back(RereadOperatorTopic{});
}

// A read that waits for records would learn of the new era only when it ends.
void ControlState::RereadInEra(StoreEra era) {
  if (era > this->reread_era) {
    this->reread_era = era;
    this->effects.emplace_back(RereadTopics{.era = era});
  }
}

void ControlState::PublishFleet() {
  const FleetChanged change{.fleet = this->fleet_tracker.fleet()};
  this->FeedPlacement(change);
  this->FeedScaling(change);
  this->NotifyEntry(change);
  for (DecisionRecord& record : this->fleet_tracker.TakeDecisionRecords()) {
    this->effects.emplace_back(std::move(record));
  }
}

void ControlState::PublishEvacuations() {
  const EvacuationsChanged change{.data_centres =
                                      this->evacuations.data_centres()};
  this->FeedPlacement(change);
  this->FeedScaling(change);
  this->NotifyEntry(change);
}

void ControlState::NotifyEntry(EntryEvent event) {
  this->effects.emplace_back(SendToEntry{.event = std::move(event)});
}

}  // namespace cicadaloft
