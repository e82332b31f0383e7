#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>

#include "ledger_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(poison_rivals)

// Without any refutation, the segment in fewer requests is the narrower block.
BOOST_AUTO_TEST_CASE(NarrowestOfEqualExplanationsIsBlocked) {
  LedgerFixture fixture;
  for (const char* target : {"a", "b", "c"}) {
    fixture.Crash(target, {Segment(1)});
    fixture.CrashInTurn({target}, {Segment(1), Segment(9)});
  }
  fixture.RunFor(seconds(2));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(9)}));
  // A further crash without the blocked segment shows the other cause.
  fixture.Crash("d", {Segment(1)});
  fixture.RunFor(seconds(2));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(9), Segment(1)}));
}

// Guards against a sound segment that is blocked because its hash is lower, and
// against another three crashes until the true cause is blocked.
BOOST_AUTO_TEST_CASE(RivalsAreBlockedTogetherUntilOneIsRefuted) {
  for (const std::uint64_t sound : {1U, 9U}) {
    const std::uint64_t deadly = sound == 1 ? 9 : 1;
    LedgerFixture fixture;
    fixture.CrashInTurn({"a", "b", "c"}, {Segment(1), Segment(9)});
    fixture.RunFor(seconds(2));
    BOOST_REQUIRE(fixture.blocks.size() == 1U);
    BOOST_TEST((fixture.blocks[0].fingerprints ==
                Fingerprints{Segment(1), Segment(9)}));
    fixture.Refute(Segment(sound));
    BOOST_TEST(fixture.lifted.size() == 1U);
    fixture.RunFor(milliseconds(200));
    BOOST_REQUIRE(fixture.blocks.size() == 2U);
    BOOST_TEST(
        (fixture.blocks[1].fingerprints == Fingerprints{Segment(deadly)}));
  }
}

BOOST_AUTO_TEST_CASE(OneCrashWithoutItsRivalShowsTheDeadlySegment) {
  for (const std::uint64_t deadly : {1U, 9U}) {
    LedgerFixture fixture;
    fixture.CrashInTurn({"a", "b", "c"}, {Segment(1), Segment(9)});
    fixture.RunFor(seconds(2));
    fixture.Crash("d", {Segment(deadly), Segment(20)});
    fixture.RunFor(milliseconds(200));
    BOOST_REQUIRE(fixture.blocks.size() == 2U);
    BOOST_TEST(
        (fixture.blocks[1].fingerprints == Fingerprints{Segment(deadly)}));
  }
}

// Guards against refusing a sound first segment in place of the one that
// crashes targets: an earlier complete response counts, whatever the hashes
// are.
BOOST_AUTO_TEST_CASE(RivalThatWasServedBeforeIsNotBlocked) {
  for (const std::uint64_t sound : {1U, 9U}) {
    const std::uint64_t deadly = sound == 1 ? 9 : 1;
    LedgerFixture fixture;
    fixture.CrashInTurn({"a", "b"}, {Segment(1), Segment(9)});
    fixture.RunFor(milliseconds(100));
    fixture.ServedBefore(Segment(sound));
    fixture.CrashInTurn({"c"}, {Segment(1), Segment(9)});
    fixture.RunFor(seconds(2));
    BOOST_TEST((fixture.blocked == Fingerprints{Segment(deadly)}));
  }
}

// What was served may crash a newer version of the targets.
BOOST_AUTO_TEST_CASE(SegmentThatWasServedBeforeIsBlockedIfNothingElseIsLeft) {
  LedgerFixture fixture;
  for (const char* target : {"a", "b", "c"}) {
    fixture.CrashInTurn(
        {target},
        {Segment(1), Segment(static_cast<std::uint64_t>(100 + target[0]))});
    fixture.ServedBefore(Segment(1));
  }
  fixture.RunFor(seconds(2));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(1)}));
}

// A request that crashes targets breaks early; one that is sound breaks at any
// time.
BOOST_AUTO_TEST_CASE(RivalWhoseRequestsHadGoneOnIsNotBlocked) {
  LedgerFixture fixture;
  for (const char* target : {"a", "b", "c"}) {
    fixture.Crash(target, {Segment(1)}, 5000);
    fixture.Crash(target, {Segment(9)}, 30);
    fixture.RunFor(PoisonLedger::kSameMoment);
  }
  fixture.RunFor(seconds(2));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(9)}));
}

BOOST_AUTO_TEST_CASE(RivalsOfOtherRequestsAreBlockedForAShortTime) {
  LedgerFixture fixture;
  for (const char* target : {"a", "b", "c"}) {
    fixture.Crash(target, {Segment(1)});
    fixture.Crash(target, {Segment(9)});
    fixture.RunFor(PoisonLedger::kSameMoment);
  }
  fixture.RunFor(seconds(2));
  BOOST_REQUIRE(fixture.blocks.size() == 2U);
  for (const PoisonBlock& block : fixture.blocks) {
    BOOST_TEST(block.fingerprints.size() == 1U);
    BOOST_TEST((block.remaining == kAmbiguousBlockDuration));
  }
}

BOOST_AUTO_TEST_CASE(RivalsHaveMoreTimeToBeRefuted) {
  LedgerFixture fixture;
  fixture.CrashInTurn({"a", "b", "c"}, {Segment(1), Segment(9)});
  fixture.RunFor(PoisonLedger::kRefutationTime + milliseconds(100));
  BOOST_TEST(fixture.blocked.empty());
  fixture.Refute(Segment(1));
  fixture.RunFor(milliseconds(200));
  BOOST_TEST((fixture.blocked == Fingerprints{Segment(9)}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
