#include "cicadaloft/control/control_load_monitor.h"

#include <algorithm>
#include <array>
#include <string>
#include <variant>

namespace cicadaloft {
namespace {

/// In the order of the variant's alternatives.
constexpr auto kKinds = std::to_array<std::string_view>(
    {"configuration_read", "evacuation_asked", "evacuations_read",
     "record_refused", "operator_reachable", "fleet_event", "model_wanted",
     "usage_measured", "limit_draw_asked", "warmup_asked", "death_noticed",
     "lease_event", "order_ended", "report_read", "report_failed",
     "peer_changed", "peer_received", "control_stop", "control_tick"});
static_assert(kKinds.size() == std::variant_size_v<ControlEvent>);

}  // namespace

std::string_view EventKindName(const ControlEvent& event) {
  return kKinds.at(event.index());
}

std::optional<DecisionRecord> ControlLoadMonitor::Record(
    const ControlEvent& event,
    TimePoint began,
    TimePoint ended) {
  if (this->since == TimePoint{}) {
    this->since = began;
  }
  const Duration took = ended - began;
  ++this->events;
  this->busy += took;
  if (took > this->longest) {
    this->longest = took;
    this->longest_kind = EventKindName(event);
  }
  if (std::holds_alternative<ControlTick>(event)) {
    if (this->last_tick != TimePoint{}) {
      this->longest_tick_gap =
          std::max(this->longest_tick_gap, began - this->last_tick);
    }
    this->last_tick = began;
  }
  return ended - this->since >= kReportInterval ? this->Report(ended)
                                                : std::nullopt;
}

std::optional<DecisionRecord> ControlLoadMonitor::Report(TimePoint now) {
  const std::chrono::duration<double> passed = now - this->since;
  const std::chrono::duration<double> spent = this->busy;
  std::optional<DecisionRecord> line;
  if (spent > passed * kMaxPlannedCoreFraction ||
      this->longest_tick_gap > kMaxTickInterval) {
    line.emplace(DecisionRecord{
        .event = "control.load",
        .fields = {{"events", this->events},
                   {"busy_ms", this->busy},
                   {"of_ms", now - this->since},
                   {"longest_ms", this->longest},
                   {"longest_kind", std::string(this->longest_kind)},
                   {"tick_gap_ms", this->longest_tick_gap}}});
  }
  const TimePoint tick = this->last_tick;
  *this = ControlLoadMonitor();
  this->since = now;
  this->last_tick = tick;
  return line;
}

}  // namespace cicadaloft
