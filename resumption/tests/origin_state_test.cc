#define BOOST_TEST_MODULE origin_state
#include "cicadaloft/resumption/origin_state.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "origin_host.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const OriginEvent kAcknowledged = OriginAppendEnded{.is_acknowledged = true};
const OriginEvent kFailed = OriginAppendEnded{.is_acknowledged = false};

BOOST_AUTO_TEST_SUITE(records)

// Guards against streams that wait although the store can be asked at once, and
// against a second reply to a ticket.
BOOST_AUTO_TEST_CASE(RecordIsAppendedAtOnce) {
  OriginHost host;
  BOOST_TEST((host.Feed(Begin(1, RecordOf(1))) ==
              OriginEffects{AppendOrigins{{RecordOf(1)}}}));
  BOOST_TEST((host.Feed(kAcknowledged) == OriginEffects{Recorded(1, true)}));
  BOOST_TEST(host.Feed(kAcknowledged).empty());
}

// Guards against a call of the store for each stream.
BOOST_AUTO_TEST_CASE(RecordsDuringAnAppendShareTheNext) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1)));
  BOOST_TEST(host.Feed(Begin(2, RecordOf(2))).empty());
  BOOST_TEST(host.Feed(Begin(3, RecordOf(3))).empty());
  BOOST_TEST((host.Feed(kAcknowledged) ==
              OriginEffects{Recorded(1, true),
                            AppendOrigins{{RecordOf(2), RecordOf(3)}}}));
  BOOST_TEST((host.Feed(kAcknowledged) ==
              OriginEffects{Recorded(2, true), Recorded(3, true)}));
}

// Guards against an append that the store refuses because it is too large.
BOOST_AUTO_TEST_CASE(AppendHasABoundedNumberOfRecords) {
  OriginHost host;
  constexpr std::size_t kMax = OriginState::kMaxRecordsPerAppend;
  for (std::size_t i = 0; i < kMax + 2; ++i) {
    host.Feed(Begin(i, RecordOf(i)));
  }
  const OriginEffects next = host.Feed(kAcknowledged);
  BOOST_REQUIRE(next.size() == 2U);
  const auto& append = std::get<AppendOrigins>(next.back());
  BOOST_TEST(append.records.size() == kMax);
  BOOST_TEST((append.records.front() == RecordOf(1)));
  const OriginEffects last = host.Feed(kAcknowledged);
  BOOST_TEST(
      (last.back() == OriginEffect(AppendOrigins{{RecordOf(kMax + 1)}})));
}

// Guards against streams that wait for a store that is away.
BOOST_AUTO_TEST_CASE(FailedAppendAnswersAllTicketsAndLaterOnesAtOnce) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1)));
  host.Feed(Begin(2, RecordOf(2)));
  BOOST_TEST((host.Feed(kFailed) ==
              OriginEffects{Recorded(1, false), Recorded(2, false)}));
  host.Pass(milliseconds(500));
  BOOST_TEST(
      (host.Feed(Begin(3, RecordOf(3))) == OriginEffects{Recorded(3, false)}));
}

// Guards against records that are lost, and tickets with two replies, when the
// store comes back.
BOOST_AUTO_TEST_CASE(LaterAppendCarriesTheRecordsOfFailedOnes) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1)));
  host.Feed(Begin(2, RecordOf(2)));
  host.Feed(kFailed);
  host.Feed(Begin(3, RecordOf(3)));
  host.Pass(milliseconds(501));
  const AppendOrigins all{{RecordOf(1), RecordOf(2), RecordOf(3), RecordOf(4)}};
  BOOST_TEST((host.Feed(Begin(4, RecordOf(4))) == OriginEffects{all}));
  BOOST_TEST((host.Feed(kFailed) == OriginEffects{Recorded(4, false)}));
  host.Pass(milliseconds(501));
  AppendOrigins again = all;
  again.records.push_back(RecordOf(5));
  BOOST_TEST((host.Feed(Begin(5, RecordOf(5))) == OriginEffects{again}));
  BOOST_TEST((host.Feed(kAcknowledged) == OriginEffects{Recorded(5, true)}));
  BOOST_TEST((host.Feed(Begin(6, RecordOf(6))) ==
              OriginEffects{AppendOrigins{{RecordOf(6)}}}));
}

