#include <algorithm>
#include <utility>
#include <variant>

#include "cicadaloft/control/control_state.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft {
namespace {

/// Time between two divisions of customers' limits. Shares follow demand within
/// one or two seconds.
constexpr Duration kShareDivisionInterval = std::chrono::seconds(1);

}  // namespace

void ControlState::Handle(const LeaseEvent& event) {
  this->FeedLease(event);
}

void ControlState::FeedLease(const LeaseEvent& event) {
  auto step = Decide(std::move(this->lease), event, this->now);
  this->lease = std::move(step.state);
  this->RecordPreviousHolder();
  for (const LeaseEffect& effect : step.effects) {
    std::visit(
        Overloaded{
            [this](const HolderChanged& change) {
              this->OnHolderChanged(change.record);
            },
            [this](const LeaseExtended& extended) {
              this->OnLeaseExtended(extended);
            },
            [this](const LeaseLost&) {
              this->is_lease_valid = false;
              this->pending_token = FencingToken();
              this->FeedUsage(UsageTermEnded{});
              this->FeedPlacement(PlacementStopped{});
              this->FeedScaling(ScalingStopped{});
              this->DivideShares();
            },
            [this](const AppendLeaseRecord& append) {
              this->effects.emplace_back(this->CompleteRecord(append));
            },
            [this](const auto& other) { this->effects.emplace_back(other); }},
        effect);
  }
}

void ControlState::OnHolderChanged(const LeaseRecord& record) {
  if (record.secret != this->lease_settings.secret) {
    this->is_limit_coordinator = false;
    this->has_begun_placement = false;
    this->detour_ledger = DetourLedger();
    this->snapshot_queue.Clear();
  }
  this->holder = record.holder;
  this->connected_holder.reset();
  this->knows_holder_detours = false;
  this->knows_holder_snapshots = false;
  this->relay_clock.OnHolderChanged();
  this->FeedUsage(UsageHolderChanged{});
  this->effects.emplace_back(ConnectToHolder{.record = record});
}

void ControlState::OnLeaseExtended(const LeaseExtended& extended) {
  this->lease_valid_until = extended.valid_until;
  this->FeedUsage(UsageTerm{.token = extended.token,
                            .valid_until = extended.valid_until,
                            .calls_allowed_from = extended.orders_allowed_from,
                            .host_count = this->known_host_count});
  if (std::exchange(this->is_lease_valid, true)) {
    return;
  }
  this->orders_allowed_from = extended.orders_allowed_from;
  this->pending_token = extended.token;
  this->warmup.BeginTerm(this->now);
  if (!std::exchange(this->is_limit_coordinator, true)) {
    this->ledger.BeginTerm(this->known_host_count, this->previous_holder_usage,
                           this->now);
    this->NotifyEntry(QuotaHistoryRequest{});
    this->RepeatPoisonReports();
    this->SendDetourOffer();
    this->host_positions.BeginTerm(this->known_host_count > 1, this->now);
    this->StatePosition();
  }
  this->BeginPlacementIfDue();
  this->DivideShares();
}

void ControlState::BeginPlacementIfDue() {
  if (this->pending_token != FencingToken() &&
      this->now >= this->orders_allowed_from) {
    const FencingToken token =
        std::exchange(this->pending_token, FencingToken());
    const bool is_state_current =
        std::exchange(this->has_begun_placement, true);
    this->FeedPlacement(
        PlacementStarted{.token = token, .is_state_current = is_state_current});
    this->FeedScaling(
        ScalingStarted{.token = token, .is_state_current = is_state_current});
  }
}

AppendLeaseRecord ControlState::CompleteRecord(AppendLeaseRecord append) {
  // A new holder has no reports yet. Without the count of its predecessor it
  // would publish too low a host count, and each host would take too large a
  // share.
  append.record.host_count =
      std::max(this->ledger.HostCount(this->now), this->known_host_count);
  const auto& last = this->lease.last_entry();
  append.record.max_cores =
      std::max(this->lease_settings.cores, this->is_limit_coordinator
                                               ? this->ledger.MaxCores()
                                           : last ? last->record.max_cores
                                                  : 0);
  append.record.limit_usage = this->is_limit_coordinator
                                  ? this->ledger.Usage(this->now)
                                  : this->previous_holder_usage;
  return append;
}

void ControlState::FeedPlacement(const PlacementEvent& event) {
  auto step = Decide(std::move(this->placement), event, this->now);
  this->placement = std::move(step.state);
  for (const PlacementEffect& effect : step.effects) {
    std::visit(Overloaded{[this](const SendPlacementChange& send) {
                            this->NotifyEntry(send.change);
                            for (const HostId& host : send.hosts) {
                              if (host != this->lease_settings.self) {
                                this->effects.emplace_back(SendToHost{
                                    .host = host, .message = send.change});
                              }
                            }
                          },
                          [this](const SendOrder& order) {
                            SendOrder bounded = order;
                            bounded.valid_until = this->lease_valid_until;
                            this->effects.emplace_back(std::move(bounded));
                          },
                          [this](const auto& other) {
                            this->effects.emplace_back(other);
                          }},
               effect);
  }
}

