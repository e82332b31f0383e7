#include "cicadaloft/lease/lease_state.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

/// While the link is up, its messages tell that the holder lives; reading only
/// guards against a link that outlives the lease.
constexpr Duration kSlowReadInterval = std::chrono::seconds(5);
/// A holder whose link is up but silent for so long is read about.
constexpr Duration kSilence = std::chrono::milliseconds(1800);
/// Hosts with this part of the most cores are as good as the strongest.
constexpr double kStrongPart = 0.8;
/// After an append that failed.
constexpr Duration kRetryInterval = std::chrono::milliseconds(250);

}  // namespace

LeaseState::LeaseState(LeaseSettings given) : settings(std::move(given)) {}

Step<LeaseState, LeaseEffect> Decide(LeaseState state,
                                     const LeaseEvent& event,
                                     TimePoint now) {
  state.now = now;
  state.EndRightIfOver();
  std::visit([&](const auto& item) { state.Take(item); }, event);
  state.Act();
  std::vector<LeaseEffect> effects = std::exchange(state.effects, {});
  return Step<LeaseState, LeaseEffect>{.state = std::move(state),
                                       .effects = std::move(effects)};
}

bool LeaseState::MaySendOrders(TimePoint time) const {
  return this->own_token != FencingToken() && time < this->right_until &&
         time >= this->orders_from;
}

void LeaseState::Take(const LeaseLogRead& read) {
  this->is_calling = false;
  this->needs_check = false;
  this->last_read = this->now;
  if (!this->has_read) {
    this->has_read = true;
    this->newest_at = this->now;
  }
  std::ranges::for_each(read.records, [this](const LeaseLogEntry& placed) {
    this->TakeRecord(placed);
  });
  this->next = std::max(this->next, read.end);
  // What was not written where it was to be can't be written any more.
  if (this->unanswered && this->unanswered->expected_end < this->next) {
    this->unanswered.reset();
  }
}

void LeaseState::TakeRecord(const LeaseLogEntry& placed) {
  const bool is_known = this->newest && placed.offset <= this->newest->offset;
  if (is_known) {
    return;
  }
  const bool is_new_holder =
      !this->newest || this->newest->record.holder != placed.record.holder ||
      this->newest->record.secret != placed.record.secret;
  this->newest = placed;
  this->newest_at = this->now;
  const bool is_own_write = this->unanswered &&
                            this->unanswered->expected_end == placed.offset &&
                            this->IsOwn(placed.record);
  if (is_own_write) {
    this->Extend(placed, this->unanswered_sent);
    return;
  }
  if (!this->IsOwn(placed.record) && this->own_token != FencingToken()) {
    this->LoseRight("another host holds the lease");
  }
  if (is_new_holder && !placed.record.is_released) {
    this->effects.emplace_back(HolderChanged{
        .record = placed.record, .token = FencingToken(placed.offset.value())});
    this->Log("lease.holder", {{"holder", placed.record.holder.value()},
                               {"offset", placed.offset.value()}});
  }
}

void LeaseState::Take(const LeaseAppendEnded& ended) {
  this->is_calling = false;
  if (!this->unanswered) {
    return;
  }
  switch (ended.outcome) {
    case LeaseAppendOutcome::kWritten: {
      const LeaseLogEntry placed{.offset = this->unanswered->expected_end,
                                 .record = this->unanswered->record};
      this->newest = placed;
      this->newest_at = this->now;
      this->next = LogOffset(placed.offset.value() + 1);
      this->Extend(placed, ended.sent_at);
      this->unanswered.reset();
      break;
    }
    case LeaseAppendOutcome::kConflict:
    case LeaseAppendOutcome::kUnknown:
      this->needs_check = true;
      break;
    case LeaseAppendOutcome::kRefused:
      this->unanswered.reset();
      break;
  }
}

// The right counts from the sending: the log may have taken its time.
void LeaseState::Extend(const LeaseLogEntry& placed, TimePoint sent_at) {
  this->has_read = true;
  if (placed.record.is_released) {
    this->has_released = true;
    this->LoseRight("given up");
    return;
  }
  const bool begins = this->own_token == FencingToken();
  if (begins) {
    // Offsets begin at 0, tokens at 1.
    this->own_token = FencingToken(placed.offset.value() + 1);
    this->effects.emplace_back(
        HolderChanged{.record = placed.record, .token = this->own_token});
    this->Log("lease.gained", {{"token", this->own_token.value()}});
  }
  this->right_until = sent_at + this->settings.ttl;
  this->effects.emplace_back(
      LeaseExtended{.token = this->own_token,
                    .valid_until = this->right_until,
                    .orders_allowed_from = this->orders_from});
}

void LeaseState::Take(const LeaseReadFailed&) {
  this->is_calling = false;
  this->last_try = this->now;
}

void LeaseState::Take(const HolderHeartbeat& heard) {
  if (this->newest && this->newest->record.holder == heard.holder) {
    this->heard_at = this->now;
    this->is_holder_near = true;
  }
}

void LeaseState::Take(const HolderDisconnected&) {
  this->is_holder_near = false;
}

