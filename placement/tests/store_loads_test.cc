#define BOOST_TEST_MODULE store_loads
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "simulated_placement.h"
#include "store_load_monitor.h"

namespace cicadaloft {
namespace {

constexpr Duration kStated = seconds(8);
constexpr Duration kTick = milliseconds(20);

TargetId TargetOf(int number) {
  return TargetId("t" + std::to_string(number));
}

/// Runs loads that begin together and all take the same time.
void RunTogether(StoreLoadMonitor& monitor,
                 TimePoint& now,
                 int count,
                 Duration duration) {
  for (int i = 0; i < count; ++i) {
    monitor.OnStarted(TargetOf(i), Path("m" + std::to_string(i)), kStated, now);
  }
  const TimePoint end = now + duration;
  while (now < end) {
    now += kTick;
    monitor.Tick(now);
  }
  for (int i = 0; i < count; ++i) {
    monitor.OnLoaded(TargetOf(i), now);
  }
}

// Guards against loads that all take twice as long since more of them run than
// the platform supports at full speed.
BOOST_AUTO_TEST_CASE(LimitFollowsFromLateLoads) {
  for (const int supported : {1, 2, 3}) {
    StoreLoadMonitor monitor;
    TimePoint now = kStart;
    RunTogether(monitor, now, 4, kStated * 4 / supported + milliseconds(600));
    BOOST_TEST(monitor.limit() == static_cast<std::uint32_t>(supported));
  }
}

// Guards against a lower limit where all loads run at full speed, seen in the
// registry only after a while.
BOOST_AUTO_TEST_CASE(LoadsOnTimeKeepTheLimit) {
  StoreLoadMonitor monitor;
  TimePoint now = kStart;
  for (int round = 0; round < 20; ++round) {
    RunTogether(monitor, now, 4, kStated + seconds(1));
  }
  BOOST_TEST(monitor.limit() == 4U);
}

// Guards against a single slow target that lowers the limit for all.
BOOST_AUTO_TEST_CASE(SingleLateLoadKeepsTheLimit) {
  StoreLoadMonitor monitor;
  TimePoint now = kStart;
  for (int round = 0; round < 5; ++round) {
    monitor.OnStarted(TargetId("slow"), Path("slow"), kStated, now);
    RunTogether(monitor, now, 3, kStated);
    RunTogether(monitor, now, 3, kStated);
    RunTogether(monitor, now, 3, kStated);
    monitor.OnLoaded(TargetId("slow"), now);
  }
  BOOST_TEST(monitor.limit() == 4U);
}

BOOST_AUTO_TEST_CASE(LimitRisesSlowly) {
  StoreLoadMonitor monitor;
  TimePoint now = kStart;
  RunTogether(monitor, now, 4, kStated * 4);
  BOOST_TEST(monitor.limit() == 1U);
  for (const std::uint32_t limit : {2U, 3U, 4U}) {
    now += seconds(119);
    monitor.Tick(now);
    BOOST_TEST(monitor.limit() == limit - 1);
    now += seconds(1);
    monitor.Tick(now);
    BOOST_TEST(monitor.limit() == limit);
  }
}

// Guards against a load whose end is never seen, and that counts for ever.
BOOST_AUTO_TEST_CASE(LoadWithoutAnEndIsDropped) {
  StoreLoadMonitor monitor;
  monitor.OnStarted(TargetOf(0), Path("m"), kStated, kStart);
  BOOST_TEST(monitor.OverdueCount(kStart + seconds(10)) == 0U);
  BOOST_TEST(monitor.OverdueCount(kStart + seconds(12)) == 1U);
  monitor.Tick(kStart + seconds(60));
  BOOST_TEST(monitor.OverdueCount(kStart + seconds(60)) == 0U);
}

/// Requests more models than there are copies of for two minutes.
/// @return loads from the weight store at once, on average over the second
/// minute.
double MeanStoreLoads(int full_speed_loads) {
  SimulatedPlacement simulation(24, 72, 310, 20);
  simulation.store_full_speed_loads = full_speed_loads;
  for (auto& [id, runner] : simulation.runners) {
    runner.disk.clear();
    runner.record.on_disk.clear();
  }
  simulation.Begin();
  int sum = 0;
  for (int round = 0; round < 240; ++round) {
    for (int i = 0; i < 72; ++i) {
      simulation.RequestModel(Path("m" + std::to_string(i)));
    }
    simulation.RunFor(milliseconds(500));
    simulation.SendFleet();
    sum += round >= 120 ? simulation.StoreLoadCount() : 0;
  }
  return sum / 120.0;
}

// Guards against a fixed number of loads at once: platforms differ, and say it
// in no message.
BOOST_AUTO_TEST_CASE(LoadsAtOnceFollowFromWhatThePlatformSupports) {
  const double with_two = MeanStoreLoads(2);
  BOOST_TEST(with_two > 1.5);
  BOOST_TEST(with_two < 2.5);
  BOOST_TEST(MeanStoreLoads(4) > 3);
}

}  // namespace
}  // namespace cicadaloft
