#define BOOST_TEST_MODULE limits
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "hosts_world.h"

namespace cicadaloft {
namespace {

/// Of what is asked inside a limit, so much may be refused when all is well.
constexpr double kRefusable = 0.001;

/// Hosts of the smallest and of the grown sites, and of the one to come.
constexpr std::size_t kHostCounts[] = {6, 76, 360};

/// From the hosts' start to the first request.
constexpr Duration kLead = seconds(10);

double PartRefused(const HostsWorld& world) {
  return static_cast<double>(world.refused) / static_cast<double>(world.asked);
}

// Guards against refusals of customers that are far below their limits: each
// host's part of a limit was less than a few requests.
BOOST_AUTO_TEST_CASE(CustomersBelowTheirLimitAreServedByAnyNumberOfHosts) {
  for (const std::size_t hosts : kHostCounts) {
    HostsWorld world(hosts);
    world.RunFor(kLead);
    world.AskFor(seconds(30), 0.5);
    BOOST_TEST_CONTEXT(hosts << " hosts, " << world.refused << " of "
                             << world.asked << " refused") {
      BOOST_TEST(PartRefused(world) <= kRefusable);
    }
  }
}

BOOST_AUTO_TEST_CASE(LimitsAreKeptAndUsedByAnyNumberOfHosts) {
  for (const std::size_t hosts : kHostCounts) {
    HostsWorld world(hosts);
    world.RunFor(kLead);
    world.AskFor(kLimitWindow, 3);
    world.ForgetCounts();
    world.AskFor(seconds(24), 3);
    const double allowed = world.limit.Allowed();
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(world.sent.MostCostInWindow() <=
                 allowed * (1 + world.limit.overshoot) + world.limit.slack);
      // Three windows; what is refused below the limit is lost.
      BOOST_TEST(world.sent.Cost() >= allowed * 3 * 0.9);
    }
  }
}

// Guards against refusals of all limited customers while the log is away: hosts
// went on asking a holder that had lost its right and gave nothing.
BOOST_AUTO_TEST_CASE(CustomersAreServedWhileNobodyReachesTheLog) {
  for (const std::size_t hosts : kHostCounts) {
    HostsWorld world(hosts);
    world.RunFor(kLead);
    world.AskFor(seconds(5), 0.5);
    world.CutAllFromLog();
    world.ForgetCounts();
    world.AskFor(kShareGrantTtl, 0.5);
    BOOST_TEST_CONTEXT(hosts << " hosts, " << world.refused << " of "
                             << world.asked << " refused") {
      BOOST_TEST(PartRefused(world) <= kRefusable);
    }
  }
}

// The holder is replaced while it still serves its links.
BOOST_AUTO_TEST_CASE(LimitsAreKeptAndUsedWhenTheHolderIsCutFromTheLog) {
  for (const std::size_t hosts : kHostCounts) {
    HostsWorld world(hosts);
    world.RunFor(kLead);
    world.AskFor(kLimitWindow, 3);
    world.CutHolderFromLog();
    world.AskFor(seconds(24), 3);
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      BOOST_TEST(world.sent.MostCostInWindow() <=
                 world.limit.Allowed() * (1 + world.limit.overshoot) +
                     world.limit.slack);
    }
  }
}

BOOST_AUTO_TEST_CASE(LimitsAreKeptWhenTheHolderDies) {
  for (const std::size_t hosts : kHostCounts) {
    for (const int second : {1, 4, 9}) {
      HostsWorld world(hosts);
      world.RunFor(kLead);
      world.AskFor(seconds(second), 3);
      world.KillHolder();
      world.AskFor(seconds(20), 3);
      BOOST_TEST_CONTEXT(hosts << " hosts, killed after " << second << " s") {
        BOOST_TEST(world.sent.MostCostInWindow() <=
                   world.limit.Allowed() * (1 + world.limit.overshoot) +
                       world.limit.slack);
      }
    }
  }
}

}  // namespace
}  // namespace cicadaloft
