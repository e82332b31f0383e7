#define BOOST_TEST_MODULE cold_target_flood
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "hosts_world.h"

namespace cicadaloft {
namespace {

/// Hosts of the smallest and of the grown sites, and of the one to come.
constexpr std::size_t kHostCounts[] = {6, 76, 360};

/// A target is cold for so long after its start.
constexpr Duration kCold = seconds(3);

/// No limit is reached, so that the target's rate alone binds.
constexpr LimitOfAll kAmpleLimit{.rate_per_second = 4'000'000,
                                 .burst = 4'000'000};

/// Some 570 requests a second, far beyond what a cold target tolerates.
constexpr double kFlood = 0.2;

/// A successor is there by then.
constexpr Duration kTakeover = seconds(5);

void CheckNoFlood(const HostsWorld& world, std::size_t hosts) {
  BOOST_TEST_CONTEXT(hosts << " hosts") {
    BOOST_TEST(static_cast<double>(world.sent.MostInOneSecond()) <=
               world.cold.MostInOneSecond());
  }
}

// Guards against floods of a cold target: each host might send it one request
// at once, and as many do so as there are hosts.
BOOST_AUTO_TEST_CASE(AnyNumberOfHostsKeepAColdTargetsRate) {
  for (const std::size_t hosts : kHostCounts) {
    HostsWorld world(hosts, kAmpleLimit);
    world.RunFor(seconds(10));
    world.MakeCold(kCold);
    world.RunFor(milliseconds(50));
    world.AskFor(kCold, kFlood);
    CheckNoFlood(world, hosts);
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      // The rate is what a target is sure to bear, and is used.
      const std::chrono::duration<double> time = kCold;
      BOOST_TEST(static_cast<double>(world.sent.Count()) >=
                 world.cold.rate_per_second * time.count() * 0.9);
    }
  }
}

// Guards against floods by hosts that don't know yet how many they are.
BOOST_AUTO_TEST_CASE(HostsThatHaveJustStartedKeepAColdTargetsRate) {
  for (const std::size_t hosts : kHostCounts) {
    HostsWorld world(hosts, kAmpleLimit);
    world.RunFor(seconds(10));
    world.MakeCold(seconds(10));
    world.AskFor(seconds(1), kFlood);
    world.RestartAll();
    world.AskFor(seconds(8), kFlood);
    CheckNoFlood(world, hosts);
  }
}

// Guards against floods by hosts that reach nobody.
BOOST_AUTO_TEST_CASE(HostsWithoutLinksKeepAColdTargetsRate) {
  for (const std::size_t hosts : kHostCounts) {
    for (const double part : {0.5, 1.0}) {
      HostsWorld world(hosts, kAmpleLimit);
      world.RunFor(seconds(10));
      world.CutLinks(part);
      world.MakeCold(seconds(6));
      world.RunFor(milliseconds(50));
      world.AskFor(seconds(6), kFlood);
      CheckNoFlood(world, hosts);
    }
  }
}

// Guards against two holders that let a cold target have its rate twice.
BOOST_AUTO_TEST_CASE(ChangesOfTheHolderKeepAColdTargetsRate) {
  for (const std::size_t hosts : kHostCounts) {
    for (const bool is_cut : {false, true}) {
      HostsWorld world(hosts, kAmpleLimit);
      world.RunFor(seconds(10));
      world.MakeCold(seconds(20));
      world.RunFor(milliseconds(50));
      world.AskFor(seconds(1), kFlood);
      if (is_cut) {
        world.CutHolderFromLog();
      } else {
        world.KillHolder();
      }
      world.AskFor(kTakeover + seconds(3), kFlood);
      CheckNoFlood(world, hosts);
    }
  }
}

// Guards against floods of targets that an evacuation's end gives back: they
// may be cold, and the registry says so later than the operator does.
BOOST_AUTO_TEST_CASE(TargetsGivenBackAreNotFloodedBeforeTheRegistryTells) {
  for (const std::size_t hosts : kHostCounts) {
    HostsWorld world(hosts, kAmpleLimit);
    world.RunFor(seconds(10));
    world.Evacuate(true);
    world.RunFor(seconds(5));
    world.Evacuate(false);
    // A beat of 1.2 s, and 1 s between two readings of the registry.
    world.AskFor(milliseconds(2200), kFlood);
    world.MakeCold(kCold);
    world.AskFor(kCold, kFlood);
    CheckNoFlood(world, hosts);
  }
}

}  // namespace
}  // namespace cicadaloft
