#include "cicadaloft/control/control_state.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cicadaloft/core/result.h"

namespace cicadaloft {
namespace {

/// Hosts that read the same change do so within a few ms of each other.
constexpr Duration kBehindTerm = std::chrono::milliseconds(300);

}  // namespace

ControlState::ControlState(const LeaseSettings& given, Duration limit_window)
    : lease_settings(given),
      limit_window(limit_window),
      lease(given),
      ledger(limit_window) {}

Step<ControlState, ControlEffect> Decide(ControlState state,
                                         const ControlEvent& event,
                                         TimePoint now) {
  state.now = now;
  std::visit([&](const auto& item) { state.Take(item); }, event);
  std::vector<ControlEffect> effects = std::exchange(state.effects, {});
  return Step<ControlState, ControlEffect>{.state = std::move(state),
                                           .effects = std::move(effects)};
}

void ControlState::Take(const ConfigurationRead& read) {
  const bool is_older =
      this->configuration != nullptr &&
      read.configuration->version() <= this->configuration->version();
  if (!is_older) {
    this->configuration = read.configuration;
  }
  const ConfigurationChanged change{.configuration = read.configuration};
  this->FeedPlacement(change);
  this->Tell(change);
}

void ControlState::Take(const EvacuationRequest& evacuation) {
  if (evacuation.is_requested) {
    this->evacuated.insert(evacuation.data_centre);
  } else {
    this->evacuated.erase(evacuation.data_centre);
  }
  this->TellEvacuations();
}

void ControlState::Take(const EvacuationsRead& read) {
  this->evacuated = read.data_centres;
  this->TellEvacuations();
}

void ControlState::Take(const RecordRejected& refused) {
  this->effects.emplace_back(DecisionRecord{
      .event = "store.record_refused",
      .fields = {{"topic", refused.topic}, {"why", refused.reason}}});
}

void ControlState::Take(const OperatorTopicReachability& reachable) {
  if (reachable.is_reachable == this->is_operator_reachable) {
    return;
  }
  this->is_operator_reachable = reachable.is_reachable;
  this->effects.emplace_back(DecisionRecord{
      .event = reachable.is_reachable ? "store.regained" : "store.lost",
      .fields = {{"why", reachable.reason}}});
}

void ControlState::Take(const FleetEvent& event) {
  // Told with the next tick: on a large site tens of records come a second.
  this->is_fleet_changed |= this->fleet_register.Apply(event, this->now);
}

void ControlState::Take(const ModelLoadRequest& wanted) {
  this->Report(wanted);
}

void ControlState::Take(const UsageReport& measured) {
  const HostId& self = this->lease_settings.self;
  // The report after the last use tells that nothing runs any more.
  if (!measured.usages.empty() || this->has_reported_use) {
    this->Report(ModelUsageReport{.host = self, .usages = measured.usages});
  }
  this->has_reported_use = !measured.usages.empty();
  this->Report(DemandReport{
      .host = self,
      .grant_number = this->HasGrant() ? this->granted.grant_number : 0,
      .demands = measured.demands,
      .shares_in_use = this->HeldShares(measured.demands),
      .configuration = this->Version(),
      .cores = this->lease_settings.cores});
}

// What has been spent beyond a share that has shrunk counts as held until it
// has left the window.
std::vector<GrantedShare> ControlState::HeldShares(
    const std::vector<CustomerDemand>& demands) const {
  std::vector<GrantedShare> held =
      this->HasGrant() ? this->granted.customers : std::vector<GrantedShare>();
  const double reserved = this->ReservedShare();
  for (const CustomerDemand& demand : demands) {
    const double spent = demand.used_fraction - reserved;
    const auto found =
        std::ranges::find(held, demand.customer, &GrantedShare::customer);
    if (found != held.end()) {
      found->share = std::max(found->share, spent);
    } else if (spent > 0) {
      held.push_back(GrantedShare{.customer = demand.customer, .share = spent});
    }
  }
  return held;
}

void ControlState::Take(const QuotaRequest& asked) {
  this->Report(asked);
}

void ControlState::Take(const WarmupRequest& asked) {
  this->Report(asked);
}

void ControlState::Take(const TargetCrashReport& notice) {
  this->Report(notice);
}

void ControlState::Take(const OrderEnded& ended) {
  this->FeedPlacement(ended);
}

void ControlState::Take(const TargetReportReceived& read) {
  this->FeedPlacement(read);
}

void ControlState::Take(const TargetReportFailed& failed) {
  this->FeedPlacement(failed);
}

void ControlState::Take(const PeerLinkChanged& change) {
  this->effects.emplace_back(
      DecisionRecord{.event = change.is_up ? "peer.up" : "peer.down",
                     .fields = {{"host", change.host.value()}}});
  if (!change.is_up) {
    this->ledger.OnLinkDown(change.host);
  }
  if (this->holder == change.host) {
    if (change.is_up) {
      this->linked_holder = change.host;
      this->FeedLease(HolderHeartbeat{.holder = change.host});
    } else {
      this->linked_holder.reset();
      this->FeedLease(HolderDisconnected{});
    }
    this->TellShares();
  }
}

void ControlState::Take(const PeerReceived& received) {
  // Only a holder that can renew its lease keeps others from claiming it.
  const auto* granted = std::get_if<ShareGrant>(&received.message);
  if (this->holder == received.host && granted != nullptr &&
      granted->is_lease_valid) {
    this->FeedLease(HolderHeartbeat{.holder = received.host});
  }
  std::visit([&](const auto& message) { this->OnPeer(received.host, message); },
             received.message);
}

void ControlState::Take(const ControlStop&) {
  this->FeedLease(LeaseStop{});
}

void ControlState::Take(const ControlTick&) {
  this->is_fleet_changed |= this->fleet_register.Tick(this->now);
  if (std::exchange(this->is_fleet_changed, false)) {
    this->TellFleet();
  }
  this->CatchUp();
  this->FeedLease(LeaseTick{});
  this->BeginPlacementIfDue();
  this->FeedPlacement(PlacementTick{});
  this->DivideSharesIfDue();
  this->GrantWarmup();
  this->TellShares();
}

ConfigurationVersion ControlState::Version() const {
  return this->configuration == nullptr ? ConfigurationVersion()
                                        : this->configuration->version();
}

void ControlState::NoteVersion(ConfigurationVersion version) {
  if (version > this->Version() && version > this->told_version) {
    this->told_version = version;
    this->told_version_at = this->now;
  }
}

// Another host knows a newer configuration: the connection on which this one
// waits for it may be dead.
void ControlState::CatchUp() {
  const bool is_behind = this->told_version > this->Version() &&
                         this->now - this->told_version_at > kBehindTerm;
  if (!is_behind) {
    return;
  }
  this->told_version_at = this->now;
  this->effects.emplace_back(
      DecisionRecord{.event = "configuration.behind",
                     .fields = {{"known", this->Version().value()},
                                {"told", this->told_version.value()}}});
  this->effects.emplace_back(RereadOperatorTopic{});
}

void ControlState::TellFleet() {
  const FleetChanged change{.fleet = this->fleet_register.fleet()};
  this->FeedPlacement(change);
  this->Tell(change);
  for (DecisionRecord& line : this->fleet_register.TakeDecisionRecords()) {
    this->effects.emplace_back(std::move(line));
  }
}

void ControlState::TellEvacuations() {
  const EvacuationsChanged change{.data_centres = this->evacuated};
  this->FeedPlacement(change);
  this->Tell(change);
}

void ControlState::Tell(EntryEvent event) {
  this->effects.emplace_back(SendToEntry{.event = std::move(event)});
}

}  // namespace cicadaloft
