#define BOOST_TEST_MODULE store_step_back
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <string>

#include "store_calls_simulation.h"

namespace cicadaloft {
namespace {

constexpr std::size_t kHostCounts[] = {6, 86};

/// Until all hosts follow the holder.
constexpr Duration kSettleTime = seconds(10);
/// Records that the store loses.
constexpr int kLostRecords = 3;
/// From the return of the store until all hosts know what it has.
constexpr Duration kMaxLag = seconds(2);

/// The store goes away and has lost the newest records when it comes back. The
/// operator writes others at their offsets at once.
/// @param extra_records beyond the number of the lost ones.
/// @param on_away runs when the store has gone.
template <typename F>
void StepBack(StoreCallsSimulation& simulation, int extra_records, F on_away) {
  simulation.WriteOperatorRecord("kept");
  simulation.CopyStore();
  for (int i = 0; i < kLostRecords; ++i) {
    simulation.hosts.RunFor(seconds(1));
    simulation.WriteOperatorRecord("lost" + std::to_string(i));
  }
  simulation.hosts.RunFor(seconds(1));
  simulation.TakeStoreAway();
  on_away();
  simulation.hosts.RunFor(seconds(1));
  simulation.BringStoreBack();
  for (int i = 0; i < kLostRecords + extra_records; ++i) {
    simulation.WriteOperatorRecord("new" + std::to_string(i));
  }
}

// Guards against hosts that stay in the history before the step back, or mix
// both: they refuse snapshots, or take relayed records for the lost ones.
BOOST_AUTO_TEST_CASE(AllHostsFollowARestoredStore) {
  for (const std::size_t hosts : kHostCounts) {
    for (const int extra_records : {-1, 0, 2}) {
      StoreCallsSimulation simulation(hosts);
      simulation.hosts.RunFor(kSettleTime);
      StepBack(simulation, extra_records, [] {});
      simulation.hosts.RunFor(kMaxLag);
      BOOST_TEST_CONTEXT(hosts << " hosts, " << extra_records) {
        BOOST_TEST(simulation.CountHostsBehind() == 0U);
      }
    }
  }
}

// Guards against hosts that learn of the new era only from the holder, whose
// relays stop or are of the era before.
BOOST_AUTO_TEST_CASE(HostsInTwoErasAgreeWithoutTheHolder) {
  for (const std::size_t hosts : kHostCounts) {
    for (const bool is_killed : {true, false}) {
      StoreCallsSimulation simulation(hosts);
      simulation.hosts.RunFor(kSettleTime);
      StepBack(simulation, 0, [&] {
        if (is_killed) {
          simulation.hosts.CrashHolder();
        } else {
          simulation.hosts.FreezeHolder(seconds(4));
        }
      });
      simulation.hosts.RunFor(kMaxLag);
      BOOST_TEST_CONTEXT(hosts << " hosts") {
        BOOST_TEST(simulation.CountHostsBehind() == 0U);
      }
    }
  }
}

// Guards against hosts that have missed one of two steps.
BOOST_AUTO_TEST_CASE(HostsFollowAStoreThatStepsBackTwice) {
  for (const std::size_t hosts : kHostCounts) {
    StoreCallsSimulation simulation(hosts);
    simulation.hosts.RunFor(kSettleTime);
    StepBack(simulation, 0, [] {});
    simulation.hosts.RunFor(milliseconds(300));
    simulation.TakeStoreAway();
    simulation.hosts.RunFor(milliseconds(300));
    simulation.BringStoreBack();
    simulation.WriteOperatorRecord("newest");
    simulation.hosts.RunFor(kMaxLag);
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(simulation.CountHostsBehind() == 0U);
    }
  }
}

// Guards against calls without pause while a store is followed that has come
// back: each host needs a failed read, and a snapshot of each topic.
BOOST_AUTO_TEST_CASE(StepBackCostsFewCalls) {
  constexpr double kMaxCalls = 14;
  for (const std::size_t hosts : kHostCounts) {
    StoreCallsSimulation simulation(hosts);
    simulation.hosts.RunFor(kSettleTime);
    StepBack(simulation, 0, [] {});
    const double calls = 4 * simulation.CallRateFor(seconds(4));
    BOOST_TEST_CONTEXT(hosts << " hosts, " << calls << " calls") {
      BOOST_TEST(calls <= kMaxCalls);
    }
  }
}

}  // namespace
}  // namespace cicadaloft
