#define BOOST_TEST_MODULE placement
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "cicadaloft/placement/placement_state.h"
#include "cicadaloft/placement/store_load_budget.h"
#include "cicadaloft/placement/usage_history.h"
#include "simulated_placement.h"

namespace cicadaloft {
namespace {

BOOST_AUTO_TEST_CASE(RequestedModelIsLoadedOnceAndHostIsNotified) {
  SimulatedPlacement simulation(2, 2, 100);
  simulation.runners.at(TargetId("t0")).loaded = {Path("m0")};
  simulation.runners.at(TargetId("t1")).loaded = {Path("m0")};
  simulation.Begin();
  const auto before = simulation.orders.size();
  simulation.RequestModel(Path("m1"));
  simulation.RequestModel(Path("m1"));
  simulation.RunFor(seconds(1));
  BOOST_TEST(simulation.IsLoaded(Path("m1")));
  BOOST_TEST(simulation.IsLoaded(Path("m0")));
  const auto loads = std::ranges::count_if(
      simulation.orders.begin() + static_cast<std::ptrdiff_t>(before),
      simulation.orders.end(), [](const SendOrder& order) {
        return order.kind == OrderKind::kLoad && order.path == Path("m1");
      });
  BOOST_TEST(loads == 1);
  BOOST_TEST(std::ranges::any_of(
      simulation.sent_changes, [](const SendPlacementChange& sent_change) {
        return sent_change.change.is_load &&
               sent_change.change.path == Path("m1") &&
               sent_change.change.ready_in >= milliseconds(500) &&
               sent_change.hosts.contains(kHost);
      }));
}

BOOST_AUTO_TEST_CASE(NoOrderIsSentAfterPlacementStopped) {
  SimulatedPlacement simulation(1, 2);
  simulation.Begin();
  simulation.Feed(PlacementStopped{});
  const auto before = simulation.orders.size();
  simulation.RequestModel(Path("m1"));
  simulation.RunFor(seconds(1));
  BOOST_TEST(simulation.orders.size() == before);
}

BOOST_AUTO_TEST_CASE(FreeMemoryIsFilledWithModelsThatNoTargetHasLoaded) {
  SimulatedPlacement simulation(2, 4, 205);
  simulation.Begin();
  simulation.RunFor(seconds(5));
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(simulation.IsLoaded(Path("m" + std::to_string(i))));
  }
}

BOOST_AUTO_TEST_CASE(AdapterLoadsItsModelAndReplacesLeastRecentlyUsedAdapter) {
  SimulatedPlacement simulation(1, 1);
  simulation.Begin();
  for (const char* adapter : {"a1", "a2", "a3"}) {
    simulation.RequestModel(Path("m0", adapter));
    simulation.RunFor(milliseconds(400));
    simulation.RequestModel(Path("m0", adapter));
    simulation.RunFor(milliseconds(800));
    BOOST_TEST(simulation.IsLoaded(Path("m0", adapter)));
  }
  BOOST_TEST(!simulation.IsLoaded(Path("m0", "a1")));
}

BOOST_AUTO_TEST_CASE(LeastUsedModelIsUnloadedFirst) {
  SimulatedPlacement simulation(1, 4, 310);
  simulation.runners.at(TargetId("t0")).loaded = {Path("m0"), Path("m1"),
                                                  Path("m2")};
  simulation.Begin();
  simulation.Feed(
      ModelUsageReport{.host = HostId("h"),
                       .usages = {{.path = Path("m0"), .arrivals = 50},
                                  {.path = Path("m2"), .arrivals = 50}}});
  simulation.RequestModel(Path("m3"));
  simulation.RunFor(seconds(2));
  BOOST_TEST(simulation.IsLoaded(Path("m3")));
  BOOST_TEST(!simulation.IsLoaded(Path("m1")));
}

// Guards against a lost demand: the target refused its order because an unload
// was still waiting for running requests.
BOOST_AUTO_TEST_CASE(DemandIsServedAfterConflict) {
  SimulatedPlacement simulation(1, 2, 100);
  Runner& runner = simulation.runners.at(TargetId("t0"));
  runner.loaded = {Path("m0")};
  simulation.Begin();
  runner.running_until = simulation.now + milliseconds(900);
  simulation.RequestModel(Path("m1"));
  simulation.RunFor(milliseconds(400));
  BOOST_TEST(!simulation.IsLoaded(Path("m1")));
  simulation.RunFor(milliseconds(800));
  BOOST_TEST(simulation.IsLoaded(Path("m1")));
}

// Guards against a lease holder that keeps announcing a model or adapter on
// a target that does not have it.
BOOST_AUTO_TEST_CASE(ModelIsLoadedAgainAfterTargetDeniedIt) {
  SimulatedPlacement simulation(1, 1);
  simulation.Begin();
  simulation.RunFor(seconds(1));
  BOOST_REQUIRE(simulation.IsLoaded(Path("m0")));
  // The target loses the model without reporting it.
  simulation.runners.at(TargetId("t0")).loaded.clear();
  simulation.RequestModel(Path("m0"), {TargetId("t0")});
  simulation.RunFor(milliseconds(400));
  simulation.RequestModel(Path("m0"));
  simulation.RunFor(seconds(2));
  BOOST_TEST(simulation.IsLoaded(Path("m0")));
}

// Guards against loads from the weight store while the target with a copy
// executes another order: the cause of each of some twenty such loads a day.
BOOST_AUTO_TEST_CASE(BusyTargetWithCopyIsPreferredToStoreLoad) {
  SimulatedPlacement simulation(2, 4, 200);
  for (auto& [id, runner] : simulation.runners) {
    runner.loaded = {Path("m2"), Path("m3")};
  }
  Runner& without_copies = simulation.runners.at(TargetId("t1"));
  without_copies.disk = {ModelId("m2"), ModelId("m3")};
  without_copies.record.on_disk = {ModelId("m2"), ModelId("m3")};
  simulation.Begin();
  simulation.RequestModel(Path("m0"));
  simulation.RequestModel(Path("m1"));
  for (int i = 0; i < 4; ++i) {
    simulation.RunFor(milliseconds(400));
    simulation.RequestModel(Path("m1"));
  }
  BOOST_TEST(simulation.IsLoaded(Path("m0")));
  BOOST_TEST(simulation.IsLoaded(Path("m1")));
  BOOST_TEST(simulation.store_loads.empty());
}

// Guards against a lease holder that spends its time on a crashed target: it
// sent the same order repeatedly, 7,600 times on one day.
BOOST_AUTO_TEST_CASE(ModelIsLoadedOnAnotherTargetAfterCrash) {
  SimulatedPlacement simulation(2, 2, 100);
  simulation.runners.at(TargetId("t0")).loaded = {Path("m0")};
  simulation.runners.at(TargetId("t1")).loaded = {Path("m0")};
  simulation.Begin();
  simulation.runners.at(TargetId("t0")).is_crashed = true;
  const auto before = simulation.orders.size();
  simulation.RequestModel(Path("m1"));
  simulation.RunFor(seconds(1));
  BOOST_TEST(simulation.runners.at(TargetId("t1")).loaded.contains(Path("m1")));
  // One that fails, an unload and a load.
  BOOST_TEST(simulation.orders.size() - before <= 3U);
}

// Guards against batch requests that wait while most targets of a large site
// are free: only four freed memory at a time, regardless of the number of
// targets.
BOOST_AUTO_TEST_CASE(OneThirdOfTargetsFreesMemoryForBatchRequests) {
  constexpr int kTargets = 60;
  SimulatedPlacement simulation(kTargets, 2 * kTargets, 100);
  int number = 0;
  for (auto& [id, runner] : simulation.runners) {
    runner.loaded = {Path("m" + std::to_string(number++))};
  }
  simulation.Begin();
  // Requests keep running on all targets.
  for (auto& [id, runner] : simulation.runners) {
    runner.running_until = simulation.now + seconds(2);
  }
  for (int model = kTargets; model < 2 * kTargets; ++model) {
    simulation.RequestModel(Path("m" + std::to_string(model)), {}, seconds(4));
  }
  simulation.RunFor(milliseconds(200));
  BOOST_TEST(std::ranges::count(simulation.orders, OrderKind::kUnload,
                                &SendOrder::kind) == kTargets / 3);
}

BOOST_AUTO_TEST_CASE(StoreLoadsStayWithinTheirRate) {
  // Below the rate that the limit of concurrent loads allows.
  const double rate = 0.1;
  SimulatedPlacement simulation(8, 24, 310, rate);
  for (auto& [id, runner] : simulation.runners) {
    runner.disk.clear();
    runner.record.on_disk.clear();
  }
  simulation.Begin();
  for (int round = 0; round < 400; ++round) {
    for (int i = 0; i < 24; ++i) {
      simulation.RequestModel(Path("m" + std::to_string(i)));
    }
    simulation.RunFor(milliseconds(250));
  }
  BOOST_TEST(simulation.store_loads.size() > 5);
  for (const TimePoint from : simulation.store_loads) {
    const auto in_window = std::ranges::count_if(
        simulation.store_loads,
        [&](TimePoint at) { return at >= from && at < from + seconds(5); });
    BOOST_TEST(in_window <= rate * 5 * 1.1 + 3);
  }
}

// With unanswered orders that are executed late or never, and many demands, no
// target loads more than fits in its memory.
BOOST_AUTO_TEST_CASE(MemoryIsNotOvercommittedWithLostAndLateOrders) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SimulatedPlacement simulation(3, 9, 205);
    simulation.random.seed(seed);
    simulation.lost_order_fraction = 0.35;
    simulation.Begin();
    for (int round = 0; round < 60; ++round) {
      const int model =
          std::uniform_int_distribution<int>(0, 8)(simulation.random);
      const bool is_adapter = round % 3 == 0;
      simulation.RequestModel(
          Path("m" + std::to_string(model), is_adapter ? "a1" : ""));
      simulation.RunFor(milliseconds(200));
    }
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(!simulation.has_overcommitted);
    }
  }
}

