#ifndef CICADALOFT_LEASE_MESSAGES_H_
#define CICADALOFT_LEASE_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/admission/share_messages.h"
#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/store/messages.h"

namespace cicadaloft {

/// The record that the lease holder appends to claim, renew or release the
/// lease.
struct LeaseRecord {
  HostId holder;
  std::string address;  ///< "IP:port" where the holder accepts links.
  std::string secret;   ///< Proves on a link that the peer can read this log.
  /// By EraOf(), the era of the log that the writer had read; in later records
  /// of a term the token of the term.
  FencingToken token;
  bool is_released = false;
  /// Time from the writing of the record until the holder may send orders. A
  /// new process on the same machine that continues as the holder waits for the
  /// same delay.
  Duration order_delay{};
  /// Hosts that take requests, as far as the holder knows.
  std::uint32_t host_count = 1;
  double max_cores = 0;  ///< The highest core count among them.
  /// Read by hosts that restart and do not know what they have used.
  LimitUsage limit_usage;

  friend auto operator<=>(const LeaseRecord&, const LeaseRecord&) = default;
  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/// A record and its offset in the log.
struct LeaseLogEntry {
  LogOffset offset;
  LeaseRecord record;

  friend auto operator<=>(const LeaseLogEntry&, const LeaseLogEntry&) = default;
  friend bool operator==(const LeaseLogEntry&, const LeaseLogEntry&) = default;
};

/// The log has been read from the requested offset up to `next_offset`,
/// exclusive.
struct LeaseLogRead {
  const std::vector<LeaseLogEntry> entries;
  const LogOffset next_offset;
  const StoreEra era;

  friend auto operator<=>(const LeaseLogRead&, const LeaseLogRead&) = default;
  friend bool operator==(const LeaseLogRead&, const LeaseLogRead&) = default;
};

/// Outcome of an append to the lease's log.
enum class LeaseAppendOutcome {
  kWritten,
  kConflict,  ///< Another host wrote first; nothing was written.
  kRefused,   ///< Nothing was written.
  kUnknown,   ///< It may have been written, or may still be written later.
};

struct LeaseAppendEnded {
  const LeaseAppendOutcome outcome = LeaseAppendOutcome::kUnknown;
  const LogOffset offset;     ///< Offset of the record, if it was written.
  const TimePoint sent_at{};  ///< Taken before the first byte was sent.
  const std::optional<StoreEra> era;  ///< None without a valid answer.

  friend auto operator<=>(const LeaseAppendEnded&,
                          const LeaseAppendEnded&) = default;
  friend bool operator==(const LeaseAppendEnded&,
                         const LeaseAppendEnded&) = default;
};

/// The log could not be read.
struct LeaseReadFailed {
  friend auto operator<=>(const LeaseReadFailed&,
                          const LeaseReadFailed&) = default;
  friend bool operator==(const LeaseReadFailed&,
                         const LeaseReadFailed&) = default;
};

/// The holder has shown over its link that it is alive.
struct HolderHeartbeat {
  const HostId holder;

  friend auto operator<=>(const HolderHeartbeat&,
                          const HolderHeartbeat&) = default;
  friend bool operator==(const HolderHeartbeat&,
                         const HolderHeartbeat&) = default;
};

/// The link to the holder is down.
struct HolderDisconnected {
  friend auto operator<=>(const HolderDisconnected&,
                          const HolderDisconnected&) = default;
  friend bool operator==(const HolderDisconnected&,
                         const HolderDisconnected&) = default;
};

/// This host shuts down: it releases the lease and doesn't claim it again.
struct LeaseStop {
  friend auto operator<=>(const LeaseStop&, const LeaseStop&) = default;
  friend bool operator==(const LeaseStop&, const LeaseStop&) = default;
};

struct LeaseTick {
  friend auto operator<=>(const LeaseTick&, const LeaseTick&) = default;
  friend bool operator==(const LeaseTick&, const LeaseTick&) = default;
};

using LeaseEvent = std::variant<LeaseLogRead,
                                LeaseAppendEnded,
                                LeaseReadFailed,
                                StoreEraSeen,
                                HolderHeartbeat,
                                HolderDisconnected,
                                LeaseStop,
                                LeaseTick>;

/// Read the log from this offset; a LeaseLogRead or LeaseReadFailed follows.
struct ReadLeaseLog {
  const LogOffset from;

  friend auto operator<=>(const ReadLeaseLog&, const ReadLeaseLog&) = default;
  friend bool operator==(const ReadLeaseLog&, const ReadLeaseLog&) = default;
};

/// Append a record if the log ends at the expected offset; a LeaseAppendEnded
/// follows.
struct AppendLeaseRecord {
  LogOffset expected_end;
  LeaseRecord record;

  friend auto operator<=>(const AppendLeaseRecord&,
                          const AppendLeaseRecord&) = default;
  friend bool operator==(const AppendLeaseRecord&,
                         const AppendLeaseRecord&) = default;
};

/// The lease has another holder, or the same holder in a new term.
struct HolderChanged {
  const LeaseRecord record;
  const FencingToken token;

  friend auto operator<=>(const HolderChanged&, const HolderChanged&) = default;
  friend bool operator==(const HolderChanged&, const HolderChanged&) = default;
};

/// This host holds the lease until `valid_until`. Repeated at each renewal.
struct LeaseExtended {
  const FencingToken token;
  const TimePoint valid_until{};
  /// The holder may send orders from then on.
  const TimePoint orders_allowed_from{};

  friend auto operator<=>(const LeaseExtended&, const LeaseExtended&) = default;
  friend bool operator==(const LeaseExtended&, const LeaseExtended&) = default;
};

/// This host no longer holds the lease and must not send orders.
struct LeaseLost {
  friend auto operator<=>(const LeaseLost&, const LeaseLost&) = default;
  friend bool operator==(const LeaseLost&, const LeaseLost&) = default;
};

using LeaseEffect = std::variant<ReadLeaseLog,
                                 AppendLeaseRecord,
                                 HolderChanged,
                                 LeaseExtended,
                                 LeaseLost,
                                 DecisionRecord>;

}  // namespace cicadaloft

#endif  // CICADALOFT_LEASE_MESSAGES_H_
