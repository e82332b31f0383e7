#define BOOST_TEST_MODULE queue_order
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

#include "cicadaloft/admission/large_size_threshold.h"
#include "cicadaloft/admission/rank_floors.h"
#include "cicadaloft/admission/request_queue.h"
#include "cicadaloft/admission/service_ranks.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;

/// All items are on time unless they say otherwise.
constexpr TimePoint kNow{};

Route MakeRoute(int priority, milliseconds objective) {
  return Route{.id = RouteId("r" + std::to_string(priority)),
               .priority = priority,
               .latency_objective = objective,
               .services = {{.service = ServiceId("s")}}};
}

Configuration MakeConfiguration(std::vector<Route> routes,
                                const std::vector<int>& customer_priorities) {
  Configuration configuration{.routes = std::move(routes),
                              .services = {{.id = ServiceId("s")}}};
  for (const int priority : customer_priorities) {
    configuration.customers.push_back(
        {.id = CustomerId(std::to_string(configuration.customers.size())),
         .priority = priority});
  }
  return configuration;
}

bool IsRanked(const Configuration& configuration) {
  return FindRankedServices(configuration).contains(ServiceId("s"));
}

int UrgencyOf(const Configuration& configuration, const Rank& rank) {
  return FindRankedServices(configuration).at(ServiceId("s")).UrgencyOf(rank);
}

RankedPlace MakePlace(int rank, int start_ms, std::uint64_t number) {
  return RankedPlace{.rank = {.route = rank},
                     .latest_start = TimePoint(milliseconds(start_ms)),
                     .number = number};
}

QueueAttributes AttributesOf(const std::string& customer, double cost = 1) {
  return QueueAttributes{.customer = CustomerId(customer), .cost = cost};
}

// Guards against a changed order in deployments that don't call for it.
BOOST_AUTO_TEST_CASE(ServiceWhoseRanksAgreeWithObjectivesIsNotRanked) {
  BOOST_TEST(!IsRanked(MakeConfiguration(
      {MakeRoute(0, milliseconds(500)), MakeRoute(1, milliseconds(500)),
       MakeRoute(2, milliseconds(5000))},
      {5, 5})));
  // A higher rank with a longer objective, but none that counts as batch.
  BOOST_TEST(!IsRanked(MakeConfiguration(
      {MakeRoute(0, milliseconds(900)), MakeRoute(1, milliseconds(500))},
      {5, 5})));
  BOOST_TEST(!IsRanked(MakeConfiguration(
      {MakeRoute(2, milliseconds(100)), MakeRoute(2, milliseconds(5000))},
      {5})));
  BOOST_TEST(!IsRanked(MakeConfiguration({}, {0, 5})));
}

// Guards against a valuable kind that counts as batch because it may wait.
BOOST_AUTO_TEST_CASE(ServiceWhoseRanksContradictObjectivesIsRanked) {
  BOOST_TEST(IsRanked(MakeConfiguration(
      {MakeRoute(0, milliseconds(1500)), MakeRoute(1, milliseconds(3000)),
       MakeRoute(2, milliseconds(500))},
      {5, 5})));
}

// Guards against interactive requests that wait behind the delay-tolerant ones
// of a customer with a higher rank, where the routes' ranks agree with their
// objectives.
BOOST_AUTO_TEST_CASE(CustomersAloneDontMakeAServiceRanked) {
  const Route route = MakeRoute(1, milliseconds(500));
  BOOST_TEST(!IsRanked(MakeConfiguration({route}, {0, 5})));
  BOOST_TEST(!IsRanked(MakeConfiguration(
      {MakeRoute(0, milliseconds(500)), MakeRoute(2, milliseconds(5000))},
      {0, 5})));
  Route public_route = route;
  public_route.is_public = true;
  BOOST_TEST(!IsRanked(MakeConfiguration({public_route}, {0, 5})));
}

// Guards against streams that are preempted for requests that could have
// waited: both higher ranks have objectives of more than a second.
BOOST_AUTO_TEST_CASE(TolerantRequestsPreemptNoOther) {
  const Configuration configuration = MakeConfiguration(
      {MakeRoute(0, milliseconds(1500)), MakeRoute(1, milliseconds(3000)),
       MakeRoute(2, milliseconds(500))},
      {5});
  const int urgency = UrgencyOf(configuration, {.route = 0});
  BOOST_TEST(urgency == UrgencyOf(configuration, {.route = 1}));
  BOOST_TEST(urgency == UrgencyOf(configuration, {.route = 2}));
  BOOST_TEST(urgency < UrgencyOf(configuration, {.route = Rank::kBatch}));
}

// A rank that can't wait goes first at the target as well.
BOOST_AUTO_TEST_CASE(UrgentRankPreemptsLowerOnes) {
  const Configuration configuration = MakeConfiguration(
      {MakeRoute(0, milliseconds(300)), MakeRoute(1, milliseconds(3000)),
       MakeRoute(2, milliseconds(500))},
      {5});
  BOOST_TEST(UrgencyOf(configuration, {.route = 0}) == 0);
  BOOST_TEST(UrgencyOf(configuration, {.route = 1}) == 1);
  BOOST_TEST(UrgencyOf(configuration, {.route = 2}) == 1);
}

