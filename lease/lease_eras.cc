#include <algorithm>
#include <utility>

#include "cicadaloft/lease/fencing_tokens.h"
#include "cicadaloft/lease/lease_state.h"
#include "cicadaloft/store/store_era.h"

namespace cicadaloft {

bool LeaseState::UseAnswer(StoreEra stated) {
  this->is_call_pending = false;
  const bool is_outdated = std::exchange(this->is_call_outdated, false);
  if (!this->era) {
    this->era = stated;
    this->era_seen_at = this->now;
  }
  switch (CompareEras(*this->era, stated)) {
    case EraChange::kNone:
      return !is_outdated;
    case EraChange::kNew:
      this->BeginEra(stated);
      return false;
    case EraChange::kOutdated:
      this->last_call_at = this->now;
      return false;
  }
  return false;
}

void LeaseState::Handle(const StoreEraSeen& seen) {
  if (!this->era) {
    this->era = seen.era;
    this->era_seen_at = this->now;
  } else if (CompareEras(*this->era, seen.era) == EraChange::kNew) {
    this->is_call_outdated = this->is_call_pending;
    this->BeginEra(seen.era);
  }
}

// Everything that was read from the log may be gone. A pending append may still
// be executed, but its record isn't native then.
void LeaseState::BeginEra(StoreEra new_era) {
  if (this->current_token != FencingToken()) {
    this->is_reclaiming = true;
    this->reclaim_until = this->lease_valid_until;
    this->reclaim_orders_from = this->orders_allowed_from;
  }
  this->is_reclaiming &= this->now < this->reclaim_until;
  // Covers orders of the last term that are on their way.
  this->reclaim_orders_from = std::max(
      this->reclaim_orders_from, this->now + this->settings.clock_drift_margin);
  this->LoseLease("the store came back from an older copy");
  this->era = new_era;
  this->era_seen_at = this->now;
  this->has_seen_restore = true;
  this->next_offset = LogOffset();
  this->has_read = false;
  this->newest_entry.reset();
  this->newest_entry_at = this->now;
  this->last_call_at = TimePoint{};
  this->pending_append.reset();
  this->is_append_in_doubt = false;
}

bool LeaseState::IsNative(const LeaseRecord& record) const {
  return this->era && EraOf(record.token) == *this->era;
}

void LeaseState::AnnounceHolder(const LeaseLogEntry& entry) {
  const LeaseRecord& record = entry.record;
  if (record.holder == this->announced_holder &&
      record.secret == this->announced_secret) {
    return;
  }
  this->announced_holder = record.holder;
  this->announced_secret = record.secret;
  this->effects.emplace_back(HolderChanged{
      .record = record, .token = FencingToken(entry.offset.value())});
  this->LogDecision("lease.holder",
                    {{"holder", record.holder.value()},
                     {"offset", entry.offset.value()},
                     {"era", this->era.value_or(StoreEra()).value()},
                     {"era_of_record", EraOf(record.token).value()}});
}

}  // namespace cicadaloft
