#include <algorithm>
#include <utility>
#include <variant>

#include "cicadaloft/control/control_state.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft {
namespace {

/// Between two divisions of customers' limits: shares follow demand within a
/// second or two.
constexpr Duration kDivideInterval = std::chrono::seconds(1);

}  // namespace

void ControlState::Take(const LeaseEvent& event) {
  this->FeedLease(event);
}

void ControlState::FeedLease(const LeaseEvent& event) {
  auto step = Decide(std::move(this->lease), event, this->now);
  this->lease = std::move(step.state);
  this->NoteHolderBefore();
  for (const LeaseEffect& effect : step.effects) {
    std::visit(
        Overloaded{
            [this](const HolderChanged& change) {
              this->OnHolderChanged(change.record);
            },
            [this](const LeaseExtended& right) { this->OnRight(right); },
            [this](const LeaseLost&) {
              this->is_lease_valid = false;
              this->next_token = FencingToken();
              this->FeedPlacement(PlacementStopped{});
              this->DivideShares();
            },
            [this](const AppendLeaseRecord& append) {
              this->effects.emplace_back(this->Complete(append));
            },
            [this](const auto& other) { this->effects.emplace_back(other); }},
        effect);
  }
}

void ControlState::OnHolderChanged(const LeaseRecord& record) {
  if (record.secret != this->lease_settings.secret) {
    this->is_keeper = false;
    this->has_placed = false;
  }
  this->holder = record.holder;
  this->linked_holder.reset();
  this->effects.emplace_back(ConnectToHolder{.holder = record});
}

void ControlState::OnRight(const LeaseExtended& right) {
  this->right_until = right.valid_until;
  if (std::exchange(this->is_lease_valid, true)) {
    return;
  }
  this->orders_from = right.orders_allowed_from;
  this->next_token = right.token;
  this->warmup.BeginTerm(this->now);
  if (!std::exchange(this->is_keeper, true)) {
    this->ledger.BeginTerm(this->known_hosts, this->spent_before, this->now);
  }
  this->BeginPlacementIfDue();
  this->DivideShares();
}

void ControlState::BeginPlacementIfDue() {
  if (this->next_token != FencingToken() && this->now >= this->orders_from) {
    this->FeedPlacement(PlacementStarted{
        .token = std::exchange(this->next_token, FencingToken()),
        .is_state_current = std::exchange(this->has_placed, true)});
  }
}

AppendLeaseRecord ControlState::Complete(AppendLeaseRecord append) {
  // A new holder has heard of nobody yet, and must not make the others believe
  // that they are few.
  append.record.host_count =
      std::max(this->ledger.HostCount(this->now), this->known_hosts);
  const auto& last = this->lease.last_entry();
  append.record.max_cores = std::max(this->lease_settings.cores,
                                     this->is_keeper ? this->ledger.MaxCores()
                                     : last          ? last->record.max_cores
                                                     : 0);
  append.record.limit_usage =
      this->is_keeper ? this->ledger.Usage(this->now) : this->spent_before;
  return append;
}

void ControlState::FeedPlacement(const PlacementEvent& event) {
  auto step = Decide(std::move(this->placement), event, this->now);
  this->placement = std::move(step.state);
  for (const PlacementEffect& effect : step.effects) {
    std::visit(Overloaded{[this](const SendPlacementChange& tell) {
                            this->Tell(tell.change);
                            for (const HostId& host : tell.hosts) {
                              if (host != this->lease_settings.self) {
                                this->effects.emplace_back(SendToHost{
                                    .host = host, .message = tell.change});
                              }
                            }
                          },
                          [this](const SendOrder& order) {
                            SendOrder bounded = order;
                            bounded.valid_until = this->right_until;
                            this->effects.emplace_back(std::move(bounded));
                          },
                          [this](const auto& other) {
                            this->effects.emplace_back(other);
                          }},
               effect);
  }
}

void ControlState::Report(PeerMessage message) {
  if (this->is_keeper) {
    std::visit(
        [this](const auto& item) {
          this->OnPeer(this->lease_settings.self, item);
        },
        message);
    return;
  }
  this->effects.emplace_back(SendToHolder{.message = std::move(message)});
}

void ControlState::OnPeer(const HostId&, const ModelUsageReport& report) {
  this->FeedPlacement(report);
}

void ControlState::OnPeer(const HostId&, const DemandReport& report) {
  this->NoteVersion(report.configuration);
  if (this->is_keeper) {
    this->ledger.OnReport(report, this->now);
  }
}

void ControlState::OnPeer(const HostId& host, const ModelLoadRequest& wanted) {
  this->FeedPlacement(HostModelLoadRequest{.host = host, .request = wanted});
}

void ControlState::OnPeer(const HostId& host, const PlacementChange& change) {
  if (this->holder == host) {
    this->Tell(change);
  }
}

void ControlState::OnPeer(const HostId& host, const ShareGrant& message) {
  if (this->holder != host) {
    return;
  }
  this->NoteVersion(message.configuration);
  this->granted = message;
  this->granted_at = this->now;
  this->known_hosts = message.host_count;
  this->TellShares();
}

