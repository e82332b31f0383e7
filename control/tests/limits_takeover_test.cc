#define BOOST_TEST_MODULE limits_takeover
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "hosts_world.h"

namespace cicadaloft {
namespace {

/// Of what is asked inside a limit, so much may be refused in trouble.
constexpr double kRefusableInTrouble = 0.01;

/// Of the limit.
constexpr double kDemand = 0.7;

/// A successor is there by then.
constexpr Duration kTakeover = seconds(5);

// Guards against refusals of customers below their limits after changes of the
// holder: a new one holds back for a whole window what had been spent at any
// time in it, and the next one that again.
BOOST_AUTO_TEST_CASE(CustomersBelowTheirLimitAreServedAfterTakeovers) {
  for (const std::size_t hosts : {6, 76, 360}) {
    HostsWorld world(hosts);
    world.RunFor(seconds(10));
    world.AskFor(seconds(10), kDemand);
    // Holders that follow each other within a window.
    for (int takeover = 0; takeover < 2; ++takeover) {
      world.KillHolder();
      world.AskFor(kTakeover, kDemand);
    }
    world.ForgetCounts();
    world.AskFor(seconds(15), kDemand);
    BOOST_TEST_CONTEXT(hosts << " hosts, " << world.refused << " of "
                             << world.asked << " refused") {
      BOOST_TEST(static_cast<double>(world.refused) <=
                 kRefusableInTrouble * static_cast<double>(world.asked));
    }
  }
}

// Guards against refusals below the limit of a customer that asks for more than
// it: what shares leave unused is lost.
BOOST_AUTO_TEST_CASE(ACustomerOverItsLimitGetsAllOfIt) {
  constexpr int kWindows = 3;
  for (const std::size_t hosts : {6, 76, 360}) {
    HostsWorld world(hosts);
    world.RunFor(seconds(10));
    world.AskFor(kLimitWindow, 3);
    world.ForgetCounts();
    world.AskFor(kLimitWindow * kWindows, 3);
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(world.sent.Cost() >=
                 world.limit.Allowed() * kWindows * (1 - kRefusableInTrouble));
    }
  }
}

}  // namespace
}  // namespace cicadaloft
