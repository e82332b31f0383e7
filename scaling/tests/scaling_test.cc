#define BOOST_TEST_MODULE scaling
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "simulated_scaling.h"

namespace cicadaloft {
namespace {

constexpr double kWaveDepth = 0.55;
/// Of the targets' slots, at the peak with one data centre lost.
constexpr double kPlannedUse = 0.75;

// Guards against a number of targets that follows a wave: one ordered for a
// wave boots when it is over, and is ended again when the next one begins.
BOOST_AUTO_TEST_CASE(WavesThatStayTheSameChangeNothing) {
  for (const std::size_t hosts : kHostCounts) {
    SimulatedScaling simulation(hosts);
    simulation.demand = Wave(420, kWaveDepth, seconds(11));
    simulation.RunFor(seconds(200));
    simulation.orders.clear();
    simulation.RunFor(seconds(110));
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(simulation.orders.empty());
      BOOST_TEST(simulation.CapacityAfterLoss() * kPlannedUse >=
                 420 * (1 + kWaveDepth));
    }
  }
}

// Guards against targets that are ordered long after a surge has begun.
BOOST_AUTO_TEST_CASE(SurgeIsCoveredSecondsAfterBootTime) {
  for (const std::size_t hosts : kHostCounts) {
    SimulatedScaling simulation(hosts, 20);
    simulation.demand = [](Duration at) {
      return at < seconds(60) ? 400 : 1100;
    };
    simulation.RunFor(seconds(60));
    const std::size_t before = simulation.orders.size();
    simulation.RunFor(seconds(10));
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(simulation.orders.size() > before);
      simulation.RunFor(seconds(10));
      BOOST_TEST(simulation.Capacity() >= 1100);
      simulation.RunFor(seconds(20));
      BOOST_TEST(simulation.CapacityAfterLoss() >= 1100 - kSlots);
    }
  }
}

// Guards against orders that change much at once.
BOOST_AUTO_TEST_CASE(SingleOrderChangesLittle) {
  SimulatedScaling simulation(88, 20);
  simulation.demand = [](Duration at) {
    return at < seconds(60) || at > seconds(120) ? 100 : 5000;
  };
  simulation.RunFor(seconds(300));
  std::map<DataCentreId, std::uint32_t> last;
  for (const auto& order : simulation.orders) {
    const DataCentreId& zone = order.call.data_centre;
    const std::uint32_t from = last.contains(zone) ? last[zone] : 20;
    BOOST_TEST(order.call.count <= from + 6);
    BOOST_TEST(order.call.count + 1 >= from);
    BOOST_TEST(order.call.count >= kBounds.min_targets);
    BOOST_TEST(order.call.count <= kBounds.max_targets);
    last[zone] = order.call.count;
  }
  BOOST_TEST(simulation.Running(0) < 40U);
}

// Guards against paying for targets that no demand and no loss of a data centre
// needs, and against ending them at once.
BOOST_AUTO_TEST_CASE(IdleSurplusIsOrderedDownSlowly) {
  for (const std::size_t hosts : kHostCounts) {
    SimulatedScaling simulation(hosts, 30);
    simulation.demand = Wave(250, 0.15, seconds(11));
    simulation.RunFor(seconds(39));
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(simulation.orders.empty());
      simulation.RunFor(seconds(20));
      BOOST_TEST(simulation.Running(0) >= 26U);
      simulation.RunFor(seconds(120));
      for (std::size_t zone = 0; zone < 3; ++zone) {
        BOOST_TEST(simulation.Running(zone) == kBounds.min_targets);
      }
    }
  }
}

