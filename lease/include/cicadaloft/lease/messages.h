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

namespace cicadaloft {

/// What the holder of the lease writes: at its beginning, to renew it, and to
/// give it up.
struct LeaseRecord {
  HostId holder;
  std::string address;  ///< "IP:port" where the holder takes links.
  std::string secret;   ///< Proves on links who may read this log.
  FencingToken token;   ///< 0 in the record that begins a tenure.
  bool is_released = false;
  /// From the writing: the holder gives no orders before. A process of the same
  /// machine that goes on waits as long.
  Duration order_delay{};
  std::uint32_t host_count = 1;  ///< That the holder knows to take requests.
  double max_cores = 0;          ///< That one of them has.
  /// For hosts that come back and do not know what they have spent.
  LimitUsage limit_usage;

  friend auto operator<=>(const LeaseRecord&, const LeaseRecord&) = default;
  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/// A record, and where it stands in the log.
struct LeaseLogEntry {
  LogOffset offset;
  LeaseRecord record;

  friend auto operator<=>(const LeaseLogEntry&, const LeaseLogEntry&) = default;
  friend bool operator==(const LeaseLogEntry&, const LeaseLogEntry&) = default;
};

/// The log has been read on.
struct LeaseLogRead {
  const std::vector<LeaseLogEntry> records;
  const LogOffset end;

  friend auto operator<=>(const LeaseLogRead&, const LeaseLogRead&) = default;
  friend bool operator==(const LeaseLogRead&, const LeaseLogRead&) = default;
};

/// How an append ended.
enum class LeaseAppendOutcome {
  kWritten,
  kConflict,  ///< Another host has written first; nothing was written.
  kRefused,   ///< Nothing was written.
  kUnknown,   ///< It may have been written, or may be written yet.
};

struct LeaseAppendEnded {
  const LeaseAppendOutcome outcome = LeaseAppendOutcome::kUnknown;
  const LogOffset offset;     ///< Of the record, if it was written.
  const TimePoint sent_at{};  ///< Before the first byte left.

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

/// The holder has been heard of over its link.
struct HolderHeartbeat {
  const HostId holder;

  friend auto operator<=>(const HolderHeartbeat&,
                          const HolderHeartbeat&) = default;
  friend bool operator==(const HolderHeartbeat&,
                         const HolderHeartbeat&) = default;
};

/// The link to the holder has broken.
struct HolderDisconnected {
  friend auto operator<=>(const HolderDisconnected&,
                          const HolderDisconnected&) = default;
  friend bool operator==(const HolderDisconnected&,
                         const HolderDisconnected&) = default;
};

/// This host stops: the lease is to be given up, and not taken again.
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
                                HolderHeartbeat,
                                HolderDisconnected,
                                LeaseStop,
                                LeaseTick>;

/// Read the log on from here; a LeaseLogRead or LeaseReadFailed follows.
struct ReadLeaseLog {
  const LogOffset from;

  friend auto operator<=>(const ReadLeaseLog&, const ReadLeaseLog&) = default;
  friend bool operator==(const ReadLeaseLog&, const ReadLeaseLog&) = default;
};

/// Write a record if the log ends here; a LeaseAppendEnded follows.
struct AppendLeaseRecord {
  LogOffset expected_end;
  LeaseRecord record;

  friend auto operator<=>(const AppendLeaseRecord&,
                          const AppendLeaseRecord&) = default;
  friend bool operator==(const AppendLeaseRecord&,
                         const AppendLeaseRecord&) = default;
};

/// Another host, or a new tenure, holds the lease.
struct HolderChanged {
  const LeaseRecord record;
  const FencingToken token;

  friend auto operator<=>(const HolderChanged&, const HolderChanged&) = default;
  friend bool operator==(const HolderChanged&, const HolderChanged&) = default;
};

/// This host is the holder until `valid_until`; said again at each renewal.
struct LeaseExtended {
  const FencingToken token;
  const TimePoint valid_until{};
  const TimePoint orders_allowed_from{};  ///< It may give orders from then on.

  friend auto operator<=>(const LeaseExtended&, const LeaseExtended&) = default;
  friend bool operator==(const LeaseExtended&, const LeaseExtended&) = default;
};

/// This host must not give orders any more.
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
