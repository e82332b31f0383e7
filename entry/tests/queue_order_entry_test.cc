#define BOOST_TEST_MODULE queue_order_entry
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "overload_simulation.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An entry with one target that accepts three requests.
class RankedEntry : public EntryFixture {
 public:
  RankedEntry() {
    this->targets = {MakeTarget("p1", "plain")};
    this->Feed(
        ConfigurationChanged{.configuration = MakeRankedConfiguration()});
    this->UpdateFleet();
    this->Feed(SharesChanged{.host_count = 1, .default_share = 1});
  }

  RequestId Send(const std::string& route,
                 Duration timeout,
                 bool is_batch = false) {
    const RequestId id("q" + std::to_string(++this->sent));
    this->Feed(RequestArrived{
        .request = id,
        .caller_request_id = id,
        .credential = "c0",
        .destination = ByHostAndPath{.host = "h", .path = "/" + route + "/x"},
        .timeout = timeout,
        .is_batch = is_batch});
    return id;
  }

  /// Ends the first attempts one after the other, until all were dispatched.
  /// @return the requests in the order of their dispatch.
  std::vector<RequestId> ServeAll() {
    for (std::size_t i = 0; i < this->EffectsOf<Dispatch>().size(); ++i) {
      this->EndAttempt(this->EffectsOf<Dispatch>()[i],
                       AttemptOutcome::kCompleted, 200);
    }
    std::vector<RequestId> served;
    std::ranges::transform(this->EffectsOf<Dispatch>(),
                           std::back_inserter(served), &Dispatch::request);
    return served;
  }

  int sent = 0;
};

// Guards against streams with a long objective that are preempted in the middle
// for requests that could have waited, or for a lower rank.
BOOST_AUTO_TEST_CASE(RanksThatCanWaitGetTheSameUrgencyAtTargets) {
  RankedEntry entry;
  entry.Send("urgent", seconds(4));
  entry.Send("stream", seconds(20));
  entry.Send("note", seconds(10));
  const auto dispatches = entry.EffectsOf<Dispatch>();
  BOOST_REQUIRE(dispatches.size() == 3);
  for (const Dispatch& dispatch : dispatches) {
    BOOST_TEST(dispatch.priority == 0);
  }
}

// Work that its caller has marked as batch yields, at this host and at targets.
BOOST_AUTO_TEST_CASE(MarkedBatchWorkGoesLastInARankedService) {
  RankedEntry entry;
  for (int i = 0; i < 3; ++i) {
    entry.Send("note", seconds(10));
  }
  const RequestId batch = entry.Send("urgent", seconds(4), true);
  const RequestId note = entry.Send("note", seconds(10));
  const auto served = entry.ServeAll();
  BOOST_REQUIRE(served.size() == 5);
  BOOST_TEST((served[3] == note));
  BOOST_TEST((served[4] == batch));
  BOOST_TEST(entry.EffectsOf<Dispatch>()[4].priority == 7);
}

