#ifndef CICADALOFT_LEASE_MESSAGES_H_
#define CICADALOFT_LEASE_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/admission/share_messages.h"
#include "cicadaloft/core/decision_line.h"
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
  Duration orders_in{};
  std::uint32_t host_count = 1;  ///< That the holder knows to take requests.
  double most_cores = 0;         ///< That one of them has.
  /// For hosts that come back and do not know what they have spent.
  LimitUsage limit_usage;

  friend auto operator<=>(const LeaseRecord&, const LeaseRecord&) = default;
  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

/// A record, and where it stands in the log.
struct PlacedLeaseRecord {
  LogOffset offset;
  LeaseRecord record;

  friend auto operator<=>(const PlacedLeaseRecord&,
                          const PlacedLeaseRecord&) = default;
  friend bool operator==(const PlacedLeaseRecord&,
                         const PlacedLeaseRecord&) = default;
};

/// The log has been read on.
struct LeaseLogRead {
  const std::vector<PlacedLeaseRecord> records;
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
struct HolderHeard {
  const HostId holder;

  friend auto operator<=>(const HolderHeard&, const HolderHeard&) = default;
  friend bool operator==(const HolderHeard&, const HolderHeard&) = default;
};

/// The link to the holder has broken.
struct HolderLost {
  friend auto operator<=>(const HolderLost&, const HolderLost&) = default;
  friend bool operator==(const HolderLost&, const HolderLost&) = default;
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
                                HolderHeard,
                                HolderLost,
                                LeaseStop,
                                LeaseTick>;

/// Read the log on from here; a LeaseLogRead or LeaseReadFailed follows.
struct ReadLeaseLog {
  const LogOffset from;

  friend auto operator<=>(const ReadLeaseLog&, const ReadLeaseLog&) = default;
  friend bool operator==(const ReadLeaseLog&, const ReadLeaseLog&) = default;
};

/// Write a record if the log ends here; a LeaseAppendEnded follows.
struct AppendLease {
  LogOffset expected_end;
  LeaseRecord record;

  friend auto operator<=>(const AppendLease&, const AppendLease&) = default;
  friend bool operator==(const AppendLease&, const AppendLease&) = default;
};

/// Another host, or a new tenure, holds the lease.
struct HolderChanged {
  const LeaseRecord record;
  const FencingToken token;

  friend auto operator<=>(const HolderChanged&, const HolderChanged&) = default;
  friend bool operator==(const HolderChanged&, const HolderChanged&) = default;
};

/// This host is the holder until `valid_until`; said again at each renewal.
struct RightExtended {
  const FencingToken token;
  const TimePoint valid_until{};
  const TimePoint orders_allowed_from{};  ///< It may give orders from then on.

  friend auto operator<=>(const RightExtended&, const RightExtended&) = default;
  friend bool operator==(const RightExtended&, const RightExtended&) = default;
};

/// This host must not give orders any more.
struct RightLost {
  friend auto operator<=>(const RightLost&, const RightLost&) = default;
  friend bool operator==(const RightLost&, const RightLost&) = default;
};

using LeaseEffect = std::variant<ReadLeaseLog,
                                 AppendLease,
                                 HolderChanged,
                                 RightExtended,
                                 RightLost,
                                 DecisionLine>;

}  // namespace cicadaloft

#endif  // CICADALOFT_LEASE_MESSAGES_H_
