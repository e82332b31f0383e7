#ifndef CICADALOFT_MEMBERSHIP_LEASE_KEEPER_H_
#define CICADALOFT_MEMBERSHIP_LEASE_KEEPER_H_

#include <compare>
#include <map>
#include <optional>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

struct LeaseTerms {
  const Duration lease_term;
  const Duration renew_interval;
  /// A longer gap between two events means that the process was suspended.
  const Duration suspension_limit;
  /// Link messages that wait on a socket during a suspension are read within
  /// this time after it.
  const Duration stale_message_time;

  friend auto operator<=>(const LeaseTerms&, const LeaseTerms&) = default;
  friend bool operator==(const LeaseTerms&, const LeaseTerms&) = default;
};

/// What a member knows of its own data centre.
struct MateView {
  const bool is_in_force = false;  ///< The own place, by the last known state.
  const bool is_log_reachable = false;
  const bool does_mate_reach_log = false;  ///< A linked mate reads the log.
  const bool is_mate_linked = false;
  const bool is_only_member = false;  ///< The data centre has no other.

  friend auto operator<=>(const MateView&, const MateView&) = default;
  friend bool operator==(const MateView&, const MateView&) = default;
};

/// The own lease by the own clock. It runs from the moment at which a renewal
/// that was read back had been made, so it ends before mates may count it as
/// lapsed.
class LeaseKeeper {
 public:
  explicit LeaseKeeper(const LeaseTerms& terms);

  /// Notes that the process runs.
  /// @return whether it was suspended since the last event.
  bool NoteEvent(TimePoint now);

  /// A join or renewal has been made.
  void NoteRenewal(SequenceNumber sequence, TimePoint now);
  /// A renewal will not be sent: it must never count, though records around it
  /// are read back.
  void Withdraw(SequenceNumber sequence);
  /// Renewals up to this number stand in the log.
  void NoteReadBack(SequenceNumber last);
  /// A mate has told its position: the own place stands as far as it knows.
  void NoteMatePosition(TimePoint now);
  /// The place was lost: nothing that was renewed counts any longer.
  void Forget();

  /// @return whether the process has confirmed its place since it was last
  /// suspended.
  bool IsConfirmed() const { return !this->suspended_until.has_value(); }
  bool HasLease(TimePoint now) const;
  /// @return whether duties and shares may be used right now.
  bool MayUseRights(const MateView& view, TimePoint now) const;
  /// @param is_urgent others wait for what this member has applied.
  bool IsRenewalDue(bool is_urgent, TimePoint now) const;

 private:
  LeaseTerms terms;
  std::optional<TimePoint> last_event;
  std::optional<TimePoint> suspended_until;      ///< Until confirmed.
  std::map<SequenceNumber, TimePoint> renewals;  ///< Not read back yet.
  std::optional<TimePoint> last_made;
  std::optional<TimePoint>
      renewed;  ///< When the last one that counts was made.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_MEMBERSHIP_LEASE_KEEPER_H_
