#ifndef CICADALOFT_SCALING_TESTS_SIMULATED_SCALING_H_
#define CICADALOFT_SCALING_TESTS_SIMULATED_SCALING_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/scaling/scaling_state.h"

namespace cicadaloft {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const ServiceId kService("s");
inline constexpr std::uint32_t kSlots = 16;
inline constexpr Scaling kBounds{.min_targets = 17,
                                 .max_targets = 40,
                                 .boot_time = seconds(8)};
inline constexpr std::size_t kHostCounts[] = {6, 30, 88, 360};

inline DataCentreId ZoneId(std::size_t index) {
  return DataCentreId("dc" + std::to_string(index));
}

inline ActiveConfigurationPtr MakeConfiguration(
    const std::optional<Scaling>& scaling,
    const std::vector<ModelId>& models = {}) {
  Engine engine;
  for (const ModelId& model : models) {
    engine.models.push_back(Model{.id = model});
  }
  return std::make_shared<const ActiveConfiguration>(Configuration{
      .version = ConfigurationVersion(1),
      .services = {
          Service{.id = kService, .engine = engine, .scaling = scaling}}});
}

/// A lease holder's scaling decisions, the hosts that report to it, and the
/// platform that executes its orders in three data centres.
class SimulatedScaling {
 public:
  struct Order {
    TimePoint at{};
    OrderTargetCount call;
  };

  explicit SimulatedScaling(std::size_t hosts,
                            std::uint32_t targets_per_zone = 20,
                            std::optional<Scaling> scaling = kBounds)
      : host_count(hosts), scaling(scaling) {
    for (std::size_t zone = 0; zone < 3; ++zone) {
      this->desired[ZoneId(zone)] = targets_per_zone;
      for (std::uint32_t i = 0; i < targets_per_zone; ++i) {
        this->AddTarget(ZoneId(zone));
      }
    }
    this->Succeed(FencingToken(1));
  }

  /// Another host becomes the holder. It knows nothing of earlier orders.
  void Succeed(FencingToken token) {
    this->state = ScalingState();
    this->Feed(ConfigurationChanged{.configuration =
                                        MakeConfiguration(this->scaling)});
    this->FeedFleet();
    this->Feed(ScalingStarted{.token = token});
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kStep;
      this->RunDueActions();
      this->Report();
      const auto hosts = static_cast<std::uint32_t>(this->host_count);
      this->Feed(ScalingTick{.host_count = hosts,
                             .linked_host_count = static_cast<std::uint32_t>(
                                 hosts * this->linked_fraction)});
    }
  }

  void Feed(const ScalingEvent& event) {
    auto step = Decide(std::move(this->state), event, this->now);
    this->state = std::move(step.state);
    for (const ScalingEffect& effect : step.effects) {
      if (const auto* order = std::get_if<OrderTargetCount>(&effect)) {
        this->OnOrder(*order);
      } else if (const auto* record = std::get_if<DecisionRecord>(&effect)) {
        this->records.push_back(*record);
      } else {
        this->counts = std::get<TargetCountsChanged>(effect).counts;
      }
    }
  }

  /// All targets of the data centre end; none boots there any more.
  void LoseZone(std::size_t zone) {
    this->lost.insert(ZoneId(zone));
    std::erase_if(this->fleet.targets, [&](const auto& entry) {
      return entry.second->data_centre == ZoneId(zone);
    });
    this->FeedFleet();
  }

