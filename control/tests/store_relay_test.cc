#define BOOST_TEST_MODULE store_relay
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "hosts_simulation.h"

namespace cicadaloft {
namespace {

const std::string kTopic = "t";

/// Interval at which the holder's reads of the store return.
constexpr Duration kReadInterval = milliseconds(200);

/// What other hosts know is at most as old as one read, one interval of the
/// relays and the messages on their way.
constexpr Duration kMaxAge =
    kReadInterval + kDefaultRelayInterval + milliseconds(100);

/// Reads one record after the other at the holder.
/// @return the offset after the last one.
LogOffset ReadFor(HostsSimulation& simulation, Duration time, LogOffset from) {
  const TimePoint end = simulation.Now() + time;
  LogOffset next = from;
  while (simulation.Now() < end) {
    simulation.Feed(simulation.Holder(),
                    StoreRead{.topic = kTopic,
                              .from = next,
                              .records = {"record"},
                              .sent_at = simulation.Now()});
    next = next.Next();
    simulation.RunFor(kReadInterval);
  }
  return next;
}

// Each host would otherwise read the whole store by itself.
BOOST_AUTO_TEST_CASE(OneHostsReadsReachAllHostsInTime) {
  for (const std::size_t hosts : {6, 30, 76, 195, 360}) {
    HostsSimulation simulation(hosts);
    simulation.RunFor(seconds(10));
    const LogOffset end = ReadFor(simulation, seconds(5), LogOffset(7));
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      for (const SimulatedHost* host : simulation.Followers()) {
        BOOST_REQUIRE(host->relayed.contains(kTopic));
        const RelayReceived& newest = host->relayed.at(kTopic);
        BOOST_TEST((newest.complete_at <= simulation.Now()));
        BOOST_TEST((newest.complete_at >= simulation.Now() - kMaxAge));
        BOOST_TEST(newest.topic.End().value() + 4 >= end.value());
      }
    }
  }
}

// Guards against hosts that take old knowledge for new while the holder can't
// read the store.
BOOST_AUTO_TEST_CASE(KnowledgeAgesWhileTheHolderCanNotRead) {
  HostsSimulation simulation(30);
  simulation.RunFor(seconds(10));
  ReadFor(simulation, seconds(2), LogOffset(0));
  const TimePoint last_read = simulation.Now();
  simulation.RunFor(seconds(3));
  for (const SimulatedHost* host : simulation.Followers()) {
    BOOST_TEST((host->relayed.at(kTopic).complete_at <= last_read));
  }
}

BOOST_AUTO_TEST_CASE(NextHolderRelaysAfterACrash) {
  for (const std::size_t hosts : {6, 76, 360}) {
    HostsSimulation simulation(hosts);
    simulation.RunFor(seconds(10));
    const LogOffset end = ReadFor(simulation, seconds(2), LogOffset(0));
    simulation.CrashHolder();
    simulation.RunFor(seconds(5));
    ReadFor(simulation, seconds(2), end);
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      for (const SimulatedHost* host : simulation.Followers()) {
        BOOST_TEST((host->relayed.at(kTopic).complete_at >=
                    simulation.Now() - kMaxAge));
      }
    }
  }
}

// Guards against requests to a leaving target from hosts that have not seen its
// answer, also from those that start later.
BOOST_AUTO_TEST_CASE(AllHostsLearnOfALeavingTargetWithinASecond) {
  for (const std::size_t hosts : {6, 76, 360}) {
    HostsSimulation simulation(hosts);
    simulation.RunFor(seconds(10));
    simulation.Feed(HostId("h" + std::to_string(hosts / 2)),
                    TargetLeavingReport{.target = TargetId("t"),
                                        .instance = TargetInstance(1)});
    simulation.RunFor(seconds(1));
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      const auto followers = simulation.Followers();
      BOOST_TEST(
          std::ranges::all_of(followers, &SimulatedHost::sees_draining_target));
    }
    simulation.RestartAll(/*keeps_holder=*/true);
    simulation.RunFor(seconds(3));
    BOOST_TEST_CONTEXT(hosts << " hosts, restarted") {
      const auto followers = simulation.Followers();
      BOOST_TEST(
          std::ranges::all_of(followers, &SimulatedHost::sees_draining_target));
    }
  }
}

}  // namespace
}  // namespace cicadaloft
