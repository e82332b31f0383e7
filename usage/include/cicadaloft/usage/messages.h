#ifndef CICADALOFT_USAGE_MESSAGES_H_
#define CICADALOFT_USAGE_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/duties/messages.h"
#include "cicadaloft/store/messages.h"

namespace cicadaloft {

/// What one process has counted. The counts of a window are cumulative, so a
/// message that is lost or repeated does no harm. Wall times are in
/// microseconds since the start of 1970.
struct UsageCounts {
  HostId host;
  std::uint64_t process = 0;
  std::uint64_t number = 0;         ///< Of this message of the process.
  std::uint64_t counted_since = 0;  ///< Wall time at which counting began.
  /// Wall time up to which the counts are complete.
  std::uint64_t counted_until = 0;
  /// The same moment by the host's own clock, without UsageClock.
  std::uint64_t own_time = 0;
  /// The process has closed its links; set by a host that forwards the counts.
  bool has_ended = false;
  std::map<UsageWindow, UsageByCustomer> windows;

  friend auto operator<=>(const UsageCounts&, const UsageCounts&) = default;
  friend bool operator==(const UsageCounts&, const UsageCounts&) = default;
};

/// The wall time by most hosts' clocks, for a host whose clock is off.
struct UsageClock {
  std::uint64_t number = 0;     ///< Of the UsageCounts that this answers.
  std::uint64_t wall_time = 0;  ///< In microseconds since the start of 1970.

  friend auto operator<=>(const UsageClock&, const UsageClock&) = default;
  friend bool operator==(const UsageClock&, const UsageClock&) = default;
};

/// The final counts of a window, as kept in the store.
struct UsageRecord {
  UsageWindow window;
  UsageByCustomer counts;
  /// All windows before this one need no further call.
  UsageWindow settled_before;

  friend auto operator<=>(const UsageRecord&, const UsageRecord&) = default;
  friend bool operator==(const UsageRecord&, const UsageRecord&) = default;
};

/// Time since the start of 1970 by this host's clock.
struct WallClockRead {
  Duration since_1970{};

  friend auto operator<=>(const WallClockRead&, const WallClockRead&) = default;
  friend bool operator==(const WallClockRead&, const WallClockRead&) = default;
};

/// UsageCounts has come over the link from a host.
struct UsageCountsReceived {
  HostId from;  ///< It may forward the counts of another host.
  UsageCounts counts;

  friend auto operator<=>(const UsageCountsReceived&,
                          const UsageCountsReceived&) = default;
  friend bool operator==(const UsageCountsReceived&,
                         const UsageCountsReceived&) = default;
};

/// This host holds the lease. Repeated at each renewal.
struct UsageTerm {
  FencingToken token;
  TimePoint valid_until{};
  TimePoint calls_allowed_from{};
  /// Hosts that took requests, as far as the last holder knew.
  std::uint32_t host_count = 1;

  friend auto operator<=>(const UsageTerm&, const UsageTerm&) = default;
  friend bool operator==(const UsageTerm&, const UsageTerm&) = default;
};

/// This host no longer holds the lease.
struct UsageTermEnded {
  friend auto operator<=>(const UsageTermEnded&,
                          const UsageTermEnded&) = default;
  friend bool operator==(const UsageTermEnded&,
                         const UsageTermEnded&) = default;
};

/// The lease has another holder. Links to the last one are closed after this.
struct UsageHolderChanged {
  friend auto operator<=>(const UsageHolderChanged&,
                          const UsageHolderChanged&) = default;
  friend bool operator==(const UsageHolderChanged&,
                         const UsageHolderChanged&) = default;
};

/// The link to a host is up or down.
struct UsageLinkChanged {
  HostId host;
  bool is_up = false;
  bool is_to_holder = false;

  friend auto operator<=>(const UsageLinkChanged&,
                          const UsageLinkChanged&) = default;
  friend bool operator==(const UsageLinkChanged&,
                         const UsageLinkChanged&) = default;
};

/// The topic of recorded windows has been read as a whole.
struct UsageTopicRead {
  std::vector<UsageRecord> records;
  /// Slots whose record can't be read; see UsageSlot().
  std::set<std::uint64_t> unreadable_slots;
  LogOffset end;
  StoreEra era;

