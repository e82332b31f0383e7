#define BOOST_TEST_MODULE queue_order_property
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/admission/rank_floors.h"
#include "cicadaloft/admission/ranked_queue.h"

namespace cicadaloft {
namespace {

struct Item {
  RankedPlace place;
  CustomerId customer;
};

RankedPlace DrawPlace(std::uint64_t number) {
  return RankedPlace{.rank = {.customer = *rc::gen::inRange(0, 2),
                              .route = *rc::gen::inRange(0, 3)},
                     .latest_start = TimePoint(
                         std::chrono::milliseconds(*rc::gen::inRange(0, 50))),
                     .number = number};
}

Item DrawItem(std::uint64_t number) {
  return Item{.place = DrawPlace(number),
              .customer = CustomerId(std::to_string(*rc::gen::inRange(0, 3)))};
}

// Guards against requests of one customer that overtake more urgent ones of the
// same customer and rank, and against lost or doubled items.
RC_BOOST_PROP(ItemsOfOneCustomerAndRankAreServedBySlack, ()) {
  RankedQueue<Item> queue;
  RankFloors floors;
  std::map<std::pair<Rank, CustomerId>, std::map<RankedPlace, bool>> waiting;
  std::size_t count = 0;
  const auto steps =
      *rc::gen::container<std::vector<bool>>(60, rc::gen::arbitrary<bool>());
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (steps[i]) {
      const Item item = DrawItem(i);
      floors.OnArrival(item.place.rank);
      queue.Push(item.place,
                 QueueAttributes{
                     .customer = item.customer,
                     .cost = static_cast<double>(*rc::gen::inRange(1, 3000))},
                 item);
      waiting[{item.place.rank, item.customer}][item.place] = true;
      ++count;
    } else if (const auto contenders = queue.Contenders();
               const auto item = queue.Pop(floors, TimePoint())) {
      auto& own = waiting[{item->place.rank, item->customer}];
      RC_ASSERT(!own.empty());
      RC_ASSERT(own.begin()->first == item->place);
      own.erase(own.begin());
      floors.OnServed(contenders, item->place);
      --count;
    }
    RC_ASSERT(queue.size() == count);
  }
}

struct Count {
  double arrived = 0;
  double served = 0;
};

// Guards against ranks that get nothing while higher ones have more work than
// there is capacity. Queues are short: they empty again and again, as with many
// models.
RC_BOOST_PROP(EachRankIsServedAQuarterAsOftenAsAll, ()) {
  const auto weights =
      *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 20));
  const int served_percent = *rc::gen::inRange(20, 95);
  const int seed = *rc::gen::inRange(1, 1'000'000);
  int sum = 0;
  for (const int weight : weights) {
    sum += weight;
  }
  RankedQueue<Item> queue;
  RankFloors floors;
  std::map<Rank, Count> counts;
  Count all;
  std::uint64_t random = static_cast<std::uint64_t>(seed);
  const auto next = [&random](int bound) {
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<int>((random >> 33U) % static_cast<unsigned>(bound));
  };
  for (std::uint64_t number = 1; number <= 4000; ++number) {
    int draw = next(sum);
    int rank = 0;
    while (draw >= weights[rank]) {
      draw -= weights[rank++];
    }
    const Item item{.place = {.rank = {.route = rank},
                              .latest_start = TimePoint(Duration(number)),
                              .number = number}};
    floors.OnArrival(item.place.rank);
    queue.Push(item.place, QueueAttributes{}, item);
    counts[item.place.rank].arrived += 1;
    all.arrived += 1;
    if (next(100) < served_percent) {
      const auto contenders = queue.Contenders();
      const auto served = queue.Pop(floors, TimePoint());
      floors.OnServed(contenders, served->place);
      counts[served->place.rank].served += 1;
      all.served += 1;
    }
  }
  for (const auto& [rank, count] : counts) {
    // The count of a rank that seldom arrives is a matter of chance.
    constexpr double kChance = 8;
    RC_ASSERT(count.served + kChance >=
              0.25 * count.arrived * all.served / all.arrived);
  }
}

}  // namespace
}  // namespace cicadaloft