// Guards against callers that lose their place because they came back when they
// were told to. The entry, as any other host, has no record of the refusal.
BOOST_AUTO_TEST_CASE(CallerThatReturnsKeepsThePlaceOfItsFirstArrival) {
  RankedEntry entry;
  for (int i = 0; i < 3; ++i) {
    entry.Send("stream", seconds(20));
  }
  const RequestId fresh = entry.Send("stream", seconds(20));
  // It first arrived 1.5 s ago, and so has the least slack.
  const RequestId returned = entry.Send("stream", milliseconds(18'500));
  const auto served = entry.ServeAll();
  BOOST_REQUIRE(served.size() == 5);
  BOOST_TEST((served[3] == returned));
  BOOST_TEST((served[4] == fresh));
}

// Guards against requests that a change of the configuration leaves in a queue.
BOOST_AUTO_TEST_CASE(RequestsOfBothConfigurationsAreServed) {
  EntryFixture entry;
  entry.Start();
  for (int i = 0; i < 8; ++i) {
    entry.SendRequest("any");
  }
  Configuration ranked = MakeRankedConfiguration()->value();
  ranked.version = ConfigurationVersion(2);
  ranked.services.push_back({.id = ServiceId("engine")});
  ranked.customers[0].keys.emplace_back("key");
  entry.Feed(ConfigurationChanged{
      .configuration = std::make_shared<const ActiveConfiguration>(ranked)});
  for (int i = 0; i < 4; ++i) {
    entry.SendRequest("urgent");
  }
  for (std::size_t i = 0; i < entry.EffectsOf<Dispatch>().size(); ++i) {
    entry.EndAttempt(entry.EffectsOf<Dispatch>()[i], AttemptOutcome::kCompleted,
                     200);
  }
  BOOST_TEST(entry.EffectsOf<Dispatch>().size() == 12);
  BOOST_TEST(entry.state.WaitingRequestCount() == 0);
}

constexpr double kCapacity = OverloadSimulation::kCapacityPerSecond;

// Guards against higher ranks that wait behind a surge of work that could wait,
// and against lower ranks that starve under it.
BOOST_AUTO_TEST_CASE(SurgeOfDelayTolerantWork) {
  OverloadSimulation run({{.route = "urgent", .per_second = 0.3 * kCapacity},
                          {.route = "stream", .per_second = 2 * kCapacity},
                          {.route = "note", .per_second = 0.2 * kCapacity}});
  run.RunFor(seconds(60));
  BOOST_TEST(run.ResultOf(0).OnTimeFraction() > 0.95);
  BOOST_TEST(run.ResultOf(2).ServedFraction() >=
             0.25 * run.Total().ServedFraction());
}

// Guards against a customer that takes the capacity of others of its rank.
BOOST_AUTO_TEST_CASE(OneCustomerAtSevenTimesItsUsualLoad) {
  const double usual = 0.2 * kCapacity;
  OverloadSimulation run(
      {{.route = "stream", .customer = "c0", .per_second = 7 * usual},
       {.route = "stream", .customer = "c1", .per_second = usual},
       {.route = "stream", .customer = "c2", .per_second = usual},
       {.route = "stream", .customer = "c3", .per_second = usual}});
  run.RunFor(seconds(60));
  for (const std::size_t other : {1, 2, 3}) {
    BOOST_TEST(run.ResultOf(other).OnTimeFraction() > 0.95);
  }
}

// Guards against callers that overtake those that wait as told by coming back
// at once.
BOOST_AUTO_TEST_CASE(CallersThatRetryAtOnce) {
  OverloadSimulation run(
      {{.route = "stream", .customer = "c0", .per_second = kCapacity},
       {.route = "stream",
        .customer = "c0",
        .per_second = kCapacity,
        .behaviour = CallerBehaviour::kRetriesAtOnce}});
  run.RunFor(seconds(120));
  BOOST_TEST(run.ResultOf(0).ServedFraction() >=
             0.95 * run.ResultOf(1).ServedFraction());
}

// Guards against a first rank that counts as batch since it may wait 1.5 s.
BOOST_AUTO_TEST_CASE(RankZeroKindWithALongObjective) {
  OverloadSimulation run({{.route = "urgent", .per_second = 0.5 * kCapacity},
                          {.route = "note", .per_second = 2 * kCapacity}});
  run.RunFor(seconds(60));
  BOOST_TEST(run.ResultOf(0).OnTimeFraction() > 0.95);
}

// Guards against a last rank that goes first since it may not wait, and against
// one that gets nothing.
BOOST_AUTO_TEST_CASE(RankTwoKindWithAShortObjective) {
  OverloadSimulation run({{.route = "urgent", .per_second = 0.6 * kCapacity},
                          {.route = "stream", .per_second = 0.6 * kCapacity},
                          {.route = "note", .per_second = 0.6 * kCapacity}});
  run.RunFor(seconds(60));
  const double served = run.Total().ServedFraction();
  BOOST_TEST(run.ResultOf(0).OnTimeFraction() > 0.9);
  BOOST_TEST(run.ResultOf(1).ServedFraction() >
             run.ResultOf(2).ServedFraction());
  BOOST_TEST(run.ResultOf(2).ServedFraction() >= 0.25 * served);
}

}  // namespace
}  // namespace cicadaloft
