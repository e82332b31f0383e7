#include "cicadaloft/control/control_load_monitor.h"

#include <algorithm>
#include <array>
#include <string>
#include <variant>

namespace cicadaloft {
namespace {

/// In the order of the alternatives of ControlEvent.
constexpr auto kEventKindNames = std::to_array<std::string_view>(
    {"configuration_read",   "evacuation_asked",    "evacuations_read",
     "record_refused",       "operator_reachable",  "fleet_event",
     "registry_caught_up",   "store_era_seen",      "store_read",
     "snapshot_read",        "model_wanted",        "usage_measured",
     "limit_draw_asked",     "warmup_asked",        "crash_evidence",
     "poison_refutation",    "target_leaving",      "quota_history",
     "reachability_changed", "configuration_heard", "configuration_received",
     "lease_event",          "usage_event",         "order_ended",
     "report_read",          "report_failed",       "count_order_ended",
     "peer_changed",         "peer_received",       "control_stop",
     "control_tick"});
static_assert(kEventKindNames.size() == std::variant_size_v<ControlEvent>);

}  // namespace

std::string_view EventKindName(const ControlEvent& event) {
  return kEventKindNames.at(event.index());
}

std::optional<DecisionRecord> ControlLoadMonitor::Record(
    const ControlEvent& event,
    TimePoint began,
    TimePoint ended) {
  if (this->interval_start == TimePoint{}) {
    this->interval_start = began;
  }
  const Duration duration = ended - began;
  ++this->event_count;
  this->busy += duration;
  if (duration > this->longest_event) {
    this->longest_event = duration;
    this->longest_event_kind = EventKindName(event);
  }
  if (std::holds_alternative<ControlTick>(event)) {
    if (this->last_tick != TimePoint{}) {
      this->longest_tick_interval =
          std::max(this->longest_tick_interval, began - this->last_tick);
    }
    this->last_tick = began;
  }
  return ended - this->interval_start >= kReportInterval
             ? this->FinishInterval(ended)
             : std::nullopt;
}

std::optional<DecisionRecord> ControlLoadMonitor::FinishInterval(
    TimePoint now) {
  const std::chrono::duration<double> elapsed = now - this->interval_start;
  const std::chrono::duration<double> busy_time = this->busy;
  std::optional<DecisionRecord> record;
  if (busy_time > elapsed * kMaxPlannedCoreFraction ||
      this->longest_tick_interval > kMaxTickInterval) {
    record.emplace(DecisionRecord{
        .event = "control.load",
        .fields = {{"events", this->event_count},
                   {"busy_ms", this->busy},
                   {"of_ms", now - this->interval_start},
                   {"longest_ms", this->longest_event},
                   {"longest_kind", std::string(this->longest_event_kind)},
                   {"tick_gap_ms", this->longest_tick_interval}}});
  }
  const TimePoint tick = this->last_tick;
  *this = ControlLoadMonitor();
  this->interval_start = now;
  this->last_tick = tick;
  return record;
}

}  // namespace cicadaloft