void ControlState::ReportToHolder(PeerMessage message) {
  if (this->is_limit_coordinator) {
    std::visit(
        [this](const auto& item) {
          this->OnPeerMessage(this->lease_settings.self, item);
        },
        message);
    return;
  }
  this->effects.emplace_back(SendToHolder{.message = std::move(message)});
}

void ControlState::OnPeerMessage(const HostId&,
                                 const ModelUsageReport& report) {
  this->FeedPlacement(report);
  this->FeedScaling(report);
}

void ControlState::OnPeerMessage(const HostId&, const DemandReport& report) {
  this->RecordReportedVersion(report.configuration);
  if (this->is_limit_coordinator) {
    this->detour_ledger.OnConfiguration(report.host, report.configuration,
                                        this->now);
    this->ledger.OnReport(report, this->now);
    this->host_positions.OnReport(report.host, report.grant_number == 0,
                                  this->now);
  }
}

void ControlState::OnPeerMessage(const HostId& host,
                                 const HostPosition& position) {
  if (this->is_limit_coordinator && position.host == host &&
      host != this->holder) {
    this->host_positions.OnStatement(position, this->now);
  } else if (this->holder == host &&
             position.host == this->lease_settings.self) {
    this->AdoptPosition(position);
  }
}

void ControlState::AdoptPosition(const HostPosition& position) {
  this->own_position = position;
  this->positioned_since = this->now - position.age;
  this->PublishShares();
}

void ControlState::StatePosition() {
  if (!this->own_position) {
    return;
  }
  this->own_position->age = this->now - this->positioned_since;
  if (this->is_limit_coordinator) {
    this->host_positions.OnStatement(*this->own_position, this->now);
  } else {
    this->effects.emplace_back(SendToHolder{.message = *this->own_position});
  }
}

void ControlState::SendPositions() {
  for (const HostPosition& position :
       this->host_positions.TakeChanged(this->now)) {
    if (position.host == this->lease_settings.self) {
      this->AdoptPosition(position);
    } else {
      this->effects.emplace_back(
          SendToHost{.host = position.host, .message = position});
    }
  }
}

void ControlState::OnPeerMessage(const HostId& host,
                                 const ModelLoadRequest& request) {
  this->FeedPlacement(HostModelLoadRequest{.host = host, .request = request});
}

void ControlState::OnPeerMessage(const HostId& host,
                                 const PlacementChange& change) {
  if (this->holder == host) {
    this->NotifyEntry(change);
  }
}

void ControlState::OnPeerMessage(const HostId& host, const ShareGrant& grant) {
  if (this->holder != host) {
    return;
  }
  this->RecordReportedVersion(grant.configuration);
  this->last_grant = grant;
  this->last_grant_at = this->now;
  this->known_host_count = grant.host_count;
  this->PublishShares();
}

void ControlState::OnPeerMessage(const HostId& host,
                                 const QuotaRequest& request) {
  const QuotaReply reply =
      this->is_limit_coordinator
          ? this->ledger.HandleQuotaRequest(request, this->now)
          : QuotaReply{.request = request.request};
  if (host == this->lease_settings.self) {
    this->NotifyEntry(reply);
  } else {
    this->effects.emplace_back(SendToHost{.host = host, .message = reply});
  }
}

void ControlState::OnPeerMessage(const HostId& host, const QuotaReply& reply) {
  if (this->holder == host) {
    this->NotifyEntry(reply);
  }
}

void ControlState::OnPeerMessage(const HostId&, const WarmupRequest& request) {
  const double rate = this->ColdRequestRate(request.target);
  if (rate > 0) {
    this->warmup.OnRequest(request, rate, this->now);
    this->SendWarmupGrants();
  }
}

void ControlState::OnPeerMessage(const HostId& host, const WarmupGrant& grant) {
  if (this->holder == host) {
    this->NotifyEntry(grant);
  }
}

double ControlState::ColdRequestRate(const TargetId& target) const {
  const TargetRecordPtr record = this->fleet_tracker.Find(target);
  const Service* service =
      record == nullptr || this->configuration == nullptr
          ? nullptr
          : this->configuration->FindService(record->service);
  return service == nullptr ? 0 : service->cold_requests_per_second;
}

// Only while the lease is valid: once it has expired, the next holder may grant
// the whole rate, whether or not this host has noticed.
void ControlState::SendWarmupGrants() {
  if (!this->is_lease_valid || this->now >= this->lease_valid_until) {
    return;
  }
  for (const HostWarmupGrant& grant : this->warmup.IssueGrants(this->now)) {
    if (grant.host == this->lease_settings.self) {
      this->NotifyEntry(grant.grant);
    } else {
      this->effects.emplace_back(
          SendToHost{.host = grant.host, .message = grant.grant});
    }
  }
}

