#ifndef CICADALOFT_DUTIES_MESSAGES_H_
#define CICADALOFT_DUTIES_MESSAGES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string_view>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Number of a window of the wall clock: window k begins k times the length of
/// a window after the start of 1970.
using UsageWindow = Number<struct UsageWindowTag>;

/// How many requests of each customer began to run.
using UsageByCustomer = std::map<CustomerId, std::uint64_t>;

/// Requests that have begun to run at this host since the last such message.
struct RequestsStarted {
  UsageByCustomer counts;

  friend auto operator<=>(const RequestsStarted&,
                          const RequestsStarted&) = default;
  friend bool operator==(const RequestsStarted&,
                         const RequestsStarted&) = default;
};

/// How long a call may take until its first byte is sent. A successor counts
/// its delay from this host's release of the lease, which may come right after
/// the decision to call, and adds a margin of 300 ms.
inline constexpr Duration kMaxDutySendDelay = std::chrono::milliseconds(250);

/// How a call to the platform ended.
enum class DutyCallOutcome {
  kAccepted,
  kRefused,   ///< The platform is busy (429 or 503); nothing was done.
  kRejected,  ///< Another 4xx: must not be repeated as it is.
  kNotSent,   ///< No byte of the call was sent.
  kNoAnswer,  ///< It may have been executed.
};

/// @return a stable token, for logs.
constexpr std::string_view ToString(DutyCallOutcome outcome) {
  switch (outcome) {
    case DutyCallOutcome::kAccepted:
      return "accepted";
    case DutyCallOutcome::kRefused:
      return "refused";
    case DutyCallOutcome::kRejected:
      return "rejected";
    case DutyCallOutcome::kNotSent:
      return "not_sent";
    case DutyCallOutcome::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

/// Report the usage of one window to the platform; a UsageReportEnded follows.
struct SendUsageReport {
  UsageWindow window_index;
  UsageByCustomer counts;
  FencingToken token;
  TimePoint valid_until{};  ///< Sending must not start at or after this time.

  friend auto operator<=>(const SendUsageReport&,
                          const SendUsageReport&) = default;
  friend bool operator==(const SendUsageReport&,
                         const SendUsageReport&) = default;
};

/// Order the number of targets of a service in one data centre; a
/// TargetCountOrderEnded follows.
struct OrderTargetCount {
  ServiceId service;
  DataCentreId data_centre;
  std::uint32_t count = 0;
  FencingToken token;
  TimePoint valid_until{};  ///< Sending must not start at or after this time.

  friend auto operator<=>(const OrderTargetCount&,
                          const OrderTargetCount&) = default;
  friend bool operator==(const OrderTargetCount&,
                         const OrderTargetCount&) = default;
};

/// A call to the platform has ended.
/// @tparam Call SendUsageReport or OrderTargetCount.
template <typename Call>
struct DutyCallEnded {
  Call call;
  DutyCallOutcome outcome = DutyCallOutcome::kNoAnswer;

  friend auto operator<=>(const DutyCallEnded&, const DutyCallEnded&) = default;
  friend bool operator==(const DutyCallEnded&, const DutyCallEnded&) = default;
};

using UsageReportEnded = DutyCallEnded<SendUsageReport>;
using TargetCountOrderEnded = DutyCallEnded<OrderTargetCount>;

}  // namespace cicadaloft

#endif  // CICADALOFT_DUTIES_MESSAGES_H_
