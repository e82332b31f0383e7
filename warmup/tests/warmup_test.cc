#define BOOST_TEST_MODULE warmup
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>

#include "cicadaloft/warmup/warmup_ledger.h"
#include "cicadaloft/warmup/warmup_permits.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(1000)};
constexpr double kRate = 10;
const TargetId kTarget("t");

WarmupRequest MakeRequest(const char* host, std::uint32_t count) {
  return WarmupRequest{.host = HostId(host),
                       .target = kTarget,
                       .request_number = 1,
                       .count = count};
}

WarmupLedger MakeLedger() {
  WarmupLedger ledger;
  ledger.BeginTerm(kNow - seconds(1));
  return ledger;
}

std::uint32_t Sum(const std::vector<HostWarmupGrant>& grants) {
  std::uint32_t sum = 0;
  for (const HostWarmupGrant& grant : grants) {
    sum += grant.grant.count;
  }
  return sum;
}

BOOST_AUTO_TEST_CASE(HundredHostsStayWithinTargetRate) {
  WarmupLedger ledger = MakeLedger();
  std::uint32_t sum = 0;
  for (int ms = 0; ms < 2000; ms += 20) {
    const TimePoint at = kNow + milliseconds(ms);
    for (int host = 0; host < 100; ++host) {
      ledger.OnRequest(MakeRequest(std::to_string(host).c_str(), 5), kRate, at);
    }
    sum += Sum(ledger.IssueGrants(at));
  }
  // Two at once, and ten per second.
  BOOST_TEST(sum >= 20);
  BOOST_TEST(sum <= 22);
}

// Guards against a peer's request for no permits: its count wrapped around, and
// it took half of the target's rate from the other hosts.
BOOST_AUTO_TEST_CASE(RequestForNoPermitsGetsNone) {
  WarmupLedger ledger = MakeLedger();
  ledger.OnRequest(MakeRequest("idle", 0), kRate, kNow);
  BOOST_TEST(Sum(ledger.IssueGrants(kNow)) == 0U);
  ledger.OnRequest(MakeRequest("busy", 2), kRate, kNow);
  ledger.OnRequest(MakeRequest("busy", 0), kRate, kNow);
  BOOST_TEST(Sum(ledger.IssueGrants(kNow)) == 0U);
}

BOOST_AUTO_TEST_CASE(HostsAreServedRoundRobin) {
  WarmupLedger ledger = MakeLedger();
  ledger.OnRequest(MakeRequest("greedy", 50), kRate, kNow);
  ledger.OnRequest(MakeRequest("modest", 1), kRate, kNow);
  const auto grants = ledger.IssueGrants(kNow);
  BOOST_TEST(grants.size() == 2);
  BOOST_TEST(Sum(grants) == 2);
}

BOOST_AUTO_TEST_CASE(RequestThatCantBeGrantedInTimeIsDropped) {
  WarmupLedger ledger = MakeLedger();
  ledger.OnRequest(MakeRequest("a", 5), kRate, kNow);
  BOOST_TEST(Sum(ledger.IssueGrants(kNow)) == 2);
  BOOST_TEST(ledger.IssueGrants(kNow + kWarmupRequestTtl).empty());
}

BOOST_AUTO_TEST_CASE(NewHolderWaitsForEarlierGrantsToExpire) {
  WarmupLedger ledger;
  ledger.BeginTerm(kNow);
  const TimePoint before = kNow + kWarmupRequestTtl - milliseconds(1);
  ledger.OnRequest(MakeRequest("a", 1), kRate, before);
  BOOST_TEST(ledger.IssueGrants(before).empty());
  BOOST_TEST(Sum(ledger.IssueGrants(kNow + kWarmupRequestTtl)) == 1);
}

BOOST_AUTO_TEST_CASE(HostSendsOnlyWhatItIsGranted) {
  WarmupPermits permits;
  BOOST_TEST(!permits.MaySend(kTarget, kNow));
  const WarmupRequest request =
      permits.CreateRequest(HostId("a"), kTarget, 2, kNow);
  BOOST_TEST(permits.OutstandingCount(kTarget, kNow) == 2);
  BOOST_TEST(!permits.MaySend(kTarget, kNow));
  permits.OnGrant({.target = kTarget,
                   .request_number = request.request_number,
                   .count = 1});
  BOOST_TEST(permits.MaySend(kTarget, kNow));
  permits.OnSend(kTarget);
  BOOST_TEST(!permits.MaySend(kTarget, kNow));
  BOOST_TEST(permits.OutstandingCount(kTarget, kNow) == 1);
}

BOOST_AUTO_TEST_CASE(GrantsExpireWithTheirRequest) {
  WarmupPermits permits;
  const WarmupRequest request =
      permits.CreateRequest(HostId("a"), kTarget, 1, kNow);
  permits.OnGrant({.target = kTarget,
                   .request_number = request.request_number,
                   .count = 1});
  BOOST_TEST(
      permits.MaySend(kTarget, kNow + kWarmupRequestTtl - milliseconds(1)));
  BOOST_TEST(!permits.MaySend(kTarget, kNow + kWarmupRequestTtl));
  BOOST_TEST(permits.OutstandingCount(kTarget, kNow + kWarmupRequestTtl) == 0);
}

BOOST_AUTO_TEST_CASE(GrantsForEarlierRequestsOrBeyondTheCountAreIgnored) {
  WarmupPermits permits;
  const WarmupRequest first =
      permits.CreateRequest(HostId("a"), kTarget, 1, kNow);
  const TimePoint later = kNow + kWarmupRequestTtl;
  const WarmupRequest second =
      permits.CreateRequest(HostId("a"), kTarget, 1, later);
  permits.OnGrant(
      {.target = kTarget, .request_number = first.request_number, .count = 1});
  BOOST_TEST(!permits.MaySend(kTarget, later));
  permits.OnGrant(
      {.target = kTarget, .request_number = second.request_number, .count = 7});
  permits.OnSend(kTarget);
  BOOST_TEST(!permits.MaySend(kTarget, later));
}

}  // namespace
}  // namespace cicadaloft
