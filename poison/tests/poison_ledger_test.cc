#define BOOST_TEST_MODULE poison
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "ledger_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Guards against a shared segment that crashes one target after the other.
BOOST_AUTO_TEST_CASE(SegmentInThreeCrashesIsBlockedAndItsCompanionsAreNot) {
  LedgerFixture fixture;
  for (const char* target : {"a", "b", "c"}) {
    fixture.Crash(target, {Segment(1), Segment(2), Segment(9)});
    fixture.Crash(target, {Segment(1)});
    fixture.RunFor(PoisonLedger::kSameMoment);
  }
  BOOST_TEST(fixture.suspects.size() == 3U);
  fixture.Refute(Segment(1));
  fixture.Refute(Segment(2));
  fixture.RunFor(seconds(1));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(9)}));
}

BOOST_AUTO_TEST_CASE(PathModelOrAdapterThatCrashesTargetsIsBlocked) {
  for (const auto kind : {FingerprintKind::kAdapter, FingerprintKind::kModel,
                          FingerprintKind::kPath}) {
    LedgerFixture fixture;
    const Fingerprint deadly{.kind = kind, .hash = 5};
    for (const char* target : {"a", "b", "c", "d"}) {
      const auto content = static_cast<unsigned char>(target[0]);
      fixture.CrashInTurn({target}, {Fingerprint{.hash = content}, deadly});
    }
    fixture.RunFor(seconds(1));
    BOOST_TEST((fixture.blocked == Fingerprints{deadly}));
  }
}

BOOST_AUTO_TEST_CASE(ContentThatBrokeTwoTargetsIsBlockedForBlockDuration) {
  LedgerFixture fixture;
  const Fingerprint content{.kind = FingerprintKind::kContent, .hash = 5};
  fixture.Lose("a", {content});
  fixture.RunFor(seconds(1));
  BOOST_TEST(fixture.blocked.empty());
  fixture.Lose("b", {content});
  fixture.RunFor(PoisonLedger::kRefutationTime + milliseconds(200));
  BOOST_TEST((fixture.blocked == Fingerprints{content}));
  const auto blocks = fixture.ledger.Blocks(fixture.now + minutes(9));
  BOOST_TEST(blocks.size() == 1U);
  BOOST_TEST(fixture.ledger.Blocks(fixture.now + minutes(11)).empty());
}

BOOST_AUTO_TEST_CASE(CrashOfOneTargetBlocksNoRequest) {
  LedgerFixture fixture;
  Fingerprints fingerprints;
  for (std::uint64_t hash = 1; hash < 9; ++hash) {
    fingerprints.push_back(Fingerprint{.hash = hash});
    fingerprints.push_back(Segment(hash));
  }
  for (int i = 0; i < 4; ++i) {
    fixture.Crash("a", fingerprints);
    fixture.RunFor(seconds(1));
  }
  BOOST_TEST(fixture.blocked.empty());
  BOOST_TEST(fixture.suspects.empty());
}

// Guards against blocking sound requests on a host that is cut off and loses
// its connections to all targets.
BOOST_AUTO_TEST_CASE(LossOfOneHostIsNoCrashUnlessTheRegistryShowsIt) {
  LedgerFixture fixture;
  for (const char* target : {"a", "b", "c", "d"}) {
    fixture.Lose(target, {Segment(1)});
    fixture.RunFor(PoisonLedger::kSameMoment);
  }
  fixture.RunFor(seconds(1));
  BOOST_TEST(fixture.blocked.empty());
  fixture.ended = {TargetId("a"), TargetId("b"), TargetId("c")};
  fixture.RunFor(seconds(1));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(1)}));
}

BOOST_AUTO_TEST_CASE(BrokenResponsesWithoutCrashAreNoEvidence) {
  LedgerFixture fixture;
  const Fingerprint started{.kind = FingerprintKind::kStartedContent,
                            .hash = 5};
  for (const char* target : {"a", "b", "c", "d"}) {
    fixture.Lose(target, {started});
    fixture.RunFor(PoisonLedger::kSameMoment);
  }
  fixture.RunFor(seconds(1));
  BOOST_TEST(fixture.blocked.empty());
  BOOST_TEST(fixture.suspects.empty());
}

BOOST_AUTO_TEST_CASE(RefutationClearsEvidenceAndLiftsABlock) {
  LedgerFixture fixture;
  fixture.CrashInTurn({"a", "b"}, {Segment(1)});
  fixture.Refute(Segment(1));
  fixture.CrashInTurn({"c"}, {Segment(1)});
  fixture.RunFor(seconds(1));
  BOOST_TEST(fixture.blocked.empty());
  fixture.CrashInTurn({"d", "e"}, {Segment(1)});
  fixture.RunFor(seconds(1));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(1)}));
  fixture.Refute(Segment(1));
  BOOST_TEST(fixture.lifted.size() == 1U);
  BOOST_TEST(fixture.ledger.Blocks(fixture.now).empty());
}

