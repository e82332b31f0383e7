#include "cicadaloft/membership/lease_keeper.h"

#include <algorithm>

namespace cicadaloft {
namespace {

/// Between two urgent renewals.
constexpr Duration kUrgentInterval = std::chrono::milliseconds(200);

}  // namespace

LeaseKeeper::LeaseKeeper(const LeaseTerms& terms) : terms(terms) {}

bool LeaseKeeper::NoteEvent(TimePoint now) {
  const bool was_suspended =
      this->last_event.has_value() &&
      now - *this->last_event > this->terms.suspension_limit;
  this->last_event = now;
  if (was_suspended) {
    this->suspended_until = now;
    this->last_made.reset();
  }
  return was_suspended;
}

void LeaseKeeper::NoteRenewal(SequenceNumber sequence, TimePoint now) {
  this->renewals.emplace(sequence, now);
  this->last_made = now;
}

void LeaseKeeper::Withdraw(SequenceNumber sequence) {
  this->renewals.erase(sequence);
}

void LeaseKeeper::NoteReadBack(SequenceNumber last) {
  const auto end = this->renewals.upper_bound(last);
  if (end == this->renewals.begin()) {
    return;
  }
  const TimePoint made = std::prev(end)->second;
  this->renewals.erase(this->renewals.begin(), end);
  this->renewed = std::max(this->renewed.value_or(made), made);
  if (this->suspended_until.has_value() && made >= *this->suspended_until) {
    this->suspended_until.reset();
  }
}

void LeaseKeeper::NoteMatePosition(TimePoint now) {
  if (this->suspended_until.has_value() &&
      now - *this->suspended_until >= this->terms.stale_message_time) {
    this->suspended_until.reset();
  }
}

void LeaseKeeper::Forget() {
  this->renewals.clear();
  this->last_made.reset();
  this->renewed.reset();
}

bool LeaseKeeper::HasLease(TimePoint now) const {
  return this->renewed.has_value() &&
         now < *this->renewed + this->terms.lease_term;
}

bool LeaseKeeper::MayUseRights(const MateView& view, TimePoint now) const {
  if (!view.is_in_force || !this->IsConfirmed()) {
    return false;
  }
  if (this->HasLease(now)) {
    return true;
  }
  const bool nobody_reaches_log =
      !view.is_log_reachable && !view.does_mate_reach_log;
  return nobody_reaches_log && (view.is_mate_linked || view.is_only_member);
}

bool LeaseKeeper::IsRenewalDue(bool is_urgent, TimePoint now) const {
  if (!this->last_made.has_value()) {
    return true;
  }
  return now - *this->last_made >=
         (is_urgent ? kUrgentInterval : this->terms.renew_interval);
}

}  // namespace cicadaloft
