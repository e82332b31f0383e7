#define BOOST_TEST_MODULE entry_hosts
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "cluster_fixture.h"

namespace cicadaloft {
namespace {

constexpr double kRate = 20;
constexpr double kBurst = 10;

std::vector<Item> ItemsWithRate(double rate, double burst) {
  return {MakeDataCentre("dc"),
          Customer{.id = CustomerId("c"),
                   .requests_per_second = rate,
                   .burst_requests = burst},
          MakeKey(),
          BackEnd{.id = BackEndId("engines"), .initial_concurrency = 2},
          MakeTarget("e1", "engines"),
          MakeTarget("e2", "engines"),
          MakeModel("m")};
}

/// @return how far the requests sent in any window exceed rate and burst.
double MostAboveRate(const std::vector<TimePoint>& sent) {
  double most = -kBurst;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    for (std::size_t j = i; j < sent.size(); ++j) {
      const double window =
          std::chrono::duration<double>(sent[j] - sent[i]).count();
      most = std::max(
          most, static_cast<double>(j - i + 1) - (kBurst + kRate * window));
    }
  }
  return most;
}

/// Offers requests at a rate; a part of them to the first host only.
void Offer(Cluster& cluster,
           double per_second,
           double to_first,
           Duration time,
           Duration timeout) {
  double owed = 0;
  const TimePoint end = cluster.now + time;
  while (cluster.now < end) {
    owed += per_second * 0.01;
    for (; owed >= 1; owed -= 1) {
      const std::string id = "r" + std::to_string(cluster.arrived);
      const auto count = static_cast<double>(cluster.hosts.size());
      const std::size_t host =
          cluster.Roll() < to_first
              ? 0
              : static_cast<std::size_t>(cluster.Roll() * count);
      const RequestArrived request = ModelRequest(id);
      cluster.Arrive(cluster.hosts[host],
                     RequestArrived{.request = request.request,
                                    .credential = request.credential,
                                    .call = request.call,
                                    .timeout = timeout,
                                    .fingerprint = request.fingerprint});
    }
    cluster.Pass(kEntryTickInterval);
  }
}

BOOST_AUTO_TEST_CASE(NoLossMakesMoreOfARate) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    Cluster cluster(
        5, seed,
        ClusterFaults{.message_loss = 0.1 * static_cast<double>(seed)});
    cluster.SetUp(ItemsWithRate(kRate, kBurst));
    cluster.Pass(seconds(3));
    cluster.run_time = milliseconds(5);
    Offer(cluster, 200, 0.5, seconds(10), milliseconds(300));
    cluster.Pass(seconds(2));
    BOOST_TEST_MESSAGE("seed " << seed << ": sent " << cluster.first_sent.size()
                               << ", above "
                               << MostAboveRate(cluster.first_sent));
    BOOST_TEST(MostAboveRate(cluster.first_sent) <= 1e-6);
  }
}

BOOST_AUTO_TEST_CASE(OneHotHostMayUseTheWholeRate) {
  Cluster cluster(5, 1, ClusterFaults{});
  cluster.SetUp(ItemsWithRate(kRate, kBurst));
  cluster.Pass(seconds(3));
  Offer(cluster, kRate * 0.9, 1, seconds(20), seconds(1));
  cluster.Pass(seconds(3));
  BOOST_TEST_MESSAGE("refused " << cluster.refusals[ErrorKind::kRateLimited]
                                << " of " << cluster.arrived << ", messages "
                                << cluster.messages);
  BOOST_TEST(cluster.refusals[ErrorKind::kRateLimited] <= cluster.arrived / 50);
}

BOOST_AUTO_TEST_CASE(ABurstOfLessThanOneAHostIsUsable) {
  Cluster cluster(7, 1, ClusterFaults{});
  cluster.SetUp(ItemsWithRate(2, 2));
  cluster.Pass(seconds(3));
  Offer(cluster, 1.5, 0, seconds(20), seconds(3));
  cluster.Pass(seconds(5));
  BOOST_TEST_MESSAGE("refused " << cluster.refusals[ErrorKind::kRateLimited]
                                << " of " << cluster.arrived << ", messages "
                                << cluster.messages);
  BOOST_TEST(cluster.completed >= cluster.arrived * 9 / 10);
}

BOOST_AUTO_TEST_CASE(EveryRequestHasOneAnswerAndNoCapIsExceeded) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    Cluster cluster(5, seed,
                    ClusterFaults{.message_loss = 0.05,
                                  .died_unstarted = 0.02,
                                  .not_sent = 0.03,
                                  .refused = 0.05});
    cluster.SetUp(ItemsWithRate(400, 400));
    cluster.Pass(seconds(2));
    Offer(cluster, 150, 0.3, seconds(10), seconds(2));
    cluster.Pass(seconds(10));
    BOOST_TEST_MESSAGE("seed " << seed << ": completed " << cluster.completed
                               << " of " << cluster.arrived << ", messages "
                               << cluster.messages);
    for (const auto& [kind, count] : cluster.refusals) {
      BOOST_TEST_MESSAGE("  " << AnswerFor(kind).token << " " << count);
    }
    BOOST_TEST(cluster.answers.size() == cluster.arrived);
    BOOST_TEST(std::ranges::all_of(
        cluster.answers, [](const auto& a) { return a.second == 1; }));
    for (const auto& [target, most] : cluster.most_running) {
      BOOST_TEST(most <= 4);
    }
  }
}

BOOST_AUTO_TEST_CASE(FreshTargetsGetNoMoreThanTheyBearTogether) {
  Cluster cluster(5, 1, ClusterFaults{});
  cluster.SetUp(ItemsWithRate(400, 400));
  cluster.Pass(seconds(2));
  cluster.run_time = seconds(3);
  Offer(cluster, 200, 0, seconds(2), seconds(9));
  for (const auto& [target, most] : cluster.most_running) {
    BOOST_TEST(most == 2);
  }
}

}  // namespace
}  // namespace cicadaloft
