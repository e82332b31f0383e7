#define BOOST_TEST_MODULE limits_takeover
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "hosts_simulation.h"

namespace cicadaloft {
namespace {

/// Of the requests within a limit, while faults occur.
constexpr double kMaxRefusedFractionUnderFaults = 0.01;

/// As a fraction of the limit.
constexpr double kDemandFraction = 0.7;

/// Upper bound of the time until a successor holds the lease.
constexpr Duration kTakeoverTime = seconds(5);

// Guards against refusals of customers below their limits after changes of the
// holder: a new holder withheld, for a whole limit window, the shares that had
// been used at any time in it, and the next holder withheld them again.
BOOST_AUTO_TEST_CASE(CustomerBelowLimitIsServedAfterTakeovers) {
  for (const std::size_t hosts : {6, 76, 360}) {
    HostsSimulation simulation(hosts);
    simulation.RunFor(seconds(10));
    simulation.SendRequestsFor(seconds(10), kDemandFraction);
    // Two takeovers within one limit window.
    for (int takeover = 0; takeover < 2; ++takeover) {
      simulation.CrashHolder();
      simulation.SendRequestsFor(kTakeoverTime, kDemandFraction);
    }
    simulation.ResetCounts();
    simulation.SendRequestsFor(seconds(15), kDemandFraction);
    BOOST_TEST_CONTEXT(hosts << " hosts, " << simulation.refused_count << " of "
                             << simulation.request_count << " refused") {
      BOOST_TEST(static_cast<double>(simulation.refused_count) <=
                 kMaxRefusedFractionUnderFaults *
                     static_cast<double>(simulation.request_count));
    }
  }
}

}  // namespace
}  // namespace cicadaloft