void LeaseState::Take(const LeaseStop&) {
  this->is_stopping = true;
  this->last_try = TimePoint{};
}

void LeaseState::Take(const LeaseTick&) {}

// Does the one call to the log that is due.
void LeaseState::Act() {
  if (this->is_calling || this->now - this->last_try < kRetryInterval) {
    return;
  }
  if (this->is_stopping) {
    const bool holds = this->newest && this->IsOwn(this->newest->record) &&
                       !this->newest->record.is_released;
    if (holds && !this->has_released && !this->unanswered) {
      this->Append(true);
    }
    return;
  }
  if (!this->has_read || this->needs_check || this->IsReadDue()) {
    this->Read();
  } else if (this->unanswered || this->IsRenewalDue() || this->MayClaim()) {
    this->Append(false);
  }
}

bool LeaseState::IsReadDue() const {
  const bool is_own = this->newest && this->IsOwn(this->newest->record) &&
                      this->own_token != FencingToken();
  if (is_own) {
    return false;
  }
  const bool is_heard =
      this->is_holder_near && this->now - this->heard_at < kSilence;
  return this->now - this->last_read >=
         (is_heard ? kSlowReadInterval : kLeaseReadInterval);
}

bool LeaseState::IsRenewalDue() const {
  return this->own_token != FencingToken() && this->newest &&
         this->IsOwn(this->newest->record) &&
         this->now + this->settings.ttl - this->right_until >=
             this->settings.renew_interval;
}

// Hosts claim one after the other, the strongest first.
Duration LeaseState::ClaimWait() const {
  const Duration spread(StableHash(this->settings.self.value()) %
                        static_cast<std::uint64_t>(kClaimJitter.count()));
  if (!this->newest) {
    const double missing = 1 - std::min(1.0, this->settings.cores);
    return spread +
           std::chrono::duration_cast<Duration>(kWeakHostClaimDelay * missing);
  }
  const bool is_weaker =
      this->settings.cores < this->newest->record.max_cores * kStrongPart;
  return is_weaker ? kWeakHostClaimDelay + spread : spread;
}

bool LeaseState::MayClaim() const {
  if (!this->newest) {
    // Nobody has ever held it, or so long ago that its records are gone.
    return this->now - this->newest_at >= this->ClaimWait();
  }
  const LeaseRecord& last = this->newest->record;
  if (last.holder == this->settings.self) {
    // The same machine goes on; nobody else can have acted since.
    return true;
  }
  const bool is_heard = this->is_holder_near &&
                        this->now - this->heard_at < kSilence &&
                        !last.is_released;
  if (is_heard) {
    return false;
  }
  return this->now >= this->RightOfLastEnds() + this->ClaimWait();
}

// With what clocks may differ by.
TimePoint LeaseState::RightOfLastEnds() const {
  const Duration right =
      this->newest->record.is_released ? Duration::zero() : this->settings.ttl;
  return this->newest_at + right + this->settings.clock_drift_margin;
}

TimePoint LeaseState::OrdersFrom() const {
  if (!this->newest) {
    return this->now;
  }
  const LeaseRecord& last = this->newest->record;
  if (last.holder == this->settings.self) {
    return this->newest_at + last.order_delay;
  }
  return this->RightOfLastEnds() + this->settings.handover_delay;
}

void LeaseState::Read() {
  this->is_calling = true;
  this->last_try = this->now;
  this->effects.emplace_back(ReadLeaseLog{.from = this->next});
}

void LeaseState::Append(bool is_release) {
  const bool is_claim = this->own_token == FencingToken() && !this->unanswered;
  if (is_claim) {
    this->orders_from = this->OrdersFrom();
  }
  AppendLeaseRecord append{
      .expected_end = this->next,
      .record =
          LeaseRecord{.holder = this->settings.self,
                      .address = this->settings.address,
                      .secret = this->settings.secret,
                      .token = this->own_token,
                      .is_released = is_release,
                      .order_delay = std::max(Duration::zero(),
                                              this->orders_from - this->now)}};
  this->is_calling = true;
  this->last_try = this->now;
  // A repeat may be found in the log as the first try that it repeats, so the
  // right counts from the first one's sending.
  const bool is_repeat =
      this->unanswered && this->unanswered->expected_end == append.expected_end;
  if (!is_repeat) {
    this->unanswered_sent = this->now;
  }
  this->unanswered = append;
  this->effects.emplace_back(std::move(append));
}

bool LeaseState::IsOwn(const LeaseRecord& record) const {
  return record.holder == this->settings.self &&
         record.secret == this->settings.secret;
}

void LeaseState::EndRightIfOver() {
  if (this->own_token != FencingToken() && this->now >= this->right_until) {
    this->LoseRight("not renewed in time");
  }
}

void LeaseState::LoseRight(const char* why) {
  if (this->own_token == FencingToken()) {
    return;
  }
  this->own_token = FencingToken();
  this->effects.emplace_back(LeaseLost{});
  this->Log("lease.lost", {{"why", why}});
}

void LeaseState::Log(const char* reason, std::vector<LogField> fields) {
  this->effects.emplace_back(
      DecisionRecord{.event = reason, .fields = std::move(fields)});
}

}  // namespace cicadaloft
