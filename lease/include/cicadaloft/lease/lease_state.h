#ifndef CICADALOFT_LEASE_LEASE_STATE_H_
#define CICADALOFT_LEASE_LEASE_STATE_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/step.h"
#include "cicadaloft/lease/messages.h"

namespace cicadaloft {

/// How often the log is read while the holder's link is down: several times in
/// a lease's term.
inline constexpr Duration kLeaseReadInterval = std::chrono::milliseconds(700);
/// Hosts claim spread over this time, so that most see the winner's record
/// instead of paying for a conflict.
inline constexpr Duration kClaimJitter = std::chrono::milliseconds(400);

/// Weaker hosts claim later by this: a stronger one, which reads the log as
/// often as kLeaseReadInterval, comes before them.
inline constexpr Duration kWeakHostClaimDelay = std::chrono::milliseconds(800);

/// Who this host is as a holder, and the lease's times.
struct LeaseSettings {
  HostId self;
  std::string address;
  std::string secret;  ///< That this host would give out.
  double cores = 1;    ///< That this host may use; holders need many.
  /// A holder may act for so long from the sending of its last renewal on.
  Duration ttl = std::chrono::milliseconds(1600);
  /// Several renewals may fail before the right ends.
  Duration renew_interval = std::chrono::milliseconds(600);
  /// Between the last act of one holder and the first of another; the
  /// platform's bound for orders.
  Duration handover_delay = std::chrono::seconds(3);
  /// Clocks of two hosts differ by less over a term, and a message that was
  /// sent in time is on its way no longer.
  Duration clock_drift_margin = std::chrono::milliseconds(300);

  friend auto operator<=>(const LeaseSettings&, const LeaseSettings&) = default;
  friend bool operator==(const LeaseSettings&, const LeaseSettings&) = default;
};

/// One host's part in the lease: at most one host may act as the holder at a
/// time. The log decides: a record counts if it was written where the log
/// ended for its writer, and the last one names the holder. A successor claims
/// when the right of the last writer has ended for sure, and gives orders when
/// the platform's gap between two holders has passed besides.
class LeaseState {
 public:
  explicit LeaseState(LeaseSettings settings);

  /// @return whether this host may give orders now.
  bool MaySendOrders(TimePoint now) const;
  /// @return the token of the present tenure; 0 if this host is not the holder.
  FencingToken token() const { return this->own_token; }
  /// @return what the last record says; none if nothing has been read.
  const std::optional<LeaseLogEntry>& last_entry() const {
    return this->newest;
  }

  friend Step<LeaseState, LeaseEffect> Decide(LeaseState state,
                                              const LeaseEvent& event,
                                              TimePoint now);

 private:
  void Take(const LeaseLogRead& read);
  void Take(const LeaseAppendEnded& ended);
  void Take(const LeaseReadFailed& failed);
  void Take(const HolderHeartbeat& heard);
  void Take(const HolderDisconnected& lost);
  void Take(const LeaseStop& stop);
  void Take(const LeaseTick& tick);

  void TakeRecord(const LeaseLogEntry& placed);
  void Extend(const LeaseLogEntry& placed, TimePoint sent_at);
  void Act();
  void Read();
  void Append(bool is_release);
  bool IsOwn(const LeaseRecord& record) const;
  bool MayClaim() const;
  Duration ClaimWait() const;
  TimePoint RightOfLastEnds() const;
  TimePoint OrdersFrom() const;
  bool IsReadDue() const;
  bool IsRenewalDue() const;
  void EndRightIfOver();
  void LoseRight(const char* why);
  void Log(const char* reason, std::vector<LogField> fields);

  LeaseSettings settings;
  TimePoint now{};
  std::vector<LeaseEffect> effects;
  LogOffset next;  ///< All records before it have been read.
  bool has_read = false;
  std::optional<LeaseLogEntry> newest;
  TimePoint newest_at{};  ///< When `newest` was first seen, or the log empty.
  TimePoint last_read{};
  TimePoint last_try{};
  TimePoint heard_at{};         ///< Of the holder, over its link.
  bool is_holder_near = false;  ///< The link to the holder is up.
  bool needs_check = false;     ///< Whether an append was written is not known.
  bool is_calling = false;      ///< A call to the log is under way.
  std::optional<AppendLeaseRecord> unanswered;
  TimePoint unanswered_sent{};
  FencingToken own_token;
  TimePoint right_until{};
  TimePoint orders_from{};  ///< Of the present tenure, or of the claim.
  bool is_stopping = false;
  bool has_released = false;
};

Step<LeaseState, LeaseEffect> Decide(LeaseState state,
                                     const LeaseEvent& event,
                                     TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_LEASE_LEASE_STATE_H_