// Hosts send the report to the limit coordinator, which forwards it to all
// connected hosts.
void ControlState::OnPeerMessage(const HostId& host,
                                 const TargetLeavingReport& report) {
  if (this->is_limit_coordinator) {
    // Hosts of an earlier version don't ask for relays, and don't know the
    // message either.
    this->effects.emplace_back(SendToHosts{
        .hosts = this->relay_publisher.subscribers(), .message = report});
  }
  if (host != this->lease_settings.self) {
    this->MarkLeaving(report);
  }
}

void ControlState::Handle(const QuotaHistory& history) {
  this->ReportToHolder(history);
}

void ControlState::OnPeerMessage(const HostId&, const QuotaHistory& history) {
  if (this->is_limit_coordinator) {
    this->ledger.OnHistory(history, this->now);
  }
}

void ControlState::DivideSharesIfDue() {
  // By then the grants that a successor still counts as used by this host have
  // expired.
  if (!this->is_lease_valid &&
      this->now - this->lease_valid_until > kShareGrantTtl) {
    this->is_limit_coordinator = false;
  }
  if (this->now - this->last_division_at >= kShareDivisionInterval) {
    this->DivideShares();
  }
}

void ControlState::DivideShares() {
  if (!this->is_limit_coordinator || !this->configuration) {
    return;
  }
  this->last_division_at = this->now;
  std::vector<LimitedCustomer> limited_customers;
  for (const Customer& customer : this->configuration->value().customers) {
    if (customer.rate_per_second > 0) {
      limited_customers.push_back(
          {.id = customer.id,
           .limit = {.rate_per_second = customer.rate_per_second,
                     .burst = customer.burst,
                     .window = this->limit_window}});
    }
  }
  for (auto& [host, message] : this->ledger.Divide(
           limited_customers, this->is_lease_valid, this->now)) {
    message.configuration = this->CurrentVersion();
    if (host == this->lease_settings.self) {
      this->OnPeerMessage(host, message);
    } else {
      this->effects.emplace_back(
          SendToHost{.host = host, .message = std::move(message)});
    }
  }
  this->SendPositions();
}

std::uint32_t ControlState::AssumedHostCount() const {
  // A holder that reports a single host has just started and knows no other
  // yet.
  return this->known_host_count > 1 || this->last_grant.grant_number != 0
             ? std::max(1U, this->known_host_count)
         : this->lease.has_read_log() ? kDefaultHostCount
                                      : kMaxHostCount;
}

// The newest record at the first read of the log describes the time before this
// process started.
void ControlState::RecordPreviousHolder() {
  const auto& last = this->lease.last_entry();
  if (!last) {
    this->previous_holder_offset.reset();
    return;
  }
  if (last->offset == this->previous_holder_offset ||
      last->record.secret == this->lease_settings.secret) {
    return;
  }
  this->previous_holder_offset = last->offset;
  // The first record of a holder may have a host count of 1, since it knows no
  // other host yet.
  this->known_host_count =
      std::max(this->known_host_count, last->record.host_count);
  this->previous_holder_usage = last->record.limit_usage;
  if (!this->usage_before_start) {
    this->usage_before_start = last->record.limit_usage;
    this->PublishShares();
  }
}

bool ControlState::HasValidGrant() const {
  return this->last_grant.grant_number != 0 &&
         this->now - this->last_grant_at < kShareGrantTtl;
}

double ControlState::ReservedShare() const {
  return ReservedFraction(this->AssumedHostCount()) / this->AssumedHostCount();
}

bool ControlState::IsLeaseHolderReachable() const {
  return this->is_limit_coordinator || this->connected_holder.has_value();
}

// This host's share of a customer's limit is its even part of the reserved
// fraction, plus what the holder granted.
void ControlState::PublishShares() {
  const std::uint32_t hosts = this->AssumedHostCount();
  const double reserved = this->ReservedShare();
  SharesChanged shares{
      .host_count = hosts,
      .default_share = reserved,
      .is_lease_holder_reachable = this->IsLeaseHolderReachable()};
  if (this->own_position) {
    shares.host_position = this->own_position->position;
    shares.position_count = this->own_position->count;
    shares.positioned_since = this->positioned_since;
  }
  if (this->usage_before_start) {
    shares.usage_before_start = *this->usage_before_start;
  }
  if (this->HasValidGrant()) {
    for (const GrantedShare& share : this->last_grant.shares) {
      shares.shares.push_back(GrantedShare{.customer = share.customer,
                                           .share = share.share + reserved});
    }
  }
  if (this->published_shares != shares) {
    this->published_shares = shares;
    this->NotifyEntry(std::move(shares));
  }
}

}  // namespace cicadaloft
