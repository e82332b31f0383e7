#define BOOST_TEST_MODULE limits_unknown_hosts
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "hosts_simulation.h"

namespace cicadaloft {
namespace {

// Guards against exceeded limits while no host can learn the number of hosts:
// each assumed 16 and took its part of the reserved fraction, which is divided
// evenly.
BOOST_AUTO_TEST_CASE(LimitIsKeptByHostsThatDoNotKnowTheHostCount) {
  for (const std::size_t hosts : {6, 76, 360}) {
    HostsSimulation simulation(hosts);
    simulation.RunFor(seconds(10));
    simulation.CutAllFromLog();
    simulation.RestartAll();
    simulation.SendRequestsFor(kLimitWindow * 3, 20);
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(simulation.sent.HighestCostPerWindow() <=
                 simulation.limit.MaxCostPerWindow() *
                         (1 + simulation.limit.overshoot) +
                     simulation.limit.slack);
    }
  }
}

}  // namespace
}  // namespace cicadaloft
