#define BOOST_TEST_MODULE store_calls
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "store_calls_simulation.h"

namespace cicadaloft {
namespace {

constexpr std::size_t kHostCounts[] = {6, 60, 86, 360};

/// Until all hosts follow the holder.
constexpr Duration kSettleTime = seconds(10);

/// Highest age at which hosts may learn of a change: half of the drain time,
/// which leaves the other half for requests that are on their way.
constexpr Duration kMaxAge = StoreCallsSimulation::kDrainTime / 2;

/// Sites of fewer hosts make most calls at the lease holder, however few hosts
/// there are.
constexpr std::size_t kMinCountedHosts = 60;
/// Calls per second and host without any fault. The lease holder's reads and
/// renewals make up most of them.
constexpr double kMaxCalmRate = 0.25;
/// Calls of each host in the seconds after the loss of the holder. Its
/// successor relays after at most 4 s; until then each host reads the lease's
/// log every 0.7 s, the registry once a second, to learn in time of leaving
/// targets, and the operator's topic, in which each second brings a change.
constexpr double kMaxCallsAfterLoss = 14;
constexpr int kLossTimeSeconds = 8;

// Guards against relays that are too large for the holder's link, so that each
// host reads the registry by itself: its heartbeats repeat records of some
// hundred bytes.
BOOST_AUTO_TEST_CASE(HostsSeldomCallTheStoreWithoutFaults) {
  for (const std::size_t hosts : kHostCounts) {
    StoreCallsSimulation simulation(hosts);
    simulation.hosts.RunFor(kSettleTime);
    simulation.TakeHighestAge();
    simulation.WriteOperatorRecord();
    const double rate = simulation.CallRateFor(seconds(30));
    BOOST_TEST_CONTEXT(hosts << " hosts, " << rate << " calls") {
      BOOST_TEST((hosts < kMinCountedHosts || rate <= kMaxCalmRate));
      BOOST_TEST((simulation.TakeHighestAge() <= kMaxAge));
    }
  }
}

/// Checks the calls and the age of what hosts know while the holder is lost.
void CheckLoss(StoreCallsSimulation& simulation,
               std::size_t hosts,
               const HostId& lost) {
  double calls = 0;
  for (int second = 0; second < kLossTimeSeconds; ++second) {
    simulation.WriteOperatorRecord();
    calls += simulation.CallRateFor(seconds(1));
  }
  const Duration age = simulation.TakeHighestAge(lost);
  BOOST_TEST_CONTEXT(hosts << " hosts, " << calls << " calls") {
    BOOST_TEST((hosts < kMinCountedHosts || calls <= kMaxCallsAfterLoss));
    BOOST_TEST((age <= kMaxAge));
  }
}

/// Checks that hosts follow the next holder.
void CheckCalm(StoreCallsSimulation& simulation, std::size_t hosts) {
  const double rate = simulation.CallRateFor(seconds(40));
  BOOST_TEST_CONTEXT(hosts << " hosts, " << rate << " calls") {
    BOOST_TEST((hosts < kMinCountedHosts || rate <= kMaxCalmRate));
  }
}

BOOST_AUTO_TEST_CASE(HostsLearnOfChangesInTimeWhenTheHolderIsKilled) {
  for (const std::size_t hosts : kHostCounts) {
    StoreCallsSimulation simulation(hosts);
    simulation.hosts.RunFor(kSettleTime);
    simulation.TakeHighestAge();
    const HostId holder = simulation.hosts.Holder();
    simulation.hosts.CrashHolder();
    CheckLoss(simulation, hosts, holder);
    CheckCalm(simulation, hosts);
  }
}

BOOST_AUTO_TEST_CASE(HostsLearnOfChangesInTimeWhenTheHolderIsFrozen) {
  for (const std::size_t hosts : kHostCounts) {
    StoreCallsSimulation simulation(hosts);
    simulation.hosts.RunFor(kSettleTime);
    simulation.TakeHighestAge();
    const HostId holder = simulation.hosts.Holder();
    simulation.hosts.FreezeHolder(seconds(4));
    CheckLoss(simulation, hosts, holder);
    CheckCalm(simulation, hosts);
  }
}

// The holder's links stay up.
BOOST_AUTO_TEST_CASE(HostsLearnOfChangesInTimeWhenTheHolderHasNoStore) {
  for (const std::size_t hosts : kHostCounts) {
    StoreCallsSimulation simulation(hosts);
    simulation.hosts.RunFor(kSettleTime);
    simulation.TakeHighestAge();
    const HostId holder = simulation.hosts.Holder();
    simulation.hosts.CutHolderFromLog();
    CheckLoss(simulation, hosts, holder);
  }
}

BOOST_AUTO_TEST_CASE(HostsLearnOfChangesInTimeWhenAThirdHasNoLinks) {
  for (const std::size_t hosts : kHostCounts) {
    StoreCallsSimulation simulation(hosts);
    simulation.hosts.RunFor(kSettleTime);
    simulation.TakeHighestAge();
    simulation.hosts.CutLinks(1.0 / 3);
    for (int second = 0; second < 8; ++second) {
      simulation.WriteOperatorRecord();
      simulation.hosts.RunFor(seconds(1));
    }
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST((simulation.TakeHighestAge() <= kMaxAge));
    }
  }
}

}  // namespace
}  // namespace cicadaloft