BOOST_AUTO_TEST_CASE(CustomersRankGoesBeforeTheRoutes) {
  const Configuration configuration = MakeConfiguration(
      {MakeRoute(0, milliseconds(300)), MakeRoute(1, milliseconds(3000)),
       MakeRoute(2, milliseconds(500))},
      {1, 5});
  BOOST_TEST((Rank{.customer = 1, .route = 2} < Rank{.customer = 5}));
  BOOST_TEST(UrgencyOf(configuration, {.customer = 1, .route = 0}) <
             UrgencyOf(configuration, {.customer = 5, .route = 0}));
}

BOOST_AUTO_TEST_CASE(QueueServesByRankThenBySlack) {
  RequestQueue<int> queue;
  const RankFloors floors;
  queue.Push(MakePlace(2, 100, 1), AttributesOf("a"), 1);
  queue.Push(MakePlace(0, 900, 2), AttributesOf("a"), 2);
  queue.Push(MakePlace(0, 300, 3), AttributesOf("a"), 3);
  queue.Push(MakePlace(1, 200, 4), AttributesOf("b"), 4);
  BOOST_TEST(*queue.Oldest() == 3);
  for (const int expected : {3, 2, 4, 1}) {
    BOOST_TEST(*queue.Pop(floors, kNow) == expected);
  }
  BOOST_TEST(!queue.Pop(floors, kNow).has_value());
}

// Guards against an overload in which all requests are served late, since the
// late ones go first.
BOOST_AUTO_TEST_CASE(ItemsThatCanBeOnTimeGoBeforeLateOnes) {
  RequestQueue<int> queue;
  const RankFloors floors;
  const TimePoint now(milliseconds(500));
  for (const int start_ms : {300, 100, 700, 600}) {
    queue.Push(MakePlace(0, start_ms, start_ms), AttributesOf("a"), start_ms);
  }
  for (const int expected : {600, 700, 100, 300}) {
    BOOST_TEST(*queue.Pop(floors, now) == expected);
  }
}

BOOST_AUTO_TEST_CASE(RemovedRankedItemIsNotServed) {
  RequestQueue<int> queue;
  RankedPlace place = MakePlace(0, 100, 1);
  place.is_large = true;
  queue.Push(place, AttributesOf("a"), 1);
  BOOST_TEST(queue.Remove(place, CustomerId("a")));
  BOOST_TEST(!queue.Remove(place, CustomerId("a")));
  BOOST_TEST(queue.size() == 0);
  BOOST_TEST(queue.ranked_items().Contenders().empty());
}

// Guards against items that are forgotten when the configuration changes the
// order of a service in which requests wait.
BOOST_AUTO_TEST_CASE(ItemsOfBothOrdersAreServedInTurn) {
  RequestQueue<int> queue;
  const RankFloors floors;
  for (int i = 0; i < 4; ++i) {
    queue.Push(FairPlace{.number = static_cast<std::uint64_t>(i)},
               AttributesOf("a"), i);
    queue.Push(MakePlace(0, i, i), AttributesOf("a"), 10 + i);
  }
  int ranked = 0;
  for (int i = 0; i < 4; ++i) {
    ranked += *queue.Pop(floors, kNow) >= 10 ? 1 : 0;
  }
  BOOST_TEST(ranked == 2);
  while (queue.Pop(floors, kNow)) {
  }
  BOOST_TEST(queue.size() == 0);
}

// Guards against large requests that starve because small ones of other
// customers always cost less.
BOOST_AUTO_TEST_CASE(LargestTenthIsServedHalfAsOftenAsTheKind) {
  RequestQueue<bool> queue;
  RankFloors floors;
  std::uint64_t number = 0;
  int served = 0;
  int large_served = 0;
  for (int step = 0; step < 2000; ++step) {
    // Twice as many arrive as are served. All large ones are one customer's.
    for (int i = 0; i < 2; ++i) {
      RankedPlace place = MakePlace(0, step, ++number);
      place.is_large = number % 10 == 0;
      floors.OnArrival(place.rank);
      queue.Push(place,
                 AttributesOf(place.is_large ? "large" : "small",
                              place.is_large ? 100'000 : 1),
                 place.is_large);
    }
    const auto contenders = queue.ranked_items().Contenders();
    const bool is_large = *queue.Pop(floors, kNow);
    RankedPlace place = MakePlace(0, 0, 0);
    place.is_large = is_large;
    floors.OnServed(contenders, place);
    ++served;
    large_served += is_large ? 1 : 0;
  }
  const double share = static_cast<double>(large_served) / served;
  BOOST_TEST(share >= 0.05);
}

BOOST_AUTO_TEST_CASE(ThresholdFindsTheLargestTenth) {
  LargeSizeThreshold threshold;
  int large = 0;
  for (int i = 0; i < 10'000; ++i) {
    // Uniform over 1 to 1,000.
    const bool is_large = threshold.Add(1 + (i * 617) % 1000);
    large += is_large && i >= 5000 ? 1 : 0;
  }
  // The margin above the threshold leaves out some of the tenth.
  BOOST_TEST(large > 50);
  BOOST_TEST(large < 600);
}

BOOST_AUTO_TEST_CASE(ThresholdFindsNoLargeOnesAmongEqualOrAbsurdSizes) {
  LargeSizeThreshold threshold;
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST(!threshold.Add(700));
  }
  threshold.Add(std::numeric_limits<double>::quiet_NaN());
  threshold.Add(-1);
  BOOST_TEST(threshold.Add(std::numeric_limits<double>::infinity()));
  BOOST_TEST(!threshold.Add(700));
}

}  // namespace
}  // namespace cicadaloft