  friend auto operator<=>(const UsageTopicRead&,
                          const UsageTopicRead&) = default;
  friend bool operator==(const UsageTopicRead&,
                         const UsageTopicRead&) = default;
};

struct UsageTopicReadFailed {
  friend auto operator<=>(const UsageTopicReadFailed&,
                          const UsageTopicReadFailed&) = default;
  friend bool operator==(const UsageTopicReadFailed&,
                         const UsageTopicReadFailed&) = default;
};

enum class UsageAppendOutcome {
  kWritten,
  kConflict,  ///< Another record came first; nothing was written.
  kRefused,   ///< Nothing was written.
  kUnknown,   ///< It may have been written, or may still be written later.
};

struct UsageAppendEnded {
  UsageAppendOutcome outcome = UsageAppendOutcome::kUnknown;

  friend auto operator<=>(const UsageAppendEnded&,
                          const UsageAppendEnded&) = default;
  friend bool operator==(const UsageAppendEnded&,
                         const UsageAppendEnded&) = default;
};

struct UsageTick {
  std::uint32_t host_count = 1;  ///< Hosts that take requests.

  friend auto operator<=>(const UsageTick&, const UsageTick&) = default;
  friend bool operator==(const UsageTick&, const UsageTick&) = default;
};

using UsageEvent = std::variant<WallClockRead,
                                RequestsStarted,
                                UsageCountsReceived,
                                UsageClock,
                                UsageTerm,
                                UsageTermEnded,
                                UsageHolderChanged,
                                UsageLinkChanged,
                                UsageTopicRead,
                                UsageTopicReadFailed,
                                UsageAppendEnded,
                                UsageReportEnded,
                                StoreEraSeen,
                                UsageTick>;

/// Send counts to the lease holder.
struct SendUsageCounts {
  UsageCounts counts;

  friend auto operator<=>(const SendUsageCounts&,
                          const SendUsageCounts&) = default;
  friend bool operator==(const SendUsageCounts&,
                         const SendUsageCounts&) = default;
};

/// Send the holder's own counts to hosts that keep them for its successor.
struct CopyUsageCounts {
  std::set<HostId> hosts;
  UsageCounts counts;

  friend auto operator<=>(const CopyUsageCounts&,
                          const CopyUsageCounts&) = default;
  friend bool operator==(const CopyUsageCounts&,
                         const CopyUsageCounts&) = default;
};

/// Send the wall time to a host whose clock is off.
struct SendUsageClock {
  HostId host;
  UsageClock clock;

  friend auto operator<=>(const SendUsageClock&,
                          const SendUsageClock&) = default;
  friend bool operator==(const SendUsageClock&,
                         const SendUsageClock&) = default;
};

/// Read the topic of recorded windows; a UsageTopicRead or a
/// UsageTopicReadFailed follows.
struct ReadUsageTopic {
  friend auto operator<=>(const ReadUsageTopic&,
                          const ReadUsageTopic&) = default;
  friend bool operator==(const ReadUsageTopic&,
                         const ReadUsageTopic&) = default;
};

/// Append a record if the topic ends at the expected offset; a UsageAppendEnded
/// follows.
struct AppendUsageRecord {
  LogOffset expected_end;
  UsageRecord record;

  friend auto operator<=>(const AppendUsageRecord&,
                          const AppendUsageRecord&) = default;
  friend bool operator==(const AppendUsageRecord&,
                         const AppendUsageRecord&) = default;
};

/// What became of a window, for the metrics.
enum class UsageWindowOutcome { kDue, kSent, kLate, kSkipped };

/// @return the outcome's name in metrics.
const char* ToText(UsageWindowOutcome outcome);

struct CountUsageWindow {
  UsageWindowOutcome outcome = UsageWindowOutcome::kDue;

  friend auto operator<=>(const CountUsageWindow&,
                          const CountUsageWindow&) = default;
  friend bool operator==(const CountUsageWindow&,
                         const CountUsageWindow&) = default;
};

using UsageEffect = std::variant<SendUsageCounts,
                                 CopyUsageCounts,
                                 SendUsageClock,
                                 ReadUsageTopic,
                                 AppendUsageRecord,
                                 SendUsageReport,
                                 CountUsageWindow,
                                 DecisionRecord>;

/// Higher wall times, in microseconds since the start of 1970, are beyond any
/// clock.
inline constexpr std::uint64_t kMaxWallTime = std::uint64_t{1} << 52U;

/// Number of windows whose records are kept in the store: ten minutes of
/// windows of 5 s. A report that is refused for longer is given up.
inline constexpr std::uint64_t kUsageSlots = 128;

/// @return the slot of the store that keeps the window's record.
inline std::uint64_t UsageSlot(UsageWindow window) {
  return window.value() % kUsageSlots;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_MESSAGES_H_