// Guards against blocking sound requests after a power failure, while no target
// is left that could respond to them.
BOOST_AUTO_TEST_CASE(PowerFailureCountsAsOneCrashOfWhatWasServed) {
  LedgerFixture fixture;
  const Fingerprint content{.kind = FingerprintKind::kContent, .hash = 5};
  const auto fail = [&](const std::vector<std::string>& targets) {
    for (const std::string& target : targets) {
      fixture.Crash(target, {content});
      fixture.Crash(target, {content, Segment(1)}, 100);
    }
    fixture.RunFor(milliseconds(100));
    fixture.ServedBefore(content);
    fixture.ServedBefore(Segment(1));
    fixture.RunFor(seconds(2));
  };
  fail({"a", "b", "c", "d", "e", "f", "g", "h"});
  BOOST_TEST(fixture.blocked.empty());
}

BOOST_AUTO_TEST_CASE(PowerFailureOfFourTargetsBlocksNothing) {
  LedgerFixture fixture;
  const Fingerprint content{.kind = FingerprintKind::kContent, .hash = 5};
  for (const char* target : {"a", "b", "c", "d"}) {
    fixture.Crash(target, {content, Segment(1)});
  }
  fixture.RunFor(seconds(2));
  BOOST_TEST(fixture.blocked.empty());
}

// Guards against a segment in several requests at once that goes on crashing
// targets, because their crashes count as one.
BOOST_AUTO_TEST_CASE(SegmentThatWasNeverServedIsBlockedAfterFiveCrashesAtOnce) {
  LedgerFixture fixture;
  for (const char* target : {"a", "b", "c", "d", "e"}) {
    const auto other = static_cast<std::uint64_t>(100 + target[0]);
    fixture.Crash(target, {Segment(9), Segment(other)});
  }
  fixture.RunFor(seconds(2));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(9)}));
}

BOOST_AUTO_TEST_CASE(SegmentIsBlockedAfterFiveCrashesAtTwoMoments) {
  LedgerFixture fixture;
  fixture.Crash("a", {Segment(9)});
  fixture.Crash("b", {Segment(9)});
  fixture.Crash("c", {Segment(9)});
  fixture.RunFor(seconds(6));
  BOOST_TEST(fixture.blocked.empty());
  fixture.Crash("d", {Segment(9)});
  fixture.Crash("e", {Segment(9)});
  fixture.RunFor(PoisonLedger::kAmbiguityTime + milliseconds(200));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(9)}));
}

// Guards against a deadly segment that no host is asked about, because others
// come before it.
BOOST_AUTO_TEST_CASE(SuspectsBeyondOneMessageFollow) {
  LedgerFixture fixture;
  Fingerprints common;
  for (std::uint64_t hash = 1; hash <= 600; ++hash) {
    common.push_back(Segment(hash));
  }
  fixture.Crash("a", common);
  fixture.Crash("b", common);
  fixture.RunFor(3 * PoisonLedger::kDecisionInterval);
  BOOST_TEST(fixture.suspects.size() == 600U);
}

// Guards against blocking a content that a host loses on all targets at once.
BOOST_AUTO_TEST_CASE(ContentAtOneMomentCountsAsOneCrash) {
  LedgerFixture fixture;
  const Fingerprint content{.kind = FingerprintKind::kContent, .hash = 5};
  for (const char* target : {"a", "b", "c", "d", "e", "f"}) {
    fixture.Crash(target, {content});
  }
  fixture.RunFor(seconds(2));
  BOOST_TEST(fixture.blocked.empty());
}

// Guards against evidence that fills the lease holder's memory.
BOOST_AUTO_TEST_CASE(OldestCrashesMakeRoomForNewOnes) {
  LedgerFixture fixture;
  for (const char* target : {"a", "b", "c"}) {
    fixture.Crash(target, {Segment(9)});
    fixture.now += PoisonLedger::kSameMoment;
  }
  constexpr std::uint64_t kSegments = 8000;
  for (std::uint64_t crash = 1; crash <= 9; ++crash) {
    Fingerprints fingerprints;
    for (std::uint64_t i = 0; i < kSegments; ++i) {
      fingerprints.push_back(Segment(crash * kSegments + i));
    }
    fixture.Crash("x" + std::to_string(crash), fingerprints);
    fixture.now += milliseconds(1);
  }
  fixture.RunFor(seconds(2));
  BOOST_TEST(fixture.suspects.empty());
}

// Another host may send any number.
BOOST_AUTO_TEST_CASE(AgesOutOfRangeAreBounded) {
  LedgerFixture fixture;
  for (const Duration age : {Duration::min(), Duration::max()}) {
    fixture.ledger.OnEvidence(
        HostId("h1"),
        CrashEvidence{.target = TargetId("a"),
                      .instance = TargetInstance(1),
                      .requests = {{.fingerprints = {Segment(1)}}},
                      .age = age},
        fixture.now);
  }
  fixture.CrashInTurn({"b", "c", "d"}, {Segment(1)});
  fixture.RunFor(seconds(1));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(1)}));
}

BOOST_AUTO_TEST_CASE(OldCrashesDontCount) {
  LedgerFixture fixture;
  fixture.CrashInTurn({"a", "b"}, {Segment(1)});
  fixture.RunFor(PoisonLedger::kCrashTtl);
  fixture.Crash("c", {Segment(1)});
  fixture.RunFor(seconds(1));
  BOOST_TEST(fixture.blocked.empty());
}

}  // namespace
}  // namespace cicadaloft
