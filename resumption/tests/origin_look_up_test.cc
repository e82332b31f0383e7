#define BOOST_TEST_MODULE origin_look_up
#include <boost/test/unit_test.hpp>
#include <string>

#include "cicadaloft/resumption/origin_state.h"
#include "origin_host.h"

namespace cicadaloft {
namespace {

OriginEffect FoundInLog(const std::string& request, std::uint64_t stream) {
  return Found(request, RecordOf(stream), OriginSource::kLog);
}

OriginEvent TrimmedTo(std::uint64_t first) {
  return OriginsTrimmed{.first = LogOffset(first)};
}

// Guards against take-ups that fail at a host that didn't begin the stream.
BOOST_AUTO_TEST_CASE(UnknownOriginIsReadFromTheLog) {
  OriginHost host;
  BOOST_TEST((host.Feed(Ask("r1", 1)) == OriginEffects{ReadFrom(0)}));
  BOOST_TEST((host.Feed(Read({RecordOf(1), RecordOf(2)}, 2, 2)) ==
              OriginEffects{FoundInLog("r1", 1)}));
  BOOST_TEST((host.Feed(Ask("r2", 2)) == OriginEffects{FoundInLog("r2", 2)}));
}

// Guards against a read of the whole log for each question.
BOOST_AUTO_TEST_CASE(ReadBeginsWhereTheLastOneEnded) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  BOOST_TEST((host.Feed(Read({RecordOf(2)}, 5, 5)) ==
              OriginEffects{NotRecorded("r1")}));
  BOOST_TEST((host.Feed(Ask("r2", 1)) == OriginEffects{ReadFrom(5)}));
}

// Guards against a record that is missed because it was appended between the
// read and the question.
BOOST_AUTO_TEST_CASE(QuestionDuringAReadWaitsForTheNext) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  BOOST_TEST(host.Feed(Ask("r2", 2)).empty());
  BOOST_TEST(host.Feed(Ask("r3", 3)).empty());
  BOOST_TEST((host.Feed(Read({}, 4, 4)) ==
              OriginEffects{NotRecorded("r1"), ReadFrom(4)}));
  BOOST_TEST((host.Feed(Read({RecordOf(3)}, 5, 5)) ==
              OriginEffects{FoundInLog("r3", 3), NotRecorded("r2")}));
}

// Guards against take-ups that wait longer than needed.
BOOST_AUTO_TEST_CASE(QuestionIsAnsweredByAnEarlierReadThatHasItsRecord) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  host.Feed(Ask("r2", 2));
  BOOST_TEST((host.Feed(Read({RecordOf(2)}, 4, 4)) ==
              OriginEffects{FoundInLog("r2", 2), NotRecorded("r1")}));
}

// Guards against an origin that counts as not recorded before the log has been
// read to its end.
BOOST_AUTO_TEST_CASE(LogIsReadToItsEnd) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  host.Feed(Ask("r2", 2));
  BOOST_TEST((host.Feed(Read({}, 3, 9)) == OriginEffects{ReadFrom(3)}));
  BOOST_TEST((host.Feed(Read({RecordOf(2)}, 6, 10)) ==
              OriginEffects{FoundInLog("r2", 2), ReadFrom(6)}));
  BOOST_TEST((host.Feed(Read({}, 10, 10)) == OriginEffects{NotRecorded("r1")}));
}

// Guards against questions that came between two parts of the log and are
// answered by a read that was sent before them.
BOOST_AUTO_TEST_CASE(QuestionDuringTheLastPartWaitsForTheNextRead) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  host.Feed(Read({}, 3, 6));
  host.Feed(Ask("r2", 2));
  BOOST_TEST((host.Feed(Read({}, 6, 6)) ==
              OriginEffects{NotRecorded("r1"), ReadFrom(6)}));
  BOOST_TEST((host.Feed(Read({}, 6, 6)) == OriginEffects{NotRecorded("r2")}));
}

// Guards against take-ups that are refused for good because the store was away
// for a moment.
BOOST_AUTO_TEST_CASE(FailedReadMakesTheLogUnreachableForItsQuestions) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  host.Feed(Ask("r2", 2));
  BOOST_TEST((host.Feed(OriginReadFailed{}) ==
              OriginEffects{Unreachable("r1"), ReadFrom(0)}));
  BOOST_TEST((host.Feed(Read({RecordOf(2)}, 1, 1)) ==
              OriginEffects{FoundInLog("r2", 2)}));
}

// Guards against questions that stay unanswered when a later part can't be
// read.
BOOST_AUTO_TEST_CASE(FailureInTheMiddleOfTheLogLosesNoQuestion) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  host.Feed(Read({RecordOf(2)}, 3, 6));
  BOOST_TEST(
      (host.Feed(OriginReadFailed{}) == OriginEffects{Unreachable("r1")}));
  BOOST_TEST((host.Feed(Ask("r2", 2)) == OriginEffects{FoundInLog("r2", 2)}));
  BOOST_TEST((host.Feed(Ask("r3", 3)) == OriginEffects{ReadFrom(3)}));
}

// Guards against hosts that can't read the log any more once its begin has been
// trimmed.
BOOST_AUTO_TEST_CASE(TrimmedLogIsReadFromItsFirstRecord) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  BOOST_TEST((host.Feed(TrimmedTo(7)) == OriginEffects{ReadFrom(7)}));
  BOOST_TEST((host.Feed(Read({RecordOf(1)}, 8, 8)) ==
              OriginEffects{FoundInLog("r1", 1)}));
}

