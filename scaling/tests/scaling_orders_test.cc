#define BOOST_TEST_MODULE scaling_orders
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "simulated_scaling.h"

namespace cicadaloft {
namespace {

// Guards against orders on a guess: what few hosts report looks like little
// demand.
BOOST_AUTO_TEST_CASE(NothingIsOrderedBeforeHostsHaveReported) {
  for (const std::size_t hosts : kHostCounts) {
    SimulatedScaling simulation(hosts, 30);
    simulation.demand = [](Duration) { return 900; };
    simulation.reporting_fraction = 0.5;
    simulation.RunFor(seconds(90));
    BOOST_TEST(simulation.orders.empty());
  }
}

// Guards against a successor that orders nothing for a minute, since hosts were
// lost with its predecessor or with their data centre.
BOOST_AUTO_TEST_CASE(LostHostsAreNotWaitedFor) {
  for (const std::size_t hosts : kHostCounts) {
    SimulatedScaling simulation(hosts, 20);
    simulation.demand = [](Duration) { return 1200; };
    simulation.reporting_fraction = 0.67;
    simulation.linked_fraction = 0.67;
    simulation.RunFor(seconds(12));
    BOOST_TEST(!simulation.orders.empty());
  }
}

// Guards against ending targets when hosts are cut off from the holder.
BOOST_AUTO_TEST_CASE(NothingIsOrderedDownWhileHostsAreMissing) {
  SimulatedScaling simulation(30, 30);
  simulation.demand = [](Duration) { return 700; };
  simulation.RunFor(seconds(60));
  simulation.orders.clear();
  simulation.reporting_fraction = 0.3;
  simulation.RunFor(seconds(90));
  BOOST_TEST(simulation.orders.empty());
}

// Guards against a successor that takes targets that still boot for missing.
BOOST_AUTO_TEST_CASE(SuccessorWaitsForTargetsThatBoot) {
  SimulatedScaling simulation(88, 20);
  simulation.demand = [](Duration) { return 900; };
  simulation.RunFor(seconds(12));
  BOOST_REQUIRE(!simulation.orders.empty());
  const auto ordered = simulation.orders.back().call.count;
  simulation.orders.clear();
  simulation.Succeed(FencingToken(2));
  simulation.RunFor(seconds(8));
  BOOST_TEST(simulation.orders.empty());
  simulation.RunFor(seconds(10));
  BOOST_REQUIRE(!simulation.orders.empty());
  BOOST_TEST(simulation.orders.front().call.count > ordered);
  BOOST_TEST(simulation.orders.front().call.token.value() == 2U);
}

// Guards against orders without the lease.
BOOST_AUTO_TEST_CASE(NothingIsOrderedWithoutLease) {
  SimulatedScaling simulation(30, 20);
  simulation.demand = [](Duration) { return 900; };
  simulation.Feed(ScalingStopped{});
  simulation.RunFor(seconds(60));
  BOOST_TEST(simulation.orders.empty());
}

// Guards against a holder that begins again from nothing after a short loss of
// its lease.
BOOST_AUTO_TEST_CASE(SameHolderContinuesWithItsOrders) {
  SimulatedScaling simulation(30, 20);
  simulation.demand = [](Duration) { return 900; };
  simulation.RunFor(seconds(40));
  simulation.orders.clear();
  simulation.Feed(ScalingStopped{});
  simulation.Feed(
      ScalingStarted{.token = FencingToken(2), .is_state_current = true});
  simulation.RunFor(seconds(40));
  BOOST_TEST(simulation.orders.empty());
}

// Guards against a platform that is busy and is called all the time.
BOOST_AUTO_TEST_CASE(RefusedCallsAreRetriedLater) {
  for (const DutyCallOutcome outcome :
       {DutyCallOutcome::kRefused, DutyCallOutcome::kNotSent}) {
    SimulatedScaling simulation(30, 20);
    simulation.demand = [](Duration) { return 900; };
    simulation.answer = [=](const OrderTargetCount&) { return outcome; };
    simulation.RunFor(seconds(60));
    BOOST_TEST(simulation.orders.size() >= 9U);
    BOOST_TEST(simulation.orders.size() <= 27U);
    simulation.answer = [](const OrderTargetCount&) {
      return DutyCallOutcome::kAccepted;
    };
    simulation.RunFor(seconds(60));
    BOOST_TEST(simulation.Running(0) > 20U);
  }
}

// Guards against a second number while the first may be in force.
BOOST_AUTO_TEST_CASE(CallWithoutAnswerIsRepeatedWithItsNumber) {
  SimulatedScaling simulation(30, 20);
  simulation.demand = [](Duration) { return 900; };
  simulation.answer = [](const OrderTargetCount&) {
    return DutyCallOutcome::kNoAnswer;
  };
  simulation.RunFor(seconds(12));
  simulation.demand = [](Duration) { return 100; };
  simulation.RunFor(seconds(60));
  BOOST_TEST(simulation.orders.size() > 3U);
  BOOST_TEST(std::ranges::all_of(simulation.orders, [&](const auto& order) {
    return order.call.count == simulation.orders.front().call.count;
  }));
}

// Guards against a call that the platform has rejected and gets again.
BOOST_AUTO_TEST_CASE(RejectedNumberIsNotRepeated) {
  SimulatedScaling simulation(30, 20);
  simulation.demand = [](Duration) { return 900; };
  simulation.answer = [](const OrderTargetCount&) {
    return DutyCallOutcome::kRejected;
  };
  simulation.RunFor(seconds(120));
  std::set<std::pair<DataCentreId, std::uint32_t>> sent;
  for (const auto& order : simulation.orders) {
    BOOST_TEST(sent.emplace(order.call.data_centre, order.call.count).second);
  }
  BOOST_TEST(simulation.orders.size() >= 3U);
}

// Guards against the outcome of an earlier term's call that arrives late.
BOOST_AUTO_TEST_CASE(OutcomeOfEarlierTermIsIgnored) {
  SimulatedScaling simulation(6, 20);
  simulation.RunFor(seconds(1));
  simulation.Succeed(FencingToken(2));
  simulation.Feed(TargetCountOrderEnded{.call = {.service = kService,
                                                 .data_centre = ZoneId(0),
                                                 .count = 33,
                                                 .token = FencingToken(1)},
                                        .outcome = DutyCallOutcome::kAccepted});
  simulation.RunFor(seconds(1));
  BOOST_TEST(std::ranges::none_of(simulation.counts, [](const auto& count) {
    return count.ordered.has_value();
  }));
}

// Guards against orders that can't be traced.
BOOST_AUTO_TEST_CASE(EachOrderIsLoggedWithItsInputsAndOutcome) {
  SimulatedScaling simulation(6, 20);
  simulation.demand = [](Duration) { return 900; };
  simulation.RunFor(seconds(12));
  const auto count = [&](const char* event) {
    return static_cast<std::size_t>(
        std::ranges::count(simulation.records, event, &DecisionRecord::event));
  };
  BOOST_TEST(!simulation.orders.empty());
  BOOST_TEST(count("scaling.order") == simulation.orders.size());
  BOOST_TEST(count("scaling.order_ended") == simulation.orders.size());
  BOOST_TEST(simulation.counts.size() == 3U);
  BOOST_TEST(simulation.counts.front().ordered.has_value());
}

}  // namespace
}  // namespace cicadaloft
