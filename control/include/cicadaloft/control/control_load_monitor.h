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

/// @return the stable name of the event's kind, for logs.
std::string_view EventKindName(const ControlEvent& event);

/// Measures how much of a host's time its control task takes. Yields one log
/// record per second while that exceeds the planned fraction of a core, or
/// while ticks are late.
class ControlLoadMonitor {
 public:
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  /// Fraction of one core that control may use, as the users require.
  static constexpr double kMaxPlannedCoreFraction = 0.027;
  /// An eighth of the lease's TTL, so that late ticks show before they cost the
  /// lease.
  static constexpr Duration kMaxTickInterval = std::chrono::milliseconds(200);

  /// Records one event that was handled.
  /// @param event the event.
  /// @param began when its decision began.
  /// @param ended when all its effects had been executed.
  /// @return the log record that is due now, if any.
  std::optional<DecisionRecord> Record(const ControlEvent& event,
                                       TimePoint began,
                                       TimePoint ended);

 private:
  std::optional<DecisionRecord> FinishInterval(TimePoint now);

  TimePoint interval_start{};  ///< TimePoint{} before the first event.
  TimePoint last_tick{};
  std::uint64_t event_count = 0;
  Duration busy{};
  Duration longest_event{};
  std::string_view longest_event_kind;
  Duration longest_tick_interval{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_CONTROL_LOAD_MONITOR_H_
