#define BOOST_TEST_MODULE cold_target_flood
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "hosts_simulation.h"

namespace cicadaloft {
namespace {

/// Host counts of the smallest site, of a grown site and of the planned one.
constexpr std::size_t kHostCounts[] = {6, 76, 360};

/// How long a target is cold after its start.
constexpr Duration kColdTime = seconds(3);

/// Never reached, so that only the target's rate limits the requests.
constexpr SharedLimit kAmpleLimit{.rate_per_second = 4'000'000,
                                  .burst = 4'000'000};

/// As a fraction of the limit: some 570 requests per second, far more than a
/// cold target tolerates.
constexpr double kFloodFraction = 0.2;

/// Upper bound of the time until a successor holds the lease.
constexpr Duration kTakeoverTime = seconds(5);

void CheckColdRate(const HostsSimulation& simulation, std::size_t hosts) {
  BOOST_TEST_CONTEXT(hosts << " hosts") {
    BOOST_TEST(static_cast<double>(simulation.sent.HighestCountPerSecond()) <=
               simulation.cold_rate_limit.MaxPerSecond());
  }
}

// Guards against floods of a cold target: if each host may send one request
// immediately, the target gets as many requests at once as there are hosts.
BOOST_AUTO_TEST_CASE(ColdTargetRateHoldsForAnyNumberOfHosts) {
  for (const std::size_t hosts : kHostCounts) {
    HostsSimulation simulation(hosts, kAmpleLimit);
    simulation.RunFor(seconds(10));
    simulation.MakeCold(kColdTime);
    simulation.RunFor(milliseconds(50));
    simulation.SendRequestsFor(kColdTime, kFloodFraction);
    CheckColdRate(simulation, hosts);
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      // The target tolerates this rate for certain, so it must be used.
      const std::chrono::duration<double> time = kColdTime;
      BOOST_TEST(static_cast<double>(simulation.sent.Count()) >=
                 simulation.cold_rate_limit.rate_per_second * time.count() *
                     0.9);
    }
  }
}

// Guards against floods by hosts that don't know the number of hosts yet.
BOOST_AUTO_TEST_CASE(ColdTargetRateHoldsAfterAllHostsRestart) {
  for (const std::size_t hosts : kHostCounts) {
    HostsSimulation simulation(hosts, kAmpleLimit);
    simulation.RunFor(seconds(10));
    simulation.MakeCold(seconds(10));
    simulation.SendRequestsFor(seconds(1), kFloodFraction);
    simulation.RestartAll();
    simulation.SendRequestsFor(seconds(8), kFloodFraction);
    CheckColdRate(simulation, hosts);
  }
}

// Guards against floods by hosts that reach no other host.
BOOST_AUTO_TEST_CASE(ColdTargetRateHoldsForHostsWithoutLinks) {
  for (const std::size_t hosts : kHostCounts) {
    for (const double fraction : {0.5, 1.0}) {
      HostsSimulation simulation(hosts, kAmpleLimit);
      simulation.RunFor(seconds(10));
      simulation.CutLinks(fraction);
      simulation.MakeCold(seconds(6));
      simulation.RunFor(milliseconds(50));
      simulation.SendRequestsFor(seconds(6), kFloodFraction);
      CheckColdRate(simulation, hosts);
    }
  }
}

// Guards against two holders that both grant a cold target's whole rate.
BOOST_AUTO_TEST_CASE(ColdTargetRateHoldsWhenHolderChanges) {
  for (const std::size_t hosts : kHostCounts) {
    for (const bool is_cut_from_log : {false, true}) {
      HostsSimulation simulation(hosts, kAmpleLimit);
      simulation.RunFor(seconds(10));
      simulation.MakeCold(seconds(20));
      simulation.RunFor(milliseconds(50));
      simulation.SendRequestsFor(seconds(1), kFloodFraction);
      if (is_cut_from_log) {
        simulation.CutHolderFromLog();
      } else {
        simulation.CrashHolder();
      }
      simulation.SendRequestsFor(kTakeoverTime + seconds(3), kFloodFraction);
      CheckColdRate(simulation, hosts);
    }
  }
}

// Guards against floods of targets after the end of an evacuation: they may be
// cold, and the registry shows that later than the operator's topic shows the
// end.
BOOST_AUTO_TEST_CASE(
    ColdTargetRateHoldsAfterEvacuationBeforeRegistryShowsCold) {
  for (const std::size_t hosts : kHostCounts) {
    HostsSimulation simulation(hosts, kAmpleLimit);
    simulation.RunFor(seconds(10));
    simulation.Evacuate(true);
    simulation.RunFor(seconds(5));
    simulation.Evacuate(false);
    // A heartbeat every 1.2 s, and 1 s between two reads of the registry.
    simulation.SendRequestsFor(milliseconds(2200), kFloodFraction);
    simulation.MakeCold(kColdTime);
    simulation.SendRequestsFor(kColdTime, kFloodFraction);
    CheckColdRate(simulation, hosts);
  }
}

}  // namespace
}  // namespace cicadaloft
