#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "cicadaloft/admission/fair_queue.h"
#include "cicadaloft/admission/key_cache.h"
#include "cicadaloft/admission/token_asks.h"
#include "cicadaloft/admission/token_bucket.h"
#include "cicadaloft/core/sha256.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WaitingShare ShareOf(const std::string& customer, double weight, double cost) {
  return WaitingShare{
      .customer = CustomerId(customer), .weight = weight, .cost = cost};
}

BOOST_AUTO_TEST_CASE(WorkIsSharedByWeightWhateverTheCosts) {
  FairLane<std::string> lane;
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> cost(100, 9000);
  std::map<int, double> costs;
  for (int i = 0; i < 3000; ++i) {
    costs[i] = cost(random) * (i % 2 == 0 ? 3 : 1);
    lane.Push(ShareOf(i % 2 == 0 ? "a" : "b", i % 2 == 0 ? 1 : 2, costs[i]), i,
              std::to_string(i));
  }
  std::map<bool, double> served;
  for (int i = 0; i < 600; ++i) {
    const int item = std::stoi(*lane.Pop());
    served[item % 2 == 0] += costs[item];
  }
  BOOST_TEST(served[false] / served[true] > 1.8);
  BOOST_TEST(served[false] / served[true] < 2.2);
}

BOOST_AUTO_TEST_CASE(ACustomersItemsKeepTheirOrder) {
  FairLane<int> lane;
  lane.Push(ShareOf("a", 1, 50000), 2, 2);
  lane.Push(ShareOf("a", 1, 1), 1, 1);
  BOOST_TEST(*lane.Pop() == 1);
  BOOST_TEST(*lane.Pop() == 2);
  BOOST_TEST(!lane.Pop().has_value());
}

BOOST_AUTO_TEST_CASE(BatchYieldsButIsNotStarved) {
  FairQueue<bool> queue;
  for (int i = 0; i < 400; ++i) {
    queue.Push(false, ShareOf("a", 1, 1), i, false);
    queue.Push(true, ShareOf("b", 1, 1), i, true);
  }
  int batch = 0;
  for (int i = 0; i < 200; ++i) {
    batch += *queue.Pop() ? 1 : 0;
  }
  BOOST_TEST(batch == 10);
}

BOOST_AUTO_TEST_CASE(ARemovedItemIsNotServed) {
  FairQueue<int> queue;
  queue.Push(false, ShareOf("a", 1, 1), 1, 1);
  BOOST_TEST(queue.Remove(false, CustomerId("a"), 1));
  BOOST_TEST(!queue.Remove(false, CustomerId("a"), 1));
  BOOST_TEST(queue.size() == 0);
}

BOOST_AUTO_TEST_CASE(ABucketStartsEmptyAndStopsAtItsCapacity) {
  TokenBucket bucket;
  TimePoint now(seconds(10));
  bucket.SetShare(10, 5, now);
  BOOST_TEST(!bucket.TryTake(now));
  now += milliseconds(100);
  BOOST_TEST(bucket.TryTake(now));
  BOOST_TEST(!bucket.TryTake(now));
  now += seconds(60);
  BOOST_TEST(bucket.Available(now) == 5);
}

BOOST_AUTO_TEST_CASE(ALargerShareGivesNothingAtOnceAndASmallerOneClips) {
  TokenBucket bucket;
  TimePoint now(seconds(10));
  bucket.SetShare(10, 5, now);
  now += seconds(60);
  bucket.SetShare(10, 50, now);
  BOOST_TEST(bucket.Available(now) == 5);
  bucket.SetShare(10, 2, now);
  BOOST_TEST(bucket.Available(now) == 2);
}

BOOST_AUTO_TEST_CASE(LentTokensCountInTheLendersStockForTheLoansTerm) {
  TokenBucket bucket;
  TimePoint now(seconds(10));
  bucket.SetShare(1000, 5, now);
  now += seconds(1);
  BOOST_TEST(bucket.Lend(3, 0, now) == 3);
  now += kLoanTerm - milliseconds(1);
  BOOST_TEST(bucket.Available(now) == 2);
  now += milliseconds(100);
  BOOST_TEST(bucket.Available(now) == 5);
}

BOOST_AUTO_TEST_CASE(BorrowedTokensLapse) {
  TokenBucket bucket;
  TimePoint now(seconds(10));
  bucket.SetShare(0.001, 0.1, now);
  bucket.TakeLoan(2, now, now + milliseconds(5));
  BOOST_TEST(bucket.TryTake(now + milliseconds(5)));
  BOOST_TEST(!bucket.TryTake(now + kLoanTerm));
}

BOOST_AUTO_TEST_CASE(AHostHasOneOpenAskAndAnUnaskedLoanIsNotTaken) {
  TokenAsks asks;
  const TimePoint now(seconds(10));
  const std::vector<HostId> peers = {HostId("h2"), HostId("h3")};
  BOOST_TEST(asks.Pick(peers, 2, now).size() == 2);
  BOOST_TEST(asks.Pick(peers, 2, now + seconds(1)).empty());
  BOOST_TEST(asks.OnAnswer(HostId("h2"), 1, now + seconds(1)).has_value());
  BOOST_TEST(!asks.OnAnswer(HostId("h2"), 1, now + seconds(1)).has_value());
  BOOST_TEST(asks.Pick(peers, 2, now + seconds(2)).size() == 1);
}

BOOST_AUTO_TEST_CASE(AChangedKeyIsCheckedAnew) {
  KeyCache cache(2);
  const auto make = [](const std::string& secret) {
    return std::make_shared<const ApiKey>(
        ApiKey{.id = KeyId("k"),
               .customer = CustomerId("c"),
               .salt = "s",
               .secret_hash = Sha256Hex("s" + secret)});
  };
  const auto key = make("x");
  BOOST_TEST((cache.Check("k.x", key) == CustomerId("c")));
  BOOST_TEST((cache.Check("k.x", key) == CustomerId("c")));
  BOOST_TEST(!cache.Check("k.y", key).has_value());
  BOOST_TEST(!cache.Check("k.x", make("y")).has_value());
  BOOST_TEST(!cache.Check("k.x", nullptr).has_value());
}

}  // namespace
}  // namespace cicadaloft
