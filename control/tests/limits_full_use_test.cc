#define BOOST_TEST_MODULE limits_full_use
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "hosts_simulation.h"

namespace cicadaloft {
namespace {

/// Of the limit, that a customer whose demand exceeds it may be denied.
constexpr double kMaxRefusedFractionUnderFaults = 0.01;

// Guards against refusals below the limit of a customer whose demand exceeds
// it: what the hosts left unused of its shares was lost.
BOOST_AUTO_TEST_CASE(CustomerAboveLimitGetsWholeLimit) {
  constexpr int kWindows = 3;
  for (const std::size_t hosts : {6, 76, 360}) {
    HostsSimulation simulation(hosts);
    simulation.RunFor(seconds(10));
    simulation.SendRequestsFor(kLimitWindow, 3);
    simulation.ResetCounts();
    simulation.SendRequestsFor(kLimitWindow * kWindows, 3);
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(simulation.sent.Cost() >=
                 simulation.limit.MaxCostPerWindow() * kWindows *
                     (1 - kMaxRefusedFractionUnderFaults));
    }
  }
}

}  // namespace
}  // namespace cicadaloft