// Guards against a model that is unloaded first because it is used only through
// its adapters.
BOOST_AUTO_TEST_CASE(AdapterUsageCountsForItsModel) {
  UsageHistory history;
  history.Add(
      ModelUsageReport{
          .host = HostId("a"),
          .usages = {{.path = Path("m", "a1"), .arrivals = 6, .running = 2},
                     {.path = Path("m", "a2"), .arrivals = 2, .running = 1}}},
      kStart);
  BOOST_TEST(history.RunningCount(Path("m")) == 3);
  BOOST_TEST(history.RequestRate(Path("m"), kStart) >
             history.RequestRate(Path("m", "a1"), kStart));
  BOOST_TEST((history.LastUse(Path("m")) == kStart));
}

BOOST_AUTO_TEST_CASE(UsageDecaysAndRunningCountExpires) {
  UsageHistory history;
  history.Add({.host = HostId("h"),
               .usages = {{.path = Path("m"),
                           .arrivals = 80,
                           .running = 3,
                           .interactive = 40}}},
              kStart);
  BOOST_TEST(history.RequestRate(Path("m"), kStart) > 5);
  BOOST_TEST(history.InteractiveFraction(Path("m")) == 0.5);
  BOOST_TEST(history.RunningCount(Path("m")) == 3U);
  const TimePoint later = kStart + UsageHistory::kHalfLife;
  BOOST_TEST(history.RequestRate(Path("m"), later) ==
                 history.RequestRate(Path("m"), kStart) / 2,
             boost::test_tools::tolerance(0.001));
  history.DropExpired(kStart + UsageHistory::kReportTtl);
  BOOST_TEST(history.RunningCount(Path("m")) == 0U);
}

