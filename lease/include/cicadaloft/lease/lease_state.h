#ifndef CICADALOFT_LEASE_LEASE_STATE_H_
#define CICADALOFT_LEASE_LEASE_STATE_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/step.h"
#include "cicadaloft/lease/messages.h"

namespace cicadaloft {

/// Time between two reads of the log while the link to the holder is down. The
/// TTL of the lease spans at least two of them.
inline constexpr Duration kLeaseReadInterval = std::chrono::milliseconds(700);
/// Claims of different hosts are spread over this time, so that most hosts see
/// the winner's record before they append one that conflicts.
inline constexpr Duration kClaimJitter = std::chrono::milliseconds(400);

/// Additional delay before hosts with fewer cores claim the lease. It exceeds
/// kLeaseReadInterval, so that a stronger host sees the free lease and claims
/// it first.
inline constexpr Duration kWeakHostClaimDelay = std::chrono::milliseconds(800);

/// The identity of this host as a lease holder, and the times of the lease.
struct LeaseSettings {
  HostId self;
  std::string address;
  /// Written into the record when this host is the holder.
  std::string secret;
  double cores = 1;  ///< Cores that this host may use; a holder needs many.
  /// How long the lease is valid, counted from the sending of the last renewal.
  Duration ttl = std::chrono::milliseconds(1600);
  /// Short enough that several renewals may fail before the lease expires.
  Duration renew_interval = std::chrono::milliseconds(600);
  /// Minimum time from the last order of one holder to the first order of the
  /// next one, as the platform requires.
  Duration handover_delay = std::chrono::seconds(3);
  /// Upper bound of the drift between two hosts' clocks over one TTL, and of
  /// the transit time of a message that was sent before the lease expired.
  Duration clock_drift_margin = std::chrono::milliseconds(300);
  /// Whether the system has never run before, so that an empty log has had no
  /// holder.
  bool is_first_start = false;
  /// Whether a host that shuts down still follows the log, so that it connects
  /// to a new holder.
  bool follows_log_while_stopping = false;

  friend auto operator<=>(const LeaseSettings&, const LeaseSettings&) = default;
  friend bool operator==(const LeaseSettings&, const LeaseSettings&) = default;
};

/// One host's side of the lease. At most one host may act as the holder at any
/// time. The log decides: a record counts if it was appended at the offset
/// where its writer expected the end of the log, and the last record names the
/// holder. A successor claims the lease once the lease of the last writer has
/// expired for certain, and sends orders once the platform's delay between two
/// two holders has passed as well.
///
/// When the store comes back from an older copy, its era rises and the term
/// ends, because the last records may be gone and their offsets given to
/// others. A record counts as native if its writer had read the log in the
/// present era; only native records shorten the time for which a lease that was
/// lost may still be in use. docs/design/store-eras.md has the rules.
class LeaseState {
 public:
  explicit LeaseState(LeaseSettings settings);

  /// @return whether this host may send orders now.
  /// @return whether the log has been read, even if it was empty.
  bool has_read_log() const { return this->has_read; }
  bool MaySendOrders(TimePoint now) const;
  /// @return the token of the current term; 0 if this host is not the holder.
  FencingToken token() const { return this->current_token; }
  /// @return the newest entry of the log; none if none has been read.
  const std::optional<LeaseLogEntry>& last_entry() const {
    return this->newest_entry;
  }

  friend Step<LeaseState, LeaseEffect> Decide(LeaseState state,
                                              const LeaseEvent& event,
                                              TimePoint now);

 private:
  void Handle(const LeaseLogRead& read);
  void Handle(const LeaseAppendEnded& ended);
  void Handle(const LeaseReadFailed& failed);
  void Handle(const StoreEraSeen& seen);
  void Handle(const HolderHeartbeat& heartbeat);
  void Handle(const HolderDisconnected& disconnected);
  void Handle(const LeaseStop& stop);
  void Handle(const LeaseTick& tick);

  /// @return whether an answer of this era to the current call may be used.
  bool UseAnswer(StoreEra stated);
  void BeginEra(StoreEra era);
  void OnLogEntry(const LeaseLogEntry& entry);
  void AnnounceHolder(const LeaseLogEntry& entry);
  bool IsNative(const LeaseRecord& record) const;
  void ExtendLease(const LeaseLogEntry& entry, TimePoint sent_at);
  void StartDueCall();
  void ReadLog();
  void AppendRecord(bool is_release);
  bool IsOwnRecord(const LeaseRecord& record) const;
  bool IsClaimDue() const;
  TimePoint EmptyLogExpiry() const;
  Duration ClaimDelay() const;
  TimePoint LastLeaseExpiry() const;
  TimePoint OrdersAllowedFrom() const;
  bool IsReadDue() const;
  bool IsWatcher() const;
  bool IsRenewalDue() const;
  void LoseLeaseIfExpired();
  void LoseLease(const char* reason);
  void LogDecision(const char* event, std::vector<LogField> fields);

  LeaseSettings settings;
  TimePoint now{};
  std::vector<LeaseEffect> effects;
  std::optional<StoreEra> era;  ///< The highest one seen.
  TimePoint era_seen_at{};
  bool has_seen_restore = false;  ///< The era has risen since the start.
  /// This host held the lease when it learned of the era: no other host can
  /// have claimed it before the store stepped back.
  bool is_reclaiming = false;
  /// Until then no host can have held the lease but this one.
  TimePoint reclaim_until{};
  TimePoint reclaim_orders_from{};
  LogOffset next_offset;  ///< All entries before it have been read.
  bool has_read = false;
  std::optional<LeaseLogEntry> newest_entry;
  /// When `newest_entry` was first seen, or the log was first found empty.
  TimePoint newest_entry_at{};
  TimePoint last_read_at{};
  TimePoint last_call_at{};
  /// When the holder last sent a heartbeat over its link.
  TimePoint last_heartbeat_at{};
  bool is_holder_connected = false;  ///< The link to the holder is up.
  /// It is not known whether the pending append was written.
  bool is_append_in_doubt = false;
  bool is_call_pending = false;  ///< A call to the log has not ended yet.
  /// The pending call was sent before the era was known.
  bool is_call_outdated = false;
  HostId announced_holder;       ///< By the last HolderChanged.
  std::string announced_secret;  ///< The same.
  std::optional<AppendLeaseRecord> pending_append;
  TimePoint pending_append_sent_at{};
  FencingToken current_token;
  TimePoint lease_valid_until{};
  /// For the current term, or for the pending claim.
  TimePoint orders_allowed_from{};
  bool is_stopping = false;
  bool has_sent_release = false;  ///< It may be in the log or not.
  bool has_released = false;      ///< The release is in the log.
};

Step<LeaseState, LeaseEffect> Decide(LeaseState state,
                                     const LeaseEvent& event,
                                     TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_LEASE_LEASE_STATE_H_
