#ifndef CICADALOFT_SCALING_SCALING_CORE_H_
#define CICADALOFT_SCALING_SCALING_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cicadaloft/scaling/messages.h"
#include "load_history.h"
#include "model_copies.h"
#include "ordered_count.h"

namespace cicadaloft {

/// Decides how many targets are ordered; handles one event at a time.
class ScalingCore {
 public:
  void Handle(const ScalingStarted& started);
  void Handle(const ScalingStopped& stopped);
  void Handle(const ConfigurationChanged& change);
  void Handle(const EvacuationsChanged& change);
  void Handle(const FleetChanged& change);
  void Handle(const ServiceLoadReport& report);
  void Handle(const ModelUsageReport& report);
  void Handle(const TargetCountOrderEnded& ended);
  void Handle(const ScalingTick& tick);

  void SetNow(TimePoint time) { this->now = time; }
  std::vector<ScalingEffect> TakeEffects() {
    return std::exchange(this->effects, {});
  }

 private:
  /// The targets of a service in one data centre.
  struct Zone {
    std::uint32_t running = 0;  ///< Without those that leave.
    TimePoint last_seen_at{};   ///< When a target of it was last known.
    OrderedCount ordered;

    /// @return the number in force, as far as is known.
    std::uint32_t Current() const {
      return this->ordered.accepted().value_or(this->running);
    }
  };
  using Zones = std::map<DataCentreId, Zone>;
  struct ScaledService {
    Zones zones;
    LoadHistory load;
    double slots = 0;  ///< Of one target, on average.
    TimePoint last_down_at{};
    std::set<ModelId> held_at_last_down;  ///< Models in use with a copy then.
  };
  /// What the number of targets in each data centre is derived from.
  struct Need {
    double peak = 0;              ///< In requests that run at once.
    std::uint32_t survivors = 1;  ///< Data centres that must be enough.
    bool is_any_lost = false;     ///< A data centre has no usable target.
    double target_load = 0;  ///< Requests that one target runs at its best.
  };

  bool MayOrder() const;
  /// @return whether the hosts that are there have reported.
  bool HaveLinkedHostsReported() const;
  /// @return the same with those that were there a short time ago.
  bool HaveAllHostsReported() const;
  void UpdateZones();
  void Plan(const Service& service, ScaledService& scaled);
  Need NeedOf(const ScaledService& scaled) const;
  static std::uint32_t CountFor(const Need& need,
                                double zone_peak,
                                double utilization,
                                const Scaling& bounds);
  /// @return whether fewer targets may be ordered at all now.
  bool MayOrderDown(const ScaledService& scaled, const Need& need) const;
  /// @return whether the data centre has a target more than it needs.
  bool HasSurplus(const Service& service,
                  const ScaledService& scaled,
                  const Need& need,
                  const DataCentreId& data_centre) const;
  std::set<ModelId> ModelsInUseOf(const Service& service) const;
  void OrderUp(const Service& service, ScaledService& scaled, const Need& need);
  void OrderDown(const Service& service,
                 ScaledService& scaled,
                 const Need& need);
  void RepeatOpenOrders(const Service& service, ScaledService& scaled);
  void Order(const Service& service,
             const DataCentreId& data_centre,
             ScaledService& scaled,
             std::uint32_t count,
             const char* reason);
  void PublishCounts();
  void Log(const char* event, std::vector<LogField> fields);

  TimePoint now{};
  std::vector<ScalingEffect> effects;
  FencingToken token;  ///< 0: this host orders nothing.
  TimePoint started_at{};
  bool has_complete_reports = false;  ///< Once since this host began to order.
  std::uint32_t host_count = 1;
  std::uint32_t linked_host_count = 1;
  std::map<HostId, TimePoint> reported_at;
  TimePoint last_tick_at{};
  ActiveConfigurationPtr configuration;
  std::set<DataCentreId> evacuated;
  FleetPtr fleet;
  std::map<ServiceId, ScaledService> services;
  ModelsInUse models_in_use;
  std::vector<TargetCount> published;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_SCALING_SCALING_CORE_H_
