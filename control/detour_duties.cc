#include <chrono>
#include <utility>
#include <vector>

#include "cicadaloft/control/control_state.h"

namespace cicadaloft {
namespace {

/// Interval of offers that say nothing new, in case that one was lost while the
/// holder changed.
constexpr Duration kDetourOfferInterval = std::chrono::seconds(5);

/// A host that has been behind for this time, and has adopted nothing
/// meanwhile, takes no requests of others. While it catches up it may still
/// serve those that an earlier configuration has admitted.
constexpr Duration kMaxLagOfHelpingHost = std::chrono::seconds(3);

}  // namespace

void ControlState::Handle(const TargetReachabilityChanged& change) {
  this->reaches_targets = change.reaches_targets;
  this->SendDetourOffer();
}

void ControlState::SendDetourOffer() {
  if (this->forward_address.empty() || !this->IsLeaseHolderReachable()) {
    return;
  }
  this->detour_offered_at = this->now;
  this->offers_detours = this->CanHelp();
  this->ReportToHolder(DetourOffer{.host = this->lease_settings.self,
                                   .address = this->forward_address,
                                   .reaches_targets = this->offers_detours});
}

// A host whose configuration is too old would refuse what others send it.
bool ControlState::CanHelp() const {
  return this->reaches_targets && !this->is_stopping &&
         !this->lag.IsBehindFor(kMaxLagOfHelpingHost, this->now);
}

void ControlState::UpdateDetours() {
  const bool may_repeat =
      this->is_limit_coordinator || this->knows_holder_detours;
  const bool is_repetition_due =
      may_repeat && this->now - this->detour_offered_at >= kDetourOfferInterval;
  if (is_repetition_due || this->offers_detours != this->CanHelp()) {
    this->SendDetourOffer();
  }
  if (!this->is_limit_coordinator) {
    return;
  }
  for (const HostDetours& detours : this->detour_ledger.TakeChanges(
           this->now, kUsageReportIntervalPerHost * this->AssumedHostCount())) {
    this->SendDetourHosts(detours);
  }
}

void ControlState::SendDetourHosts(const HostDetours& detours) {
  if (detours.host == this->lease_settings.self) {
    this->NotifyEntry(DetourHostsChanged{.hosts = detours.helping});
    return;
  }
  this->effects.emplace_back(SendToHost{
      .host = detours.host, .message = DetourHosts{.hosts = detours.helping}});
}

// Offers may arrive before this host knows that its claim of the lease has
// succeeded.
void ControlState::OnPeerMessage(const HostId& host, const DetourOffer& offer) {
  this->detour_ledger.OnOffer(
      DetourOffer{.host = host,
                  .address = offer.address,
                  .reaches_targets = offer.reaches_targets});
}

void ControlState::OnPeerMessage(const HostId& host, const DetourHosts& hosts) {
  if (this->connected_holder != host) {
    return;
  }
  this->knows_holder_detours = true;
  this->NotifyEntry(DetourHostsChanged{.hosts = hosts.hosts});
}

}  // namespace cicadaloft
