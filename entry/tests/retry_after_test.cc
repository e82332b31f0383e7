#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "cicadaloft/admission/queue_progress.h"
#include "overload_simulation.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCapacity = OverloadSimulation::kCapacityPerSecond;

BOOST_AUTO_TEST_SUITE(retry_after)

// Guards against callers that are told to return long before there is capacity:
// each return costs them and the host another request.
BOOST_AUTO_TEST_CASE(CallersReturnSeldomUnderLastingOverload) {
  OverloadSimulation run({{.route = "note", .per_second = 2 * kCapacity}});
  run.RunFor(seconds(60));
  const LoadResult& result = run.ResultOf(0);
  BOOST_TEST(result.refusals < 18 * (result.arrived - result.served));
  BOOST_TEST(result.served >= 0.98 * 60 * kCapacity);
}

// Guards against a Retry-After that callers don't honour.
BOOST_AUTO_TEST_CASE(RetryAfterIsAtMostAThirdOfTheTimeLeft) {
  OverloadSimulation run({{.route = "note", .per_second = 2 * kCapacity},
                          {.route = "stream", .per_second = kCapacity}});
  run.RunFor(seconds(60));
  BOOST_TEST(run.Total().refusals > 1000);
  BOOST_TEST(run.LongestRetryAfter() <= 1.0 / 3 + 1e-3);
}

// Guards against callers that get ahead of others by coming back at once.
BOOST_AUTO_TEST_CASE(ReturningAtOnceGainsNothing) {
  for (const std::string route : {"stream", "note"}) {
    for (const double wave : {0.0, 0.9}) {
      OverloadSimulation run(
          {{.route = route, .per_second = 0.8 * kCapacity, .wave = wave},
           {.route = route,
            .per_second = 0.8 * kCapacity,
            .behaviour = CallerBehaviour::kRetriesAtOnce,
            .wave = wave}});
      run.RunFor(seconds(120));
      BOOST_TEST_CONTEXT(route << ", wave " << wave) {
        BOOST_TEST(run.ResultOf(0).ServedFraction() >=
                   0.95 * run.ResultOf(1).ServedFraction());
        BOOST_TEST(run.ResultOf(0).OnTimeFraction() >=
                   0.95 * run.ResultOf(1).OnTimeFraction());
      }
    }
  }
}

// Guards against refusals whose callers all return at the same moment.
BOOST_AUTO_TEST_CASE(ReturnsAreSpreadInOrderOfArrival) {
  QueueProgress progress;
  const QueueLine line{.customer = CustomerId("c")};
  progress.Update({line}, kStart);
  TimePoint now = kStart;
  for (; now < kStart + seconds(4); now += milliseconds(100)) {
    progress.OnServed(line, now);
  }
  constexpr std::size_t kCallers = 10;
  std::vector<Duration> returns;
  returns.reserve(kCallers);
  for (std::size_t i = 0; i < kCallers; ++i) {
    // Each refused item leaves the line.
    returns.push_back(
        *progress.ReserveReturn({.line = line, .ahead = 4}, seconds(60), now));
  }
  BOOST_TEST((returns.front() >= milliseconds(400)));
  BOOST_TEST((returns.back() >= milliseconds(1300)));
  // None at the same time as another.
  BOOST_TEST((std::ranges::adjacent_find(
                  returns, std::ranges::greater_equal()) == returns.end()));
  // A caller that can't wait for its turn takes nobody else's.
  BOOST_TEST(
      (*progress.ReserveReturn({.line = line, .ahead = 4}, milliseconds(100),
                               now) == milliseconds(100)));
}

// Guards against a change for deployments that don't call for it.
BOOST_AUTO_TEST_CASE(RetryAfterOfAServiceWithoutRanksIsUnchanged) {
  EntryFixture entry;
  entry.Start();
  for (int i = 0; i < 7; ++i) {
    entry.SendRequest("any");
  }
  entry.RunFor(seconds(2));
  const auto refusals = entry.EffectsOf<Refuse>();
  BOOST_REQUIRE(refusals.size() == 1);
  BOOST_TEST((refusals[0].retry_after == milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
