#include <boost/test/unit_test.hpp>
#include <chrono>

#include "cicadaloft/poison/poison_guard.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow(seconds(1000));
constexpr Fingerprint kContent{.kind = FingerprintKind::kContent, .hash = 4};
constexpr Fingerprint kStarted{.kind = FingerprintKind::kStartedContent,
                               .hash = 4};
constexpr Fingerprint kSegment{.kind = FingerprintKind::kPromptSegment,
                               .hash = 5};

BrokenAttempt Broken(std::uint64_t response_bytes) {
  return BrokenAttempt{.target = TargetId("a"),
                       .instance = TargetInstance(1),
                       .response_bytes = response_bytes};
}

PoisonSuspects Suspect(Duration age) {
  return PoisonSuspects{.suspects = {{.fingerprint = kSegment, .age = age}}};
}

BOOST_AUTO_TEST_SUITE(poison_guard)

BOOST_AUTO_TEST_CASE(AttemptWithoutResponseBytesIsEvidence) {
  PoisonGuard guard;
  guard.OnBroken({kContent, kStarted, kSegment}, Broken(0), kNow);
  const auto evidence = guard.TakeEvidence();
  BOOST_REQUIRE(evidence.size() == 1U);
  BOOST_REQUIRE(evidence[0].requests.size() == 1U);
  BOOST_TEST((evidence[0].requests[0].fingerprints ==
              Fingerprints{kContent, kStarted, kSegment}));
  BOOST_TEST(!evidence[0].is_unreachable);
  BOOST_TEST(guard.TakeEvidence().empty());
}

// Guards against a segment that crashes targets after the first bytes of the
// response, which were taken for a proof that it doesn't.
BOOST_AUTO_TEST_CASE(ResponseThatHasOnlyBegunIsEvidenceAndRefutesNothing) {
  PoisonGuard guard;
  guard.OnSuspects(Suspect(seconds(1)), kNow);
  guard.OnBroken({kContent, kStarted, kSegment}, Broken(1), kNow);
  const auto evidence = guard.TakeEvidence();
  BOOST_REQUIRE(evidence.size() == 1U);
  BOOST_REQUIRE(evidence[0].requests.size() == 1U);
  BOOST_TEST((evidence[0].requests[0].fingerprints ==
              Fingerprints{kStarted, kSegment}));
  BOOST_TEST(evidence[0].requests[0].response_bytes == 1U);
  guard.OnSuspects(Suspect(seconds(1)), kNow);
  BOOST_TEST(!guard.TakeRefutation().has_value());
}

BOOST_AUTO_TEST_CASE(ReportKeepsTheRequestsThatBrokeEarliest) {
  PoisonGuard guard;
  Fingerprints many;
  for (std::uint64_t hash = 0; hash < 5000; ++hash) {
    many.push_back(
        {.kind = FingerprintKind::kPromptSegment, .hash = 100 + hash});
  }
  for (const std::uint64_t bytes : {900U, 800U, 700U}) {
    guard.OnBroken(many, Broken(bytes), kNow);
  }
  guard.OnBroken({kSegment}, Broken(20), kNow);
  const auto evidence = guard.TakeEvidence();
  BOOST_REQUIRE(evidence.size() == 1U);
  BOOST_REQUIRE(evidence[0].requests.size() == 2U);
  BOOST_TEST((evidence[0].requests[0].fingerprints == Fingerprints{kSegment}));
  BOOST_TEST(evidence[0].requests[1].response_bytes == 700U);
}

BOOST_AUTO_TEST_CASE(ResponseSinceTheFirstCrashRefutesASuspicion) {
  PoisonGuard guard;
  guard.OnResponse({kSegment}, kNow);
  guard.OnSuspects(Suspect(seconds(1)), kNow + seconds(5));
  const auto before = guard.TakeRefutation();
  BOOST_REQUIRE(before.has_value());
  BOOST_TEST(before->fingerprints.empty());
  BOOST_TEST((before->served_before == Fingerprints{kSegment}));
  // The holder learns of the crash a little later than this host.
  guard.OnSuspects(Suspect(milliseconds(4990)), kNow + seconds(5));
  const auto refutation = guard.TakeRefutation();
  BOOST_REQUIRE(refutation.has_value());
  BOOST_TEST((refutation->fingerprints == Fingerprints{kSegment}));
  BOOST_TEST(!guard.TakeRefutation().has_value());
}

BOOST_AUTO_TEST_CASE(SuspicionWithAnAgeOutOfRangeIsBounded) {
  PoisonGuard guard;
  guard.OnResponse({kSegment}, kNow);
  guard.OnSuspects(Suspect(Duration::min()), kNow + seconds(5));
  BOOST_TEST(guard.TakeRefutation()->fingerprints.empty());
  guard.OnSuspects(Suspect(Duration::max()), kNow + seconds(5));
  BOOST_TEST(!guard.TakeRefutation()->fingerprints.empty());
}

BOOST_AUTO_TEST_CASE(LaterResponseRefutesASuspicion) {
  PoisonGuard guard;
  guard.OnSuspects(Suspect(seconds(1)), kNow);
  BOOST_TEST(!guard.TakeRefutation().has_value());
  guard.OnResponse({kSegment}, kNow + seconds(1));
  BOOST_TEST(guard.TakeRefutation().has_value());
}

BOOST_AUTO_TEST_CASE(UnreachableTargetIsReportedOncePerInterval) {
  PoisonGuard guard;
  const auto report = [&](Duration after) {
    guard.OnUnreachable(TargetId("a"), TargetInstance(1), kNow + after);
    return guard.TakeEvidence().size();
  };
  BOOST_TEST(report(seconds(0)) == 1U);
  BOOST_TEST(report(seconds(1)) == 0U);
  BOOST_TEST(report(seconds(2)) == 1U);
}

BOOST_AUTO_TEST_CASE(BlockEndsWhenItIsLiftedOrExpires) {
  PoisonGuard guard;
  const PoisonBlock block{.fingerprints = {kSegment}, .remaining = seconds(5)};
  BOOST_TEST(guard.OnBlock(block, kNow));
  BOOST_TEST(!guard.OnBlock(block, kNow));
  BOOST_TEST(guard.FindBlocked({kContent, kSegment}, kNow).has_value());
  BOOST_TEST(!guard.FindBlocked({kContent}, kNow).has_value());
  BOOST_TEST(!guard.FindBlocked({kSegment}, kNow + seconds(5)).has_value());
  BOOST_TEST(guard.OnBlock(PoisonBlock{.fingerprints = {kSegment}}, kNow));
  BOOST_TEST(!guard.FindBlocked({kSegment}, kNow).has_value());
}

BOOST_AUTO_TEST_CASE(BlockOfSeveralFingerprintsNeedsAllOfThem) {
  PoisonGuard guard;
  guard.OnBlock(PoisonBlock{.fingerprints = {kContent, kSegment},
                            .remaining = seconds(5)},
                kNow);
  BOOST_TEST(!guard.FindBlocked({kContent}, kNow).has_value());
  BOOST_TEST(!guard.FindBlocked({kSegment}, kNow).has_value());
  BOOST_TEST(
      guard.FindBlocked({kContent, kStarted, kSegment}, kNow).has_value());
  BOOST_TEST(!guard.OnBlock(PoisonBlock{.remaining = seconds(5)}, kNow));
  BOOST_TEST(!guard.FindBlocked({}, kNow).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