void ControlState::OnPeer(const HostId& host, const QuotaRequest& asked) {
  const QuotaReply drawn =
      this->is_keeper ? this->ledger.HandleQuotaRequest(asked, this->now)
                      : QuotaReply{.request = asked.request};
  if (host == this->lease_settings.self) {
    this->Tell(drawn);
  } else {
    this->effects.emplace_back(SendToHost{.host = host, .message = drawn});
  }
}

void ControlState::OnPeer(const HostId& host, const QuotaReply& drawn) {
  if (this->holder == host) {
    this->Tell(drawn);
  }
}

void ControlState::OnPeer(const HostId&, const WarmupRequest& asked) {
  const double rate = this->ColdRate(asked.target);
  if (rate > 0) {
    this->warmup.OnRequest(asked, rate, this->now);
    this->GrantWarmup();
  }
}

void ControlState::OnPeer(const HostId& host, const WarmupGrant& granted) {
  if (this->holder == host) {
    this->Tell(granted);
  }
}

double ControlState::ColdRate(const TargetId& target) const {
  const TargetRecordPtr record = this->fleet_register.Find(target);
  const Service* service =
      record == nullptr || this->configuration == nullptr
          ? nullptr
          : this->configuration->FindService(record->service);
  return service == nullptr ? 0 : service->cold_requests_per_second;
}

// Only under the lease: the next holder may grant the whole rate as soon as the
// right has ended, whether this host has noticed that or not.
void ControlState::GrantWarmup() {
  if (!this->is_lease_valid || this->now >= this->right_until) {
    return;
  }
  for (const HostWarmupGrant& grant : this->warmup.IssueGrants(this->now)) {
    if (grant.host == this->lease_settings.self) {
      this->Tell(grant.grant);
    } else {
      this->effects.emplace_back(
          SendToHost{.host = grant.host, .message = grant.grant});
    }
  }
}

// The holder passes it on to all; others take it from the holder.
void ControlState::OnPeer(const HostId& host, const TargetCrashReport& notice) {
  if (this->is_keeper) {
    this->effects.emplace_back(SendToAllHosts{.message = notice});
  }
  if (host != this->lease_settings.self) {
    this->Tell(notice);
  }
}

void ControlState::DivideSharesIfDue() {
  // What a successor takes this host to use has lapsed by then.
  if (!this->is_lease_valid && this->now - this->right_until > kShareGrantTtl) {
    this->is_keeper = false;
  }
  if (this->now - this->divided_at >= kDivideInterval) {
    this->DivideShares();
  }
}

void ControlState::DivideShares() {
  if (!this->is_keeper || !this->configuration) {
    return;
  }
  this->divided_at = this->now;
  std::vector<LimitedCustomer> limited;
  for (const Customer& customer : this->configuration->value().customers) {
    if (customer.rate_per_second > 0) {
      limited.push_back({.id = customer.id,
                         .limit = {.rate_per_second = customer.rate_per_second,
                                   .burst = customer.burst,
                                   .window = this->limit_window}});
    }
  }
  for (auto& [host, message] :
       this->ledger.Divide(limited, this->is_lease_valid, this->now)) {
    message.configuration = this->Version();
    if (host == this->lease_settings.self) {
      this->OnPeer(host, message);
    } else {
      this->effects.emplace_back(
          SendToHost{.host = host, .message = std::move(message)});
    }
  }
}

std::uint32_t ControlState::KnownHosts() const {
  // A holder that says that it is alone has only just begun.
  return this->known_hosts > 1 || this->granted.grant_number != 0
             ? std::max(1U, this->known_hosts)
             : kDefaultHostCount;
}

// The newest record when this process first reads the log tells of the time
// before it.
void ControlState::NoteHolderBefore() {
  const auto& last = this->lease.last_entry();
  if (!last || last->offset == this->noted_record ||
      last->record.secret == this->lease_settings.secret) {
    return;
  }
  this->noted_record = last->offset;
  // A holder's first record can't tell how many hosts there are.
  this->known_hosts = std::max(this->known_hosts, last->record.host_count);
  this->spent_before = last->record.limit_usage;
  if (!this->spent_before_start) {
    this->spent_before_start = last->record.limit_usage;
    this->TellShares();
  }
}

bool ControlState::HasGrant() const {
  return this->granted.grant_number != 0 &&
         this->now - this->granted_at < kShareGrantTtl;
}

double ControlState::ReservedShare() const {
  return ReservedFraction(this->KnownHosts()) / this->KnownHosts();
}

bool ControlState::CanDraw() const {
  return this->is_keeper || this->linked_holder.has_value();
}

// What this host may use: its part of what is reserved, and what is granted.
void ControlState::TellShares() {
  const std::uint32_t hosts = this->KnownHosts();
  const double reserved = this->ReservedShare();
  SharesChanged shares{.host_count = hosts,
                       .default_share = reserved,
                       .is_lease_holder_reachable = this->CanDraw()};
  if (this->spent_before_start) {
    shares.usage_before_start = *this->spent_before_start;
  }
  if (this->HasGrant()) {
    for (const GrantedShare& share : this->granted.customers) {
      shares.customers.push_back(GrantedShare{.customer = share.customer,
                                              .share = share.share + reserved});
    }
  }
  if (this->told_shares != shares) {
    this->told_shares = shares;
    this->Tell(std::move(shares));
  }
}

}  // namespace cicadaloft