// Guards against records that stay unknown to other hosts after a failed append
// because no further stream begins here.
BOOST_AUTO_TEST_CASE(AnyLaterEventRepeatsAFailedAppend) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1)));
  host.Feed(kFailed);
  host.Feed(Begin(2, RecordOf(2)));
  host.Pass(milliseconds(501));
  const OriginEffects effects = host.Feed(
      LookUpOrigin{.request = RequestId("r"), .stream = RecordOf(9).stream});
  BOOST_TEST((effects.back() ==
              OriginEffect(AppendOrigins{{RecordOf(1), RecordOf(2)}})));
}

// Guards against memory that grows while the store is away, and against tickets
// without a reply.
BOOST_AUTO_TEST_CASE(OldestOfTooManyWaitingRecordsIsDropped) {
  OriginHost host;
  constexpr std::size_t kMax = OriginState::kMaxWaitingRecords;
  host.Feed(Begin(0, RecordOf(0)));
  for (std::size_t i = 1; i <= kMax; ++i) {
    BOOST_REQUIRE(host.Feed(Begin(i, RecordOf(i))).empty());
  }
  BOOST_TEST((host.Feed(Begin(kMax + 1, RecordOf(kMax + 1))) ==
              OriginEffects{Recorded(1, false)}));
  // The record that was being appended is the oldest then.
  BOOST_TEST(host.Feed(kFailed).size() == kMax + 1);
  host.Pass(milliseconds(501));
  const OriginEffects effects = host.Feed(Begin(0, RecordOf(0)));
  BOOST_REQUIRE(effects.size() == 1U);
  BOOST_TEST((std::get<AppendOrigins>(effects.front()).records.front() ==
              RecordOf(3)));
}

// Guards against appends of records that nobody can ask for any more.
BOOST_AUTO_TEST_CASE(WaitingRecordIsDroppedAfterItsRetention) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1)));
  host.Feed(kFailed);
  host.Pass(seconds(30));
  host.Feed(Begin(2, RecordOf(2)));
  host.Feed(kFailed);
  host.Pass(seconds(30));
  BOOST_TEST((host.Feed(Begin(3, RecordOf(3))) ==
              OriginEffects{AppendOrigins{{RecordOf(2), RecordOf(3)}}}));
}

// Guards against a ticket without a reply when its record is dropped while an
// append goes on.
BOOST_AUTO_TEST_CASE(TicketOfADroppedRecordIsAnswered) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1)));
  host.Feed(Begin(2, RecordOf(2)));
  host.Pass(seconds(60));
  BOOST_TEST((host.Feed(kAcknowledged) ==
              OriginEffects{Recorded(2, false), Recorded(1, true)}));
}

// Guards against a batch that no host can read, and against streams of targets
// without a version that go on at any target.
BOOST_AUTO_TEST_CASE(InvalidOriginIsNeitherAppendedNorKnown) {
  OriginHost host;
  const std::string long_name(KnownOrigins::kMaxNameBytes, 'v');
  for (const std::string& version : {std::string(), long_name}) {
    BOOST_TEST((host.Feed(Begin(1, RecordOf(1, version))) ==
                OriginEffects{Recorded(1, false)}));
    BOOST_TEST((host.Feed(Ask("r", 1)) == OriginEffects{NotRecorded("r")}));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(known)

// Guards against take-ups that fail at the host that began the stream while the
// store is away.
BOOST_AUTO_TEST_CASE(OwnOriginIsKnownWithoutTheStore) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1)));
  host.Feed(kFailed);
  host.Pass(seconds(2));
  BOOST_TEST((host.Feed(Ask("r", 1)) ==
              OriginEffects{
                  Found("r", RecordOf(1), OriginSource::kThisHost, seconds(2)),
                  AppendOrigins{{RecordOf(1)}}}));
}

