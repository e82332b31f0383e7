#define BOOST_TEST_MODULE limits
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "hosts_simulation.h"

namespace cicadaloft {
namespace {

/// Of the requests within a limit, without any fault.
constexpr double kMaxRefusedFraction = 0.001;

/// Host counts of the smallest site, of a grown site and of the planned one.
constexpr std::size_t kHostCounts[] = {6, 76, 360};

/// Time from the start of the hosts to the first request.
constexpr Duration kSettleTime = seconds(10);

double RefusedFraction(const HostsSimulation& simulation) {
  return static_cast<double>(simulation.refused_count) /
         static_cast<double>(simulation.request_count);
}

// Guards against refusals of customers that are far below their limits, which
// happened when each host's share of a limit was less than a few requests.
BOOST_AUTO_TEST_CASE(CustomerBelowLimitIsServedByAnyNumberOfHosts) {
  for (const std::size_t hosts : kHostCounts) {
    HostsSimulation simulation(hosts);
    simulation.RunFor(kSettleTime);
    simulation.SendRequestsFor(seconds(30), 0.5);
    BOOST_TEST_CONTEXT(hosts << " hosts, " << simulation.refused_count << " of "
                             << simulation.request_count << " refused") {
      BOOST_TEST(RefusedFraction(simulation) <= kMaxRefusedFraction);
    }
  }
}

BOOST_AUTO_TEST_CASE(LimitIsKeptAndUsedByAnyNumberOfHosts) {
  for (const std::size_t hosts : kHostCounts) {
    HostsSimulation simulation(hosts);
    simulation.RunFor(kSettleTime);
    simulation.SendRequestsFor(kLimitWindow, 3);
    simulation.ResetCounts();
    simulation.SendRequestsFor(seconds(24), 3);
    const double allowed = simulation.limit.MaxCostPerWindow();
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(simulation.sent.HighestCostPerWindow() <=
                 allowed * (1 + simulation.limit.overshoot) +
                     simulation.limit.slack);
      // Three windows. What is refused below the limit is lost to the customer.
      BOOST_TEST(simulation.sent.Cost() >= allowed * 3 * 0.9);
    }
  }
}

// Guards against refusals of all customers with limits while the log is
// unreachable: hosts kept sending requests to a holder that had lost its lease
// and granted nothing.
BOOST_AUTO_TEST_CASE(CustomerBelowLimitIsServedWhileNoHostReachesLog) {
  for (const std::size_t hosts : kHostCounts) {
    HostsSimulation simulation(hosts);
    simulation.RunFor(kSettleTime);
    simulation.SendRequestsFor(seconds(5), 0.5);
    simulation.CutAllFromLog();
    simulation.ResetCounts();
    simulation.SendRequestsFor(kShareGrantTtl, 0.5);
    BOOST_TEST_CONTEXT(hosts << " hosts, " << simulation.refused_count << " of "
                             << simulation.request_count << " refused") {
      BOOST_TEST(RefusedFraction(simulation) <= kMaxRefusedFraction);
    }
  }
}

// The holder is replaced while it still answers on its links.
BOOST_AUTO_TEST_CASE(LimitIsKeptWhenHolderIsCutFromLog) {
  for (const std::size_t hosts : kHostCounts) {
    HostsSimulation simulation(hosts);
    simulation.RunFor(kSettleTime);
    simulation.SendRequestsFor(kLimitWindow, 3);
    simulation.CutHolderFromLog();
    simulation.SendRequestsFor(seconds(24), 3);
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(simulation.sent.HighestCostPerWindow() <=
                 simulation.limit.MaxCostPerWindow() *
                         (1 + simulation.limit.overshoot) +
                     simulation.limit.slack);
    }
  }
}

BOOST_AUTO_TEST_CASE(LimitIsKeptWhenHolderCrashes) {
  for (const std::size_t hosts : kHostCounts) {
    for (const int second : {1, 4, 9}) {
      HostsSimulation simulation(hosts);
      simulation.RunFor(kSettleTime);
      simulation.SendRequestsFor(seconds(second), 3);
      simulation.CrashHolder();
      simulation.SendRequestsFor(seconds(20), 3);
      BOOST_TEST_CONTEXT(hosts << " hosts, killed after " << second << " s") {
        BOOST_TEST(simulation.sent.HighestCostPerWindow() <=
                   simulation.limit.MaxCostPerWindow() *
                           (1 + simulation.limit.overshoot) +
                       simulation.limit.slack);
      }
    }
  }
}

}  // namespace
}  // namespace cicadaloft
