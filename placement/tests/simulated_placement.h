#ifndef CICADALOFT_PLACEMENT_TESTS_SIMULATED_PLACEMENT_H_
#define CICADALOFT_PLACEMENT_TESTS_SIMULATED_PLACEMENT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/placement/placement_state.h"

namespace cicadaloft {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const TimePoint kStart(seconds(1000));
inline const ServiceId kService("s");
inline const HostId kHost("asking");

inline ModelPath Path(const std::string& model,
                      const std::string& adapter = "") {
  return ModelPath{.model = ModelId(model), .adapter = AdapterId(adapter)};
}

inline ActiveConfigurationPtr MakeConfiguration(int models,
                                                double capacity_mb,
                                                double store_loads_per_second) {
  Engine engine{.capacity_mb = capacity_mb,
                .max_adapters = 2,
                .store_loads_per_second = store_loads_per_second};
  for (int i = 0; i < models; ++i) {
    engine.models.push_back(Model{.id = ModelId("m" + std::to_string(i)),
                                  .weights_mb = 100,
                                  .store_load_time = seconds(6),
                                  .disk_load_time = milliseconds(500),
                                  .memory_load_time = milliseconds(400),
                                  .adapter_count = 5,
                                  .adapter_mb = 1});
  }
  return std::make_shared<const ActiveConfiguration>(
      Configuration{.version = ConfigurationVersion(1),
                    .services = {{.id = kService, .engine = engine}}});
}

/// A runner that refuses orders while it is busy, and checks the expected
/// sequence when an order takes effect.
struct Runner {
  TargetRecord record;
  std::uint64_t sequence = 0;
  std::set<ModelPath> loaded;
  TimePoint busy_until{};
  bool is_crashed = false;    ///< It refuses connections.
  TimePoint running_until{};  ///< When its requests end; unloads wait for it.
  std::set<ModelId> disk;
  ModelPath store_load;        ///< The last one.
  Duration store_work_left{};  ///< Of that load, at full speed.

  double UsedMb() const {
    double used = 0;
    for (const ModelPath& path : this->loaded) {
      used += path.IsAdapter() ? 1 : 100;
    }
    return used;
  }
};

/// Runs the placement decisions with simulated runners. Only RunFor() advances
/// the time.
class SimulatedPlacement {
 public:
  /// @param capacity_mb memory for weights on each runner; each model takes
  /// 100 MB.
  SimulatedPlacement(int runners,
                     int models,
                     double capacity_mb = 300,
                     double store_loads_per_second = 2)
      : capacity_mb(capacity_mb),
        configuration(
            MakeConfiguration(models, capacity_mb, store_loads_per_second)) {
    for (int i = 0; i < runners; ++i) {
      const std::string id = "t" + std::to_string(i);
      Runner runner{.record = {.id = TargetId(id),
                               .service = kService,
                               .address = "10.0.0.1:1",
                               .data_centre = DataCentreId("dc"),
                               .slots = 10,
                               .instance = TargetInstance(1)}};
      for (int m = 0; m < models; ++m) {
        runner.disk.insert(ModelId("m" + std::to_string(m)));
        runner.record.on_disk.push_back(ModelId("m" + std::to_string(m)));
      }
      std::ranges::sort(runner.record.on_disk);
      this->runners.emplace(runner.record.id, runner);
    }
  }

  void Begin() {
    this->Feed(ConfigurationChanged{.configuration = this->configuration});
    this->SendFleet();
    this->Feed(PlacementStarted{.token = FencingToken(1)});
    this->RunFor(milliseconds(200));
  }

  void SendFleet() {
    Fleet fleet;
    for (const auto& [id, runner] : this->runners) {
      TargetRecord record = runner.record;
      record.loaded = {runner.loaded.begin(), runner.loaded.end()};
      if (IsStoreLoading(runner)) {
        std::erase(record.loaded, runner.store_load);
      }
      fleet.targets[id] = std::make_shared<const TargetRecord>(record);
    }
    this->Feed(FleetChanged{.fleet = std::make_shared<const Fleet>(fleet)});
  }

  void RequestModel(const ModelPath& path,
                    std::vector<TargetId> denied_by = {},
                    Duration latency_objective = milliseconds(250)) {
    this->Feed(
        HostModelLoadRequest{.host = kHost,
                             .request = {.service = kService,
                                         .path = path,
                                         .waiting = 1,
                                         .latency_objective = latency_objective,
                                         .denied_by = std::move(denied_by)}});
  }

  /// Requests the path of a target with the version, or of any target.
  void RequestModelOf(const std::optional<SoftwareVersion>& software,
                      const ModelPath& path,
                      const HostId& host = kHost) {
    this->Feed(
        HostModelLoadRequest{.host = host,
                             .request = {.service = kService,
                                         .path = path,
                                         .waiting = 1,
                                         .latency_objective = milliseconds(250),
                                         .software = software}});
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += milliseconds(20);
      this->DeliverLateOrders();
      this->ContinueStoreLoads(milliseconds(20));
      this->Feed(PlacementTick{});
    }
  }

  void Feed(const PlacementEvent& event) {
    std::deque<PlacementEvent> events = {event};
    while (!events.empty()) {
      auto step = Decide(std::move(this->state), events.front(), this->now);
      events.pop_front();
      this->state = std::move(step.state);
      for (const PlacementEffect& effect : step.effects) {
        if (const auto* order = std::get_if<SendOrder>(&effect)) {
          if (this->silent_targets.contains(order->target)) {
            this->orders.push_back(*order);
          } else {
            events.push_back(this->SendToRunner(*order));
          }
        } else if (const auto* report_request =
                       std::get_if<RequestTargetReport>(&effect)) {
          events.push_back(this->Report(report_request->target));
        } else if (const auto* sent_change =
                       std::get_if<SendPlacementChange>(&effect)) {
          this->sent_changes.push_back(*sent_change);
        }
      }
    }
  }

