#include "cicadaloft/lease/lease_state.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/lease/fencing_tokens.h"

namespace cicadaloft {
namespace {

/// Time between two reads of the log while the link to the holder is up.
/// Messages on the link show that the holder is alive, so reading only guards
/// against a link that outlives the lease.
constexpr Duration kSlowReadInterval = std::chrono::seconds(20);
/// The same for watchers: the later a host has read the last renewal, the later
/// it may claim an expired lease.
constexpr Duration kWatcherReadInterval = std::chrono::seconds(5);
/// Number of watchers among all hosts, on average.
constexpr std::uint32_t kWatcherCount = 12;
/// A holder whose link is up but silent for this long is treated as if its link
/// were down.
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(1800);
/// Hosts with this fraction of the highest core count claim without a delay,
/// like the strongest one.
constexpr double kStrongHostFraction = 0.8;
/// Time between two calls to the log, so that failed ones are not repeated
/// immediately.
constexpr Duration kRetryInterval = std::chrono::milliseconds(250);

}  // namespace

LeaseState::LeaseState(LeaseSettings settings)
    : settings(std::move(settings)) {}

Step<LeaseState, LeaseEffect> Decide(LeaseState state,
                                     const LeaseEvent& event,
                                     TimePoint now) {
  state.now = now;
  state.LoseLeaseIfExpired();
  std::visit([&](const auto& item) { state.Handle(item); }, event);
  state.StartDueCall();
  std::vector<LeaseEffect> effects = std::exchange(state.effects, {});
  return Step<LeaseState, LeaseEffect>{.state = std::move(state),
                                       .effects = std::move(effects)};
}

bool LeaseState::MaySendOrders(TimePoint time) const {
  return this->current_token != FencingToken() &&
         time < this->lease_valid_until && time >= this->orders_allowed_from;
}

void LeaseState::Handle(const LeaseLogRead& read) {
  if (!this->UseAnswer(read.era)) {
    return;
  }
  this->is_append_in_doubt = false;
  this->last_read_at = this->now;
  if (!this->has_read) {
    this->has_read = true;
    this->newest_entry_at = this->now;
  }
  std::ranges::for_each(read.entries, [this](const LeaseLogEntry& entry) {
    this->OnLogEntry(entry);
  });
  this->next_offset = std::max(this->next_offset, read.next_offset);
  // An append that was not written at its expected offset can't be written
  // there any more.
  if (this->pending_append &&
      this->pending_append->expected_end < this->next_offset) {
    this->pending_append.reset();
  }
}

void LeaseState::OnLogEntry(const LeaseLogEntry& entry) {
  const bool is_known =
      this->newest_entry && entry.offset <= this->newest_entry->offset;
  if (is_known) {
    return;
  }
  // A record of the copy may be older than the last holder that hosts know.
  const bool may_be_outdated = this->has_seen_restore && !this->newest_entry &&
                               !this->IsNative(entry.record);
  this->newest_entry = entry;
  this->newest_entry_at = this->now;
  const bool is_own_write =
      this->pending_append &&
      this->pending_append->expected_end == entry.offset &&
      this->IsOwnRecord(entry.record);
  this->is_reclaiming &= is_own_write || !this->IsNative(entry.record);
  if (is_own_write) {
    this->ExtendLease(entry, this->pending_append_sent_at);
    return;
  }
  if (!this->IsOwnRecord(entry.record) &&
      this->current_token != FencingToken()) {
    this->LoseLease("another host holds the lease");
  }
  if (!may_be_outdated && !entry.record.is_released) {
    this->AnnounceHolder(entry);
  }
}

void LeaseState::Handle(const LeaseAppendEnded& ended) {
  const bool is_usable =
      this->UseAnswer(ended.era.value_or(this->era.value_or(StoreEra())));
  if (!this->pending_append) {
    return;
  }
  if (!is_usable) {
    this->is_append_in_doubt = true;
    return;
  }
  switch (ended.outcome) {
    case LeaseAppendOutcome::kWritten: {
      const LeaseLogEntry entry{.offset = this->pending_append->expected_end,
                                .record = this->pending_append->record};
      this->newest_entry = entry;
      this->newest_entry_at = this->now;
      this->next_offset = LogOffset(entry.offset.value() + 1);
      this->ExtendLease(entry, ended.sent_at);
      this->pending_append.reset();
      break;
    }
    case LeaseAppendOutcome::kConflict:
    case LeaseAppendOutcome::kUnknown:
      this->is_append_in_doubt = true;
      break;
    case LeaseAppendOutcome::kRefused:
      this->pending_append.reset();
      break;
  }
}

// The lease's validity counts from the sending of the append, since the log may
// have been slow to answer.
void LeaseState::ExtendLease(const LeaseLogEntry& entry, TimePoint sent_at) {
  this->has_read = true;
  if (entry.record.is_released) {
    this->has_released = true;
    return;
  }
  if (this->has_sent_release) {
    return;
  }
  const bool is_new_term = this->current_token == FencingToken();
  if (is_new_term) {
    this->current_token =
        MakeFencingToken(this->era.value_or(StoreEra()), entry.offset);
    this->is_reclaiming = false;
    this->announced_holder = entry.record.holder;
    this->announced_secret = entry.record.secret;
    this->effects.emplace_back(
        HolderChanged{.record = entry.record, .token = this->current_token});
    this->LogDecision("lease.gained",
                      {{"token", this->current_token.value()},
                       {"era", this->era.value_or(StoreEra()).value()},
                       {"offset", entry.offset.value()}});
  }
  this->lease_valid_until = sent_at + this->settings.ttl;
  this->effects.emplace_back(
      LeaseExtended{.token = this->current_token,
                    .valid_until = this->lease_valid_until,
                    .orders_allowed_from = this->orders_allowed_from});
}

void LeaseState::Handle(const LeaseReadFailed&) {
  this->is_call_pending = false;
  this->last_call_at = this->now;
}

void LeaseState::Handle(const HolderHeartbeat& heartbeat) {
  if (this->newest_entry &&
      this->newest_entry->record.holder == heartbeat.holder) {
    this->last_heartbeat_at = this->now;
    this->is_holder_connected = true;
  }
}

void LeaseState::Handle(const HolderDisconnected&) {
  this->is_holder_connected = false;
}

void LeaseState::Handle(const LeaseStop&) {
  this->is_stopping = true;
  this->last_call_at = TimePoint{};
}

void LeaseState::Handle(const LeaseTick&) {}

// Starts the call to the log that is due, if any. Only one is pending at a
// time.
void LeaseState::StartDueCall() {
  if (this->is_call_pending ||
      this->now - this->last_call_at < kRetryInterval) {
    return;
  }
  if (this->is_stopping) {
    const bool is_holder = this->newest_entry &&
                           this->IsOwnRecord(this->newest_entry->record) &&
                           !this->newest_entry->record.is_released;
    if (is_holder && !this->has_released && !this->pending_append) {
      this->AppendRecord(true);
    } else if (this->settings.follows_log_while_stopping &&
               (this->is_append_in_doubt || this->IsReadDue())) {
      this->ReadLog();
    }
    return;
  }
  if (!this->has_read || this->is_append_in_doubt || this->IsReadDue()) {
    this->ReadLog();
  } else if (this->pending_append || this->IsRenewalDue() ||
             this->IsClaimDue()) {
    this->AppendRecord(false);
  }
}

bool LeaseState::IsReadDue() const {
  const bool is_own_lease = this->newest_entry &&
                            this->IsOwnRecord(this->newest_entry->record) &&
                            this->current_token != FencingToken();
  if (is_own_lease) {
    return false;
  }
  const bool is_holder_alive =
      this->is_holder_connected &&
      this->now - this->last_heartbeat_at < kHeartbeatTimeout;
  const Duration slow_interval =
      this->IsWatcher() ? kWatcherReadInterval : kSlowReadInterval;
  return this->now - this->last_read_at >=
         (is_holder_alive ? slow_interval : kLeaseReadInterval);
}

// Whether this host is one of the few that keep up with the log, so that one of
// them can soon claim a lease that has expired.
bool LeaseState::IsWatcher() const {
  const std::uint32_t hosts =
      this->newest_entry ? this->newest_entry->record.host_count : 1;
  const std::uint32_t hosts_per_watcher = std::max(1U, hosts / kWatcherCount);
  return StableHash("watcher " + this->settings.self.value()) %
             hosts_per_watcher ==
         0;
}

bool LeaseState::IsRenewalDue() const {
  return this->current_token != FencingToken() && this->newest_entry &&
         this->IsOwnRecord(this->newest_entry->record) &&
         this->now + this->settings.ttl - this->lease_valid_until >=
             this->settings.renew_interval;
}

// Delays the claims of hosts so that those with the most cores come first.
Duration LeaseState::ClaimDelay() const {
  const Duration jitter(StableHash(this->settings.self.value()) %
                        static_cast<std::uint64_t>(kClaimJitter.count()));
  if (!this->newest_entry) {
    const double missing_cores = 1 - std::min(1.0, this->settings.cores);
    return jitter + std::chrono::duration_cast<Duration>(kWeakHostClaimDelay *
                                                         missing_cores);
  }
  const bool is_weaker =
      this->settings.cores <
      this->newest_entry->record.max_cores * kStrongHostFraction;
  return is_weaker ? kWeakHostClaimDelay + jitter : jitter;
}

bool LeaseState::IsClaimDue() const {
  if (this->is_reclaiming) {
    return true;
  }
  if (!this->newest_entry) {
    return this->now >= this->EmptyLogExpiry() + this->ClaimDelay();
  }
  const LeaseRecord& last = this->newest_entry->record;
  if (last.holder == this->settings.self && this->IsNative(last)) {
    // An earlier process on this machine was the last holder; no other host can
    // have acted since.
    return true;
  }
  const bool is_holder_alive =
      this->is_holder_connected &&
      this->now - this->last_heartbeat_at < kHeartbeatTimeout &&
      !last.is_released;
  if (is_holder_alive) {
    return false;
  }
  return this->now >= this->LastLeaseExpiry() + this->ClaimDelay();
}

// Includes the margin for clock drift. A record that isn't native may have had
// a successor that was lost.
TimePoint LeaseState::LastLeaseExpiry() const {
  const LeaseRecord& last = this->newest_entry->record;
  const Duration validity = last.is_released && this->IsNative(last)
                                ? Duration::zero()
                                : this->settings.ttl;
  return this->newest_entry_at + validity + this->settings.clock_drift_margin;
}

// The log has no records: the system has never run, or they were lost or are
// too old to be kept.
TimePoint LeaseState::EmptyLogExpiry() const {
  const bool has_had_no_holder =
      this->settings.is_first_start && !this->has_seen_restore;
  return this->newest_entry_at +
         (has_had_no_holder
              ? Duration::zero()
              : this->settings.ttl + this->settings.clock_drift_margin);
}

TimePoint LeaseState::OrdersAllowedFrom() const {
  if (this->is_reclaiming) {
    return this->reclaim_orders_from;
  }
  if (!this->newest_entry) {
    const bool has_had_no_holder =
        this->EmptyLogExpiry() == this->newest_entry_at;
    return has_had_no_holder
               ? this->now
               : this->EmptyLogExpiry() + this->settings.handover_delay;
  }
  const LeaseRecord& last = this->newest_entry->record;
  if (last.holder == this->settings.self && this->IsNative(last)) {
    return this->newest_entry_at + last.order_delay;
  }
  return this->LastLeaseExpiry() + this->settings.handover_delay;
}

void LeaseState::ReadLog() {
  this->is_call_pending = true;
  this->last_call_at = this->now;
  this->effects.emplace_back(ReadLeaseLog{.from = this->next_offset});
}

void LeaseState::AppendRecord(bool is_release) {
  const bool is_claim = !is_release && !this->pending_append &&
                        this->current_token == FencingToken();
  if (is_claim) {
    this->orders_allowed_from = this->OrdersAllowedFrom();
  }
  AppendLeaseRecord append{
      .expected_end = this->next_offset,
      .record = LeaseRecord{
          .holder = this->settings.self,
          .address = this->settings.address,
          .secret = this->settings.secret,
          .token = this->current_token != FencingToken()
                       ? this->current_token
                       : MakeTokenOfNewTerm(this->era.value_or(StoreEra())),
          .is_released = is_release,
          .order_delay = std::max(Duration::zero(),
                                  this->orders_allowed_from - this->now)}};
  this->is_call_pending = true;
  this->last_call_at = this->now;
  // If an append is repeated, the record found in the log may be from the first
  // attempt, so the lease's validity counts from the sending of that one.
  const bool is_repeat =
      this->pending_append &&
      this->pending_append->expected_end == append.expected_end;
  if (!is_repeat) {
    this->pending_append_sent_at = this->now;
  }
  this->pending_append = append;
  if (is_release) {
    // A successor counts its delay from this record, whether or not its answer
    // arrives here.
    this->has_sent_release = true;
    this->LoseLease("released");
  }
  this->effects.emplace_back(std::move(append));
}

bool LeaseState::IsOwnRecord(const LeaseRecord& record) const {
  return record.holder == this->settings.self &&
         record.secret == this->settings.secret;
}

void LeaseState::LoseLeaseIfExpired() {
  if (this->current_token != FencingToken() &&
      this->now >= this->lease_valid_until) {
    this->LoseLease("not renewed in time");
  }
}

void LeaseState::LoseLease(const char* reason) {
  if (this->current_token == FencingToken()) {
    return;
  }
  this->current_token = FencingToken();
  this->effects.emplace_back(LeaseLost{});
  this->LogDecision("lease.lost", {{"why", reason}});
}

void LeaseState::LogDecision(const char* event, std::vector<LogField> fields) {
  this->effects.emplace_back(
      DecisionRecord{.event = event, .fields = std::move(fields)});
}

}  // namespace cicadaloft
