#ifndef CICADALOFT_CONTROL_CONTROL_LOAD_MONITOR_H_
#define CICADALOFT_CONTROL_CONTROL_LOAD_MONITOR_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "cicadaloft/control/messages.h"
#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// @return a stable token for the kind of event, for logs.
std::string_view EventKindName(const ControlEvent& event);

/// How much of a host's time its control takes. Says so in a log line a second
/// while that is more than is planned for control, or while ticks come late.
class ControlLoadMonitor {
 public:
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  /// Part of a core that control may take, by the users' aim.
  static constexpr double kMaxPlannedCoreFraction = 0.027;
  /// A tenth of the time for which the lease is held without a renewal.
  static constexpr Duration kMaxTickInterval = std::chrono::milliseconds(200);

  /// One event has been decided and its effects carried.
  /// @param event the event.
  /// @param began when its decision began.
  /// @param ended when its effects had been carried.
  /// @return the line that is due now, if any.
  std::optional<DecisionRecord> Record(const ControlEvent& event,
                                       TimePoint began,
                                       TimePoint ended);

 private:
  std::optional<DecisionRecord> Report(TimePoint now);

  TimePoint since{};  ///< Of the sums; the beginning of time: none yet.
  TimePoint last_tick{};
  std::uint64_t events = 0;
  Duration busy{};
  Duration longest{};
  std::string_view longest_kind;
  Duration longest_tick_gap{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_CONTROL_LOAD_MONITOR_H_
