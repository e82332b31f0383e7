#ifndef CICADALOFT_PLACEMENT_TESTS_PLACEMENT_WORLD_H_
#define CICADALOFT_PLACEMENT_TESTS_PLACEMENT_WORLD_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
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
                                                double room,
                                                double store_loads_per_second) {
  Engine engine{.capacity_mb = room,
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
  std::set<ModelPath> held;
  TimePoint busy_until{};
  bool is_dead = false;    ///< It takes no connection.
  TimePoint unloads_at{};  ///< Runs that an unload has to wait for end then.
  std::set<ModelId> disk;

  double UsedMb() const {
    double used = 0;
    for (const ModelPath& path : this->held) {
      used += path.IsAdapter() ? 1 : 100;
    }
    return used;
  }
};

/// The decisions with runners. Time passes by RunFor() alone.
class World {
 public:
  /// @param room for weights on each runner, in MB; a model has 100.
  World(int runners,
        int models,
        double room = 300,
        double store_loads_per_second = 2)
      : room(room),
        configuration(MakeConfiguration(models, room, store_loads_per_second)) {
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
    this->TellFleet();
    this->Feed(PlacementStarted{.token = FencingToken(1)});
    this->RunFor(milliseconds(200));
  }

  void TellFleet() {
    Fleet fleet;
    for (const auto& [id, runner] : this->runners) {
      TargetRecord record = runner.record;
      record.loaded = {runner.held.begin(), runner.held.end()};
      fleet.targets[id] = std::make_shared<const TargetRecord>(record);
    }
    this->Feed(FleetChanged{.fleet = std::make_shared<const Fleet>(fleet)});
  }

  void Want(const ModelPath& path,
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

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += milliseconds(20);
      this->DeliverLate();
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
          events.push_back(this->Give(*order));
        } else if (const auto* ask =
                       std::get_if<RequestTargetReport>(&effect)) {
          events.push_back(this->Report(ask->target));
        } else if (const auto* tell =
                       std::get_if<SendPlacementChange>(&effect)) {
          this->tells.push_back(*tell);
        }
      }
    }
  }

  bool IsHeld(const ModelPath& path) const {
    return std::ranges::any_of(this->runners, [&](const auto& entry) {
      return entry.second.held.contains(path);
    });
  }

  double room;
  TimePoint now = kStart;
  ActiveConfigurationPtr configuration;
  PlacementState state;
  std::map<TargetId, Runner> runners;
  std::vector<SendPlacementChange> tells;
  std::vector<SendOrder> orders;
  std::vector<TimePoint> store_loads;
  /// Part of the orders that get no answer, and arrive late or never.
  double lost = 0;
  std::mt19937 random{1};
  std::vector<std::pair<TimePoint, SendOrder>> late;
  bool has_overcommitted = false;

 private:
  bool Chance(double part) {
    return std::uniform_real_distribution<double>()(this->random) < part;
  }

  PlacementEvent Give(const SendOrder& order) {
    this->orders.push_back(order);
    if (this->runners.at(order.target).is_dead) {
      return OrderEnded{.target = order.target,
                        .outcome = OrderOutcome::kNotSent};
    }
    if (this->Chance(this->lost)) {
      if (this->Chance(0.5)) {
        this->late.emplace_back(this->now + milliseconds(2000), order);
      }
      return OrderEnded{.target = order.target,
                        .outcome = OrderOutcome::kNoAnswer};
    }
    return OrderEnded{.target = order.target, .outcome = this->Apply(order)};
  }

  void DeliverLate() {
    for (const auto& [at, order] : std::exchange(this->late, {})) {
      if (at <= this->now) {
        this->Apply(order);
      } else {
        this->late.emplace_back(at, order);
      }
    }
  }

  OrderOutcome Apply(const SendOrder& order) {
    Runner& runner = this->runners.at(order.target);
    if (this->now < runner.busy_until ||
        order.expected_sequence.value() != runner.sequence) {
      return OrderOutcome::kConflict;
    }
    const bool is_load = order.kind == OrderKind::kLoad;
    if (is_load == runner.held.contains(order.path)) {
      return OrderOutcome::kAlready;
    }
    ++runner.sequence;
    if (!is_load) {
      runner.busy_until = std::max(runner.busy_until, runner.unloads_at);
      std::erase_if(runner.held, [&](const ModelPath& held) {
        return order.path.IsAdapter() ? held == order.path
                                      : held.model == order.path.model;
      });
      return order.path.IsAdapter() ? OrderOutcome::kAlready
                                    : OrderOutcome::kAccepted;
    }
    runner.held.insert(order.path);
    this->has_overcommitted |= runner.UsedMb() > this->room;
    if (!order.path.IsAdapter()) {
      const bool is_near = runner.disk.contains(order.path.model);
      if (!is_near) {
        this->store_loads.push_back(this->now);
        runner.disk.insert(order.path.model);
      }
      runner.busy_until =
          this->now + (is_near ? milliseconds(500) : milliseconds(6000));
    }
    return OrderOutcome::kAccepted;
  }

  PlacementEvent Report(const TargetId& target) const {
    const Runner& runner = this->runners.at(target);
    if (runner.is_dead) {
      return TargetReportFailed{.target = target, .reason = "no report"};
    }
    return TargetReportReceived{
        .target = target,
        .report = {.sequence = OrderSequence(runner.sequence),
                   .instance = runner.record.instance,
                   .is_busy = this->now < runner.busy_until,
                   .loaded = {runner.held.begin(), runner.held.end()},
                   .on_disk = {runner.disk.begin(), runner.disk.end()}}};
  }
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_TESTS_PLACEMENT_WORLD_H_