// Guards against records that are missed after the store has come back from an
// older copy, in which offsets are given again.
BOOST_AUTO_TEST_CASE(OffsetsThatGoBackAreReadAgain) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  host.Feed(Read({RecordOf(1)}, 50, 50));
  BOOST_TEST((host.Feed(Ask("r2", 2)) == OriginEffects{ReadFrom(50)}));
  BOOST_TEST((host.Feed(TrimmedTo(20)) == OriginEffects{ReadFrom(20)}));
  BOOST_TEST((host.Feed(Read({RecordOf(1), RecordOf(2)}, 30, 30)) ==
              OriginEffects{FoundInLog("r2", 2)}));
  BOOST_TEST((host.Feed(Ask("r3", 3)) == OriginEffects{ReadFrom(30)}));
}

// Guards against the same with a store that answers such a read as one without
// records.
BOOST_AUTO_TEST_CASE(EndBeforeTheRequestedOffsetIsReadFromTheStart) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  host.Feed(Read({RecordOf(1)}, 50, 50));
  host.Feed(Ask("r2", 2));
  BOOST_TEST((host.Feed(Read({}, 50, 30)) == OriginEffects{ReadFrom(0)}));
  BOOST_TEST((host.Feed(TrimmedTo(20)) == OriginEffects{ReadFrom(20)}));
  BOOST_TEST((host.Feed(Read({RecordOf(2)}, 30, 30)) ==
              OriginEffects{FoundInLog("r2", 2)}));
}

// Guards against a contradiction between the lost records and those that took
// their place being resolved by the host's own memory.
BOOST_AUTO_TEST_CASE(RecordThatChangedInAnOlderCopyIsUnknown) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  host.Feed(Read({RecordOf(1, "v1")}, 50, 50));
  host.Feed(Ask("r2", 2));
  host.Feed(TrimmedTo(0));
  host.Feed(Read({RecordOf(1, "v2")}, 1, 1));
  BOOST_TEST((host.Feed(Ask("r3", 1)) == OriginEffects{NotRecorded("r3")}));
}

// Guards against reads without end and without a pause.
BOOST_AUTO_TEST_CASE(TrimsInARowMakeTheLogUnreachable) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  for (int i = 1; i < OriginState::kMaxFruitlessReads; ++i) {
    BOOST_TEST((host.Feed(TrimmedTo(7)) == OriginEffects{ReadFrom(7)}));
  }
  host.Feed(Ask("r2", 2));
  BOOST_TEST((host.Feed(TrimmedTo(7)) ==
              OriginEffects{Unreachable("r1"), ReadFrom(7)}));
  BOOST_TEST((host.Feed(Read({RecordOf(2)}, 8, 8)) ==
              OriginEffects{FoundInLog("r2", 2)}));
}

// Guards against the same with reads that yield no record before the end.
BOOST_AUTO_TEST_CASE(ReadsWithoutProgressMakeTheLogUnreachable) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  for (int i = 1; i < OriginState::kMaxFruitlessReads; ++i) {
    BOOST_TEST((host.Feed(Read({}, 0, 5)) == OriginEffects{ReadFrom(0)}));
  }
  BOOST_TEST((host.Feed(Read({}, 0, 5)) == OriginEffects{Unreachable("r1")}));
}

// Guards against a log with long gaps that counts as unreachable although each
// read gets further.
BOOST_AUTO_TEST_CASE(ProgressBetweenTrimsIsNotARow) {
  OriginHost host;
  host.Feed(Ask("r1", 1));
  for (std::uint64_t i = 0; i < 10; ++i) {
    BOOST_TEST(
        (host.Feed(TrimmedTo(10 * i)) == OriginEffects{ReadFrom(10 * i)}));
    BOOST_TEST((host.Feed(Read({}, 10 * i + 5, 100)) ==
                OriginEffects{ReadFrom(10 * i + 5)}));
  }
}

// Guards against replies that nobody waits for, which would move the offset.
BOOST_AUTO_TEST_CASE(RepliesWithoutAReadAreIgnored) {
  OriginHost host;
  BOOST_TEST(host.Feed(Read({RecordOf(1)}, 5, 5)).empty());
  BOOST_TEST(host.Feed(TrimmedTo(7)).empty());
  BOOST_TEST(host.Feed(OriginReadFailed{}).empty());
  BOOST_TEST((host.Feed(Ask("r1", 1)) == OriginEffects{ReadFrom(0)}));
}

// Guards against memory that grows while the store doesn't answer.
BOOST_AUTO_TEST_CASE(TooManyQuestionsAreAnsweredAtOnce) {
  OriginHost host;
  BOOST_TEST((host.Feed(Ask("r0", 0)) == OriginEffects{ReadFrom(0)}));
  for (std::size_t i = 1; i < OriginState::kMaxQuestions; ++i) {
    BOOST_REQUIRE(host.Feed(Ask("r", i)).empty());
  }
  BOOST_TEST((host.Feed(Ask("last", 1)) == OriginEffects{Unreachable("last")}));
}

// Guards against an append that keeps questions from being asked, and the other
// way round.
BOOST_AUTO_TEST_CASE(ReadAndAppendAreUnderWayTogether) {
  OriginHost host;
  host.Feed(Begin(1, RecordOf(1)));
  BOOST_TEST((host.Feed(Ask("r2", 2)) == OriginEffects{ReadFrom(0)}));
  BOOST_TEST((host.Feed(OriginAppendEnded{.is_acknowledged = true}) ==
              OriginEffects{Recorded(1, true)}));
  BOOST_TEST((host.Feed(Read({}, 0, 0)) == OriginEffects{NotRecorded("r2")}));
}

}  // namespace
}  // namespace cicadaloft