// Guards against an own origin that passes for another host's once the log has
// been read.
BOOST_AUTO_TEST_CASE(OwnRecordInTheLogChangesNothing) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1)));
  host.Feed(kAcknowledged);
  host.Feed(Ask("r", 2));
  host.Pass(seconds(1));
  host.Feed(Read({RecordOf(1), RecordOf(1)}, 2, 2));
  BOOST_TEST((host.Feed(Ask("r", 1)) ==
              OriginEffects{Found("r", RecordOf(1), OriginSource::kThisHost,
                                  seconds(1))}));
}

// Guards against a stream that goes on at one of two recorded versions.
BOOST_AUTO_TEST_CASE(ContradictoryRecordsOfTheLogAreUnknown) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  BOOST_TEST((host.Feed(Read({RecordOf(1, "v1"), RecordOf(1, "v2")}, 2, 2)) ==
              OriginEffects{NotRecorded("r1")}));
  BOOST_TEST((host.Feed(Ask("r2", 1)) == OriginEffects{NotRecorded("r2")}));
  host.Feed(Ask("r3", 2));
  host.Feed(Read({RecordOf(1, "v2"), RecordOf(1, "v2")}, 4, 4));
  BOOST_TEST((host.Feed(Ask("r4", 1)) == OriginEffects{NotRecorded("r4")}));
}

// Guards against the same with the service instead of the version.
BOOST_AUTO_TEST_CASE(RecordsOfTwoServicesAreUnknown) {
  OriginHost host;
  OriginRecord other = RecordOf(1);
  other.origin.service = ServiceId("other");
  host.Feed(Ask("r1", 1));
  BOOST_TEST((host.Feed(Read({RecordOf(1), other}, 2, 2)) ==
              OriginEffects{NotRecorded("r1")}));
}

// Guards against an own origin that is believed although the log has another.
BOOST_AUTO_TEST_CASE(OwnOriginThatTheLogContradictsIsUnknown) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1, "v1")));
  host.Feed(Ask("r1", 2));
  host.Feed(Read({RecordOf(1, "v2")}, 1, 1));
  BOOST_TEST((host.Feed(Ask("r2", 1)) == OriginEffects{NotRecorded("r2")}));
  host.Feed(Begin(2, RecordOf(1, "v1")));
  BOOST_TEST((host.Feed(Ask("r3", 1)) == OriginEffects{NotRecorded("r3")}));
}

// Guards against the same if the record of the log is read first, or if both
// streams begin here.
BOOST_AUTO_TEST_CASE(OwnOriginThatContradictsAKnownOneIsUnknown) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  host.Feed(Read({RecordOf(1, "v1")}, 1, 1));
  host.Feed(Begin(1, RecordOf(1, "v2")));
  BOOST_TEST((host.Feed(Ask("r2", 1)) == OriginEffects{NotRecorded("r2")}));
  host.Feed(Begin(2, RecordOf(2, "v1")));
  host.Feed(Begin(3, RecordOf(2, "v2")));
  BOOST_TEST((host.Feed(Ask("r3", 2)) == OriginEffects{NotRecorded("r3")}));
}

// Guards against memory that grows with the streams of a day.
BOOST_AUTO_TEST_CASE(OriginIsDroppedAfterItsRetention) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1)));
  host.Feed(kAcknowledged);
  host.Feed(Ask("r1", 2));
  host.Feed(Read({RecordOf(1), RecordOf(2)}, 2, 2));
  host.Pass(seconds(60) - milliseconds(1));
  BOOST_TEST((host.Feed(Ask("r2", 2)) ==
              OriginEffects{Found("r2", RecordOf(2), OriginSource::kLog,
                                  seconds(60) - milliseconds(1))}));
  host.Pass(milliseconds(1));
  BOOST_TEST((host.Feed(Ask("r3", 1)) == OriginEffects{ReadFrom(2)}));
  BOOST_TEST((host.Feed(Read({}, 2, 2)) == OriginEffects{NotRecorded("r3")}));
}

