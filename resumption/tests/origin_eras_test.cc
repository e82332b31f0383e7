#define BOOST_TEST_MODULE origin_eras
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>

#include "cicadaloft/resumption/origin_state.h"
#include "origin_host.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;

OriginEvent Acknowledged(std::uint64_t era) {
  return OriginAppendEnded{.is_acknowledged = true, .era = StoreEra(era)};
}

OriginEvent Seen(std::uint64_t era) {
  return StoreEraSeen{.era = StoreEra(era)};
}

OriginEvent Trimmed(std::uint64_t first, std::uint64_t era) {
  return OriginsTrimmed{.first = LogOffset(first), .era = StoreEra(era)};
}

OriginEffect FoundInLog(const std::string& request, std::uint64_t stream) {
  return Found(request, RecordOf(stream), OriginSource::kLog);
}

/// A host that has read the log up to offset 50 in era 1, with stream 1.
OriginHost ReadToOffset50() {
  OriginHost host;
  host.Feed(Ask("r", 1));
  host.Feed(Read({RecordOf(1)}, 50, 50, 1));
  return host;
}

// Guards against records of a restored log that nobody reads, since other
// records had their offsets: the stream would be refused for good.
BOOST_AUTO_TEST_CASE(LogOfANewEraIsReadFromItsStart) {
  OriginHost host = ReadToOffset50();
  host.Feed(Ask("r2", 2));
  BOOST_TEST((host.Feed(Read({}, 50, 50, 2)) == OriginEffects{ReadFrom(0)}));
  BOOST_TEST((host.Feed(Read({RecordOf(2)}, 50, 50, 2)) ==
              OriginEffects{FoundInLog("r2", 2)}));
  // What was read in the era before stays known.
  BOOST_TEST((host.Feed(Ask("r1", 1)) == OriginEffects{FoundInLog("r1", 1)}));
}

// Guards against the same if another call of the host has stated the new era
// before the read or while it was under way.
BOOST_AUTO_TEST_CASE(EraOfAnyOtherCallCounts) {
  OriginHost before = ReadToOffset50();
  before.Feed(Seen(2));
  BOOST_TEST((before.Feed(Ask("r2", 2)) == OriginEffects{ReadFrom(0)}));
  OriginHost meanwhile = ReadToOffset50();
  meanwhile.Feed(Ask("r2", 2));
  BOOST_TEST(meanwhile.Feed(Seen(2)).empty());
  BOOST_TEST(
      (meanwhile.Feed(Read({}, 50, 50, 2)) == OriginEffects{ReadFrom(0)}));
  BOOST_TEST(
      (meanwhile.Feed(Read({}, 9, 9, 2)) == OriginEffects{NotRecorded("r2")}));
  BOOST_TEST((meanwhile.Feed(Ask("r3", 3)) == OriginEffects{ReadFrom(9)}));
}

// Guards against "not recorded" by a read that was executed before the store
// came back.
BOOST_AUTO_TEST_CASE(ReadOfAnOutdatedEraAnswersOnlyWhatItFinds) {
  OriginHost host = ReadToOffset50();
  host.Feed(Ask("r2", 2));
  host.Feed(Ask("r3", 3));
  host.Feed(Seen(2));
  BOOST_TEST((host.Feed(Read({RecordOf(2)}, 51, 51, 1)) ==
              OriginEffects{FoundInLog("r2", 2), ReadFrom(0)}));
  BOOST_TEST(
      (host.Feed(Read({}, 50, 50, 2)) == OriginEffects{NotRecorded("r3")}));
}

BOOST_AUTO_TEST_CASE(RestoredLogThatWasTrimmedIsReadFromItsFirstRecord) {
  OriginHost host = ReadToOffset50();
  host.Feed(Ask("r2", 2));
  BOOST_TEST((host.Feed(Trimmed(20, 2)) == OriginEffects{ReadFrom(20)}));
  BOOST_TEST((host.Feed(Read({RecordOf(2)}, 30, 30, 2)) ==
              OriginEffects{FoundInLog("r2", 2)}));
}