  bool IsLoaded(const ModelPath& path) const {
    return std::ranges::any_of(this->runners, [&](const auto& entry) {
      return entry.second.loaded.contains(path);
    });
  }

  /// @return how many runners load from the weight store now.
  int StoreLoadCount() const {
    return static_cast<int>(std::ranges::count_if(
        this->runners,
        [](const auto& entry) { return IsStoreLoading(entry.second); }));
  }

  double capacity_mb;
  /// Loads from the weight store beyond this number at once make each take
  /// proportionally longer, and the registry shows them when they have ended;
  /// 0: no bound.
  int store_full_speed_loads = 0;
  TimePoint now = kStart;
  ActiveConfigurationPtr configuration;
  PlacementState state;
  std::map<TargetId, Runner> runners;
  std::vector<SendPlacementChange> sent_changes;
  std::vector<SendOrder> orders;
  std::vector<TimePoint> store_loads;
  /// Their orders stay unanswered.
  std::set<TargetId> silent_targets;
  /// Fraction of the orders that get no answer, and arrive late or never.
  double lost_order_fraction = 0;
  std::mt19937 random{1};
  std::vector<std::pair<TimePoint, SendOrder>> late_orders;
  bool has_overcommitted = false;

 private:
  static bool IsStoreLoading(const Runner& runner) {
    return runner.store_work_left > Duration::zero();
  }

  // The loads share what the weight store gives.
  void ContinueStoreLoads(Duration time) {
    const int count = std::max(1, this->StoreLoadCount());
    const Duration work =
        time * std::min(count, this->store_full_speed_loads) / count;
    for (auto& [id, runner] : this->runners) {
      if (IsStoreLoading(runner)) {
        runner.store_work_left -= work;
        runner.busy_until =
            IsStoreLoading(runner) ? TimePoint::max() : this->now;
      }
    }
  }

  bool RandomBool(double probability) {
    return std::uniform_real_distribution<double>()(this->random) < probability;
  }

  PlacementEvent SendToRunner(const SendOrder& order) {
    this->orders.push_back(order);
    if (this->runners.at(order.target).is_crashed) {
      return OrderEnded{.target = order.target,
                        .outcome = OrderOutcome::kNotSent};
    }
    if (this->RandomBool(this->lost_order_fraction)) {
      if (this->RandomBool(0.5)) {
        this->late_orders.emplace_back(this->now + milliseconds(2000), order);
      }
      return OrderEnded{.target = order.target,
                        .outcome = OrderOutcome::kNoAnswer};
    }
    return OrderEnded{.target = order.target,
                      .outcome = this->ApplyOrder(order)};
  }

  void DeliverLateOrders() {
    for (const auto& [at, order] : std::exchange(this->late_orders, {})) {
      if (at <= this->now) {
        this->ApplyOrder(order);
      } else {
        this->late_orders.emplace_back(at, order);
      }
    }
  }

  OrderOutcome ApplyOrder(const SendOrder& order) {
    Runner& runner = this->runners.at(order.target);
    if (this->now < runner.busy_until ||
        order.expected_sequence.value() != runner.sequence) {
      return OrderOutcome::kConflict;
    }
    const bool is_load = order.kind == OrderKind::kLoad;
    if (is_load == runner.loaded.contains(order.path)) {
      return OrderOutcome::kAlready;
    }
    ++runner.sequence;
    if (!is_load) {
      runner.busy_until = std::max(runner.busy_until, runner.running_until);
      std::erase_if(runner.loaded, [&](const ModelPath& loaded_path) {
        return order.path.IsAdapter() ? loaded_path == order.path
                                      : loaded_path.model == order.path.model;
      });
      return order.path.IsAdapter() ? OrderOutcome::kAlready
                                    : OrderOutcome::kAccepted;
    }
    runner.loaded.insert(order.path);
    this->has_overcommitted |= runner.UsedMb() > this->capacity_mb;
    if (!order.path.IsAdapter()) {
      const bool has_copy = runner.disk.contains(order.path.model);
      if (!has_copy) {
        this->store_loads.push_back(this->now);
        runner.disk.insert(order.path.model);
      }
      runner.busy_until =
          this->now + (has_copy ? milliseconds(500) : milliseconds(6000));
      if (!has_copy && this->store_full_speed_loads > 0) {
        runner.store_load = order.path;
        runner.store_work_left = milliseconds(6000);
        runner.busy_until = TimePoint::max();
      }
    }
    return OrderOutcome::kAccepted;
  }

  PlacementEvent Report(const TargetId& target) const {
    const Runner& runner = this->runners.at(target);
    if (runner.is_crashed) {
      return TargetReportFailed{.target = target, .reason = "no report"};
    }
    return TargetReportReceived{
        .target = target,
        .report = {.sequence = OrderSequence(runner.sequence),
                   .instance = runner.record.instance,
                   .is_busy = this->now < runner.busy_until,
                   .loaded = {runner.loaded.begin(), runner.loaded.end()},
                   .on_disk = {runner.disk.begin(), runner.disk.end()}}};
  }
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_TESTS_SIMULATED_PLACEMENT_H_
