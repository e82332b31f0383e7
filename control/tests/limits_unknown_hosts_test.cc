#define BOOST_TEST_MODULE limits_unknown_hosts
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "hosts_world.h"

namespace cicadaloft {
namespace {

// Guards against overspent limits by hosts that can't know how many they are:
// each reckoned with 16 and took its part of what is divided evenly.
BOOST_AUTO_TEST_CASE(LimitsAreKeptByHostsThatHaveNotHeardHowManyTheyAre) {
  for (const std::size_t hosts : {6, 76, 360}) {
    HostsWorld world(hosts);
    world.RunFor(seconds(10));
    world.CutAllFromLog();
    world.RestartAll();
    world.AskFor(kLimitWindow * 3, 20);
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(world.sent.MostCostInWindow() <=
                 world.limit.Allowed() * (1 + world.limit.overshoot) +
                     world.limit.slack);
    }
  }
}

}  // namespace
}  // namespace cicadaloft