// Guards against reads without end while the era rises with each answer: a read
// from the start of the log needs no other one.
BOOST_AUTO_TEST_CASE(ReadFromTheStartIsCompleteInAnyNewEra) {
  OriginHost host = ReadToOffset50();
  host.Feed(Ask("r2", 2));
  BOOST_TEST((host.Feed(Read({}, 50, 50, 2)) == OriginEffects{ReadFrom(0)}));
  BOOST_TEST(
      (host.Feed(Read({}, 7, 7, 3)) == OriginEffects{NotRecorded("r2")}));
  BOOST_TEST((host.Feed(Ask("r3", 3)) == OriginEffects{ReadFrom(7)}));
}

// Guards against streams that other hosts don't know any more because the store
// has lost their records.
BOOST_AUTO_TEST_CASE(OwnRecordsAreAppendedAgainInANewEra) {
  OriginHost host = ReadToOffset50();
  host.Feed(Begin(1, RecordOf(7)));
  host.Feed(Acknowledged(1));
  const OriginEffects again{AppendOrigins{{RecordOf(7)}}};
  BOOST_TEST((host.Feed(Seen(2)) == again));
  BOOST_TEST(host.Feed(Acknowledged(2)).empty());
  BOOST_TEST(host.Feed(Seen(2)).empty());
  BOOST_TEST((host.Feed(Seen(3)) == again));
  BOOST_TEST(host.Feed(OriginAppendEnded{.is_acknowledged = false}).empty());
  host.Pass(milliseconds(501));
  BOOST_TEST((host.Feed(Seen(3)) == again));
}

// Guards against the same if a read of the log tells of the step back, with a
// store that states no era.
BOOST_AUTO_TEST_CASE(OwnRecordsAreAppendedAgainToALogThatEndsLower) {
  for (const bool is_trimmed : {true, false}) {
    OriginHost host;
    host.Feed(Ask("r1", 1));
    host.Feed(Read({RecordOf(1)}, 50, 50));
    host.Feed(Begin(1, RecordOf(7)));
    host.Feed(Acknowledged(0));
    host.Feed(Ask("r2", 2));
    const OriginEffects effects =
        is_trimmed ? host.Feed(Trimmed(0, 0)) : host.Feed(Read({}, 50, 30));
    BOOST_TEST(
        (effects == OriginEffects{ReadFrom(0), AppendOrigins{{RecordOf(7)}}}));
  }
}

// Guards against an acknowledgement of the era before that stands for a record
// which the store has lost.
BOOST_AUTO_TEST_CASE(OutdatedAcknowledgementCountsAsNone) {
  OriginHost host = ReadToOffset50();
  host.Feed(Begin(1, RecordOf(7)));
  BOOST_TEST(host.Feed(Seen(2)).empty());
  BOOST_TEST((host.Feed(Acknowledged(1)) ==
              OriginEffects{Recorded(1, false), AppendOrigins{{RecordOf(7)}}}));
  BOOST_TEST(host.Feed(Acknowledged(2)).empty());
}

// Guards against an append that the store refuses because it is too large, and
// against new streams that wait behind all records that are repeated.
BOOST_AUTO_TEST_CASE(RepeatedRecordsComeInBatchesAfterNewOnes) {
  OriginHost host;
  host.Feed(Seen(1));
  constexpr std::size_t kStreams = 2 * OriginState::kMaxRecordsPerAppend + 7;
  for (std::size_t i = 0; i < kStreams; ++i) {
    host.Feed(Begin(i, RecordOf(i)));
    host.Feed(Acknowledged(1));
  }
  std::set<OriginRecord> repeated;
  OriginEffects effects = host.Feed(Seen(2));
  host.Feed(Begin(kStreams, RecordOf(kStreams)));
  for (int appends = 1; appends <= 3; ++appends) {
    BOOST_REQUIRE(!effects.empty());
    const auto& append = std::get<AppendOrigins>(effects.back());
    BOOST_TEST(append.records.size() <= OriginState::kMaxRecordsPerAppend);
    BOOST_TEST((appends != 2 || append.records.front() == RecordOf(kStreams)));
    repeated.insert(append.records.begin(), append.records.end());
    effects = host.Feed(Acknowledged(2));
  }
  BOOST_TEST(effects.empty());
  BOOST_TEST(repeated.size() == kStreams + 1);
}

}  // namespace
}  // namespace cicadaloft