// Guards against a number of targets that is enough only while all data centres
// are up, and against orders down while one is lost.
BOOST_AUTO_TEST_CASE(LossOfDataCentreIsCoveredByTheOthers) {
  for (const std::size_t hosts : kHostCounts) {
    SimulatedScaling simulation(hosts, 20);
    simulation.demand = Wave(500, 0.15, seconds(11));
    simulation.RunFor(seconds(120));
    const std::uint32_t before = simulation.Running(0);
    simulation.LoseZone(2);
    simulation.orders.clear();
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(simulation.Capacity() >= 500 * 1.15);
      simulation.RunFor(seconds(60));
      BOOST_TEST(simulation.Running(0) >= before);
      for (const auto& order : simulation.orders) {
        BOOST_TEST((order.call.data_centre != ZoneId(2)));
        BOOST_TEST(order.call.count >= before);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(EvacuatedDataCentreCountsAsLost) {
  SimulatedScaling simulation(30, 20);
  simulation.demand = [](Duration) { return 100; };
  simulation.Feed(EvacuationsChanged{.data_centres = {ZoneId(1)}});
  simulation.RunFor(seconds(120));
  BOOST_TEST(simulation.orders.empty());
}

/// In the first data centre each of four targets has a model of its own, in the
/// others all have the same one. One target each would be enough.
SimulatedScaling MakeWithOwnModels() {
  SimulatedScaling simulation(6, 0);
  simulation.demand = [](Duration) { return 10; };
  const Scaling bounds{
      .min_targets = 1, .max_targets = 40, .boot_time = seconds(8)};
  std::vector<ModelId> models = {ModelId("shared")};
  for (int i = 0; i < 4; ++i) {
    const ModelId own("own" + std::to_string(i));
    models.push_back(own);
    simulation.AddTarget(ZoneId(0), {own});
    simulation.AddTarget(ZoneId(1), {ModelId("shared")});
    simulation.AddTarget(ZoneId(2), {ModelId("shared")});
  }
  simulation.Feed(
      ConfigurationChanged{.configuration = MakeConfiguration(bounds, models)});
  simulation.FeedFleet();
  return simulation;
}

void UseModelsFor(SimulatedScaling& simulation,
                  Duration time,
                  const std::vector<const char*>& models) {
  std::vector<ModelUsage> usages;
  std::ranges::transform(
      models, std::back_inserter(usages), [](const char* model) {
        return ModelUsage{.path = {.model = ModelId(model)}, .running = 1};
      });
  const TimePoint end = simulation.now + time;
  while (simulation.now < end) {
    simulation.Feed(ModelUsageReport{.host = HostId("h0"), .usages = usages});
    simulation.RunFor(seconds(10));
  }
}

// Guards against ending the only target that has a model in use.
BOOST_AUTO_TEST_CASE(HoldersOfOnlyCopiesAreKept) {
  SimulatedScaling simulation = MakeWithOwnModels();
  // The platform ends the target with "own0" first.
  UseModelsFor(simulation, seconds(100), {"own1", "own2", "own3", "shared"});
  BOOST_TEST(simulation.Running(0) == 3U);
  BOOST_TEST(simulation.Running(1) == 1U);
  BOOST_TEST(simulation.Running(2) == 1U);
}

// Guards against one model after the other that loses its only copy, as the
// platform chooses which target ends.
BOOST_AUTO_TEST_CASE(LostCopyStopsFurtherOrdersDown) {
  SimulatedScaling simulation = MakeWithOwnModels();
  UseModelsFor(simulation, seconds(100), {"own0", "own1", "own2", "shared"});
  BOOST_TEST(simulation.Running(0) == 3U);
}

// Guards against more targets than the operator allows for.
BOOST_AUTO_TEST_CASE(BoundsHoldWhateverTheDemand) {
  SimulatedScaling simulation(30, 20);
  simulation.demand = [](Duration) { return 1e6; };
  simulation.RunFor(seconds(120));
  BOOST_TEST(simulation.Running(0) == kBounds.max_targets);
  simulation.demand = [](Duration) { return 0; };
  simulation.RunFor(seconds(300));
  BOOST_TEST(simulation.Running(0) == kBounds.min_targets);
}

// Guards against orders for services whose operator wants none.
// Guards against a holder that takes the number that runs for the ordered one
// while targets boot or are lost, and so orders fewer than the minimum.
BOOST_AUTO_TEST_CASE(OrdersUpBeginAtTheMinimum) {
  SimulatedScaling simulation(30, 8);
  simulation.RunFor(seconds(60));
  BOOST_REQUIRE(!simulation.orders.empty());
  for (const auto& order : simulation.orders) {
    BOOST_TEST(order.call.count >= kBounds.min_targets);
  }
}

BOOST_AUTO_TEST_CASE(ServiceWithoutScalingIsLeftAlone) {
  SimulatedScaling simulation(30, 20, std::nullopt);
  simulation.demand = [](Duration) { return 5000; };
  simulation.RunFor(seconds(60));
  BOOST_TEST(simulation.orders.empty());
  BOOST_TEST(simulation.counts.empty());
}

// The decoder refuses such bounds; they must do no harm here either.
BOOST_AUTO_TEST_CASE(ContradictingBoundsOrderNothing) {
  for (const Scaling& bounds : {Scaling{.min_targets = 30, .max_targets = 10},
                                Scaling{.min_targets = 0, .max_targets = 0}}) {
    SimulatedScaling simulation(30, 20, bounds);
    simulation.demand = [](Duration) { return 5000; };
    simulation.RunFor(seconds(60));
    BOOST_TEST(simulation.orders.empty());
  }
}

// Guards against a demand that isn't seen: a host that refuses at once has
// neither running nor waiting requests.
BOOST_AUTO_TEST_CASE(RefusedRequestsCountAsDemand) {
  SimulatedScaling simulation(6, 20);
  simulation.demand = [](Duration) { return 400; };
  simulation.RunFor(seconds(20));
  BOOST_REQUIRE(simulation.orders.empty());
  for (int i = 0; i < 100; ++i) {
    simulation.Feed(ServiceLoadReport{
        .host = HostId("h0"),
        .loads = {{.service = kService,
                   .arrivals = 80,
                   .started = 40,
                   .running = {{.data_centre = ZoneId(0), .running = 67}}}}});
    simulation.RunFor(milliseconds(100));
  }
  BOOST_TEST(!simulation.orders.empty());
}

}  // namespace
}  // namespace cicadaloft