// Guards against a contradiction that is forgotten while its records are still
// repeated, as by appends whose answers were lost.
BOOST_AUTO_TEST_CASE(ContradictionIsKeptFromItsLastRecordOn) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1, "v1")));
  host.Feed(Begin(2, RecordOf(1, "v2")));
  host.Feed(kFailed);
  host.Pass(seconds(59));
  host.Feed(Begin(3, RecordOf(1, "v2")));
  host.Feed(kFailed);
  host.Pass(seconds(59));
  BOOST_TEST(
      (host.Feed(Ask("r", 1)) ==
       OriginEffects{NotRecorded("r"), AppendOrigins{{RecordOf(1, "v2")}}}));
}

// Guards against streams that are kept for longer, or dropped too early,
// because another one's record was repeated.
BOOST_AUTO_TEST_CASE(RepeatedRecordRenewsTheRetentionOfItsStreamAlone) {
  OriginHost host;
  host.Feed(Ask("r", 3));
  host.Feed(Read({RecordOf(1), RecordOf(2)}, 2, 2));
  host.Pass(seconds(30));
  host.Feed(Ask("r", 3));
  host.Feed(Read({RecordOf(1)}, 3, 3));
  host.Pass(seconds(30));
  BOOST_TEST((host.Feed(Ask("r1", 1)) ==
              OriginEffects{
                  Found("r1", RecordOf(1), OriginSource::kLog, seconds(60))}));
  BOOST_TEST((host.Feed(Ask("r2", 2)) == OriginEffects{ReadFrom(3)}));
}

// Guards against unbounded memory, and against a contradiction that is
// displaced by other streams, after which a repeated record would be believed.
BOOST_AUTO_TEST_CASE(OldestOfTooManyOriginsIsDroppedButNoContradiction) {
  OriginHost host;
  constexpr std::size_t kMax = KnownOrigins::kMaxStreams;
  std::vector<OriginRecord> records = {RecordOf(0, "v1"), RecordOf(0, "v2")};
  for (std::size_t i = 1; i <= kMax + 1; ++i) {
    records.push_back(RecordOf(i));
  }
  records.push_back(RecordOf(0, "v1"));
  host.Feed(Ask("r", kMax));
  BOOST_TEST((host.Feed(Read(records, 1, 1)) ==
              OriginEffects{Found("r", RecordOf(kMax), OriginSource::kLog)}));
  BOOST_TEST((host.Feed(Ask("r0", 0)) == OriginEffects{NotRecorded("r0")}));
  BOOST_TEST((host.Feed(Ask("r2", 2)) ==
              OriginEffects{Found("r2", RecordOf(2), OriginSource::kLog)}));
  BOOST_TEST((host.Feed(Ask("r1", 1)) == OriginEffects{ReadFrom(1)}));
}

// Guards against unbounded memory by a caller that uses its request ids again.
BOOST_AUTO_TEST_CASE(OldestOfTooManyContradictionsIsDropped) {
  OriginHost host;
  constexpr std::size_t kMax = KnownOrigins::kMaxContradictoryStreams;
  std::vector<OriginRecord> records;
  for (std::size_t i = 0; i <= kMax; ++i) {
    records.push_back(RecordOf(i, "v1"));
    records.push_back(RecordOf(i, "v2"));
  }
  host.Feed(Ask("r", kMax));
  BOOST_TEST(
      (host.Feed(Read(records, 1, 1)) == OriginEffects{NotRecorded("r")}));
  BOOST_TEST((host.Feed(Ask("r1", 1)) == OriginEffects{NotRecorded("r1")}));
  BOOST_TEST((host.Feed(Ask("r0", 0)) == OriginEffects{ReadFrom(1)}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