  std::uint32_t Running(std::size_t zone) const {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(this->fleet.targets, [&](const auto& entry) {
          return entry.second->data_centre == ZoneId(zone) &&
                 !entry.second->is_draining;
        }));
  }
  /// @return requests that all targets can run at once.
  double Capacity() const {
    return kSlots * static_cast<double>(std::ranges::count_if(
                        this->fleet.targets, [](const auto& entry) {
                          return !entry.second->is_draining;
                        }));
  }
  /// @return the same after the loss of the largest data centre.
  double CapacityAfterLoss() const {
    return this->Capacity() -
           kSlots *
               std::max({this->Running(0), this->Running(1), this->Running(2)});
  }

  /// Requests that would run at once with enough targets, by the time since the
  /// start.
  std::function<double(Duration)> demand = [](Duration) { return 400; };
  /// How the platform answers a call; it executes the accepted ones.
  std::function<DutyCallOutcome(const OrderTargetCount&)> answer =
      [](const OrderTargetCount&) { return DutyCallOutcome::kAccepted; };
  double reporting_fraction = 1;  ///< Of the hosts.
  double linked_fraction = 1;     ///< Of the hosts.
  TimePoint now{seconds(1000)};
  std::vector<Order> orders;
  std::vector<DecisionRecord> records;
  std::vector<TargetCount> counts;

  void AddTarget(const DataCentreId& zone, std::vector<ModelId> on_disk = {}) {
    const TargetId id("t" + std::to_string(++this->last_target));
    this->fleet.targets[id] = std::make_shared<const TargetRecord>(
        TargetRecord{.id = id,
                     .service = kService,
                     .data_centre = zone,
                     .slots = kSlots,
                     .on_disk = std::move(on_disk)});
  }
  void FeedFleet() {
    this->Feed(
        FleetChanged{.fleet = std::make_shared<const Fleet>(this->fleet)});
  }

 private:
  static constexpr Duration kStep = milliseconds(20);
  static constexpr Duration kAnswerTime = milliseconds(60);
  static constexpr Duration kStart = seconds(1000);

  void OnOrder(const OrderTargetCount& order) {
    this->orders.push_back(Order{.at = this->now, .call = order});
    const DutyCallOutcome outcome = this->answer(order);
    if (outcome == DutyCallOutcome::kAccepted) {
      this->desired[order.data_centre] = order.count;
      this->Schedule(kBounds.boot_time,
                     [this, zone = order.data_centre] { this->Grow(zone); });
      this->Schedule(kAnswerTime,
                     [this, zone = order.data_centre] { this->Shrink(zone); });
    }
    this->Schedule(kAnswerTime, [this, order, outcome] {
      this->Feed(TargetCountOrderEnded{.call = order, .outcome = outcome});
    });
  }

  void Grow(const DataCentreId& zone) {
    while (!this->lost.contains(zone) &&
           this->CountIn(zone) < this->desired[zone]) {
      this->AddTarget(zone);
    }
    this->FeedFleet();
  }
  void Shrink(const DataCentreId& zone) {
    while (this->CountIn(zone) > this->desired[zone]) {
      const auto leaving = std::ranges::find_if(
          this->fleet.targets,
          [&](const auto& entry) { return entry.second->data_centre == zone; });
      this->fleet.targets.erase(leaving);
    }
    this->FeedFleet();
  }
  std::uint32_t CountIn(const DataCentreId& zone) const {
    return static_cast<std::uint32_t>(std::ranges::count_if(
        this->fleet.targets,
        [&](const auto& entry) { return entry.second->data_centre == zone; }));
  }

  // Hosts report in turn, at the interval of usage reports.
  void Report() {
    const double interval = std::max(200.0, 10 * this->HostCountAsNumber());
    const double due = this->HostCountAsNumber() * 20 / interval;
    this->due_reports += due;
    const double wanted = this->demand(this->now.time_since_epoch() - kStart);
    const double running = std::min(wanted, this->Capacity());
    for (; this->due_reports >= 1; this->due_reports -= 1) {
      const std::size_t host = this->next_host++ % this->host_count;
      if (static_cast<double>(host) <
          this->reporting_fraction * this->HostCountAsNumber()) {
        this->Feed(ServiceLoadReport{
            .host = HostId("h" + std::to_string(host)),
            .loads = {this->LoadOf(host, running, wanted - running)}});
      }
    }
  }

  double HostCountAsNumber() const {
    return static_cast<double>(this->host_count);
  }

  // Rounded so that the sum over all hosts is right.
  std::uint32_t ShareOf(std::size_t host, double total) const {
    const auto until = [&](std::size_t hosts) {
      return std::floor(total * static_cast<double>(hosts) /
                        this->HostCountAsNumber());
    };
    return static_cast<std::uint32_t>(until(host + 1) - until(host));
  }

  ServiceLoad LoadOf(std::size_t host, double running, double waiting) const {
    ServiceLoad load{.service = kService,
                     .waiting = this->ShareOf(host, waiting),
                     .running = {}};
    const double targets = this->Capacity() / kSlots;
    for (std::size_t zone = 0; zone < 3; ++zone) {
      if (this->Running(zone) > 0) {
        load.running.push_back(DataCentreLoad{
            .data_centre = ZoneId(zone),
            .running =
                this->ShareOf(host, running * this->Running(zone) / targets)});
      }
    }
    return load;
  }

  void Schedule(Duration delay, std::function<void()> action) {
    this->actions.emplace(this->now + delay, std::move(action));
  }
  void RunDueActions() {
    while (!this->actions.empty() &&
           this->actions.begin()->first <= this->now) {
      auto action = this->actions.extract(this->actions.begin());
      action.mapped()();
    }
  }

  std::size_t host_count;
  std::optional<Scaling> scaling;
  ScalingState state;
  Fleet fleet;
  std::map<DataCentreId, std::uint32_t> desired;
  std::set<DataCentreId> lost;
  std::multimap<TimePoint, std::function<void()>> actions;
  double due_reports = 0;
  std::size_t next_host = 0;
  std::size_t last_target = 0;
};

/// @param depth of the wave, as a fraction of the mean.
inline std::function<double(Duration)> Wave(double mean,
                                            double depth,
                                            Duration period) {
  return [=](Duration at) {
    const double phase = std::chrono::duration<double>(at).count() /
                         std::chrono::duration<double>(period).count();
    return mean * (1 + depth * std::sin(2 * M_PI * phase));
  };
}

}  // namespace cicadaloft

#endif  // CICADALOFT_SCALING_TESTS_SIMULATED_SCALING_H_