BOOST_AUTO_TEST_CASE(RunningCountIsReplacedByNextReport) {
  UsageHistory history;
  history.Add({.host = HostId("h"),
               .usages = {{.path = Path("m"), .arrivals = 1, .running = 3},
                          {.path = Path("n"), .arrivals = 1, .running = 1}}},
              kStart);
  history.Add({.host = HostId("other"),
               .usages = {{.path = Path("m"), .arrivals = 1, .running = 2}}},
              kStart);
  history.Add(
      {.host = HostId("h"), .usages = {{.path = Path("m"), .running = 1}}},
      kStart + seconds(1));
  BOOST_TEST(history.RunningCount(Path("m")) == 3U);
  BOOST_TEST(history.RunningCount(Path("n")) == 0U);
}

// Guards against a lease holder that spends its time on notifications: each
// change went to all hosts of a large site.
BOOST_AUTO_TEST_CASE(OnlyHostsThatRequestOrUseAModelAreNotified) {
  SimulatedPlacement simulation(1, 2, 100);
  simulation.runners.at(TargetId("t0")).loaded = {Path("m0")};
  simulation.Begin();
  simulation.Feed(ModelUsageReport{
      .host = HostId("user"), .usages = {{.path = Path("m0"), .arrivals = 1}}});
  simulation.Feed(
      ModelUsageReport{.host = HostId("stranger"),
                       .usages = {{.path = Path("m9"), .arrivals = 1}}});
  simulation.RequestModel(Path("m1"));
  simulation.RunFor(seconds(1));
  BOOST_REQUIRE(simulation.IsLoaded(Path("m1")));
  for (const SendPlacementChange& sent_change : simulation.sent_changes) {
    const std::set<HostId> expected_hosts =
        sent_change.change.path == Path("m0") ? std::set<HostId>{HostId("user")}
                                              : std::set<HostId>{kHost};
    BOOST_TEST((sent_change.hosts == expected_hosts));
  }
  BOOST_TEST(!simulation.sent_changes.empty());
}

}  // namespace
}  // namespace cicadaloft
