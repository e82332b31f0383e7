#define BOOST_TEST_MODULE keyed_follower
#include "cicadaloft/store/keyed_follower.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Texts = std::vector<std::string>;
using SnapshotAnswer = Result<NewestRecords>;
using ReadAnswer = Result<LogReadOutcome>;

/// The answers of the store, in order. The last snapshot is repeated; a read
/// for which there is no answer waits for good.
struct Script {
  std::deque<SnapshotAnswer> snapshots;
  std::deque<ReadAnswer> reads;
  std::size_t snapshots_read = 0;
  std::vector<LogOffset> read_from;
};

struct ScriptedStore {
  std::shared_ptr<Script> script;

  boost::asio::awaitable<Result<NewestRecords>> ReadNewest(std::string) {
    const std::size_t index = std::min(this->script->snapshots_read++,
                                       this->script->snapshots.size() - 1);
    co_return this->script->snapshots.at(index);
  }
  boost::asio::awaitable<Result<LogReadOutcome>> Read(std::string,
                                                      LogOffset from,
                                                      Duration) {
    this->script->read_from.push_back(from);
    if (this->script->read_from.size() > this->script->reads.size()) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      std::chrono::hours(1));
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_return this->script->reads.at(this->script->read_from.size() - 1);
  }
  boost::asio::awaitable<Result<AppendOutcome>> AppendAt(std::string,
                                                         LogOffset offset,
                                                         std::string) {
    co_return AppendOutcome(Appended{.offset = offset});
  }
};

/// Decodes "key=value"; without a value the key was deleted.
Result<KeyedRecord> DecodeText(const std::string& record) {
  const std::size_t sign = record.find('=');
  const std::string value =
      sign == std::string::npos ? "" : record.substr(sign + 1);
  return KeyedRecord{
      .key = record.substr(0, sign),
      .value = value.empty() ? std::nullopt : std::optional(value)};
}

std::string ToString(const KeyedRecord& record) {
  return record.key + "=" + record.value.value_or("");
}

std::string ToString(const FollowerEvent& event) {
  return std::visit(
      Overloaded{
          [](const TopicSnapshot& snapshot) {
            std::string text =
                snapshot.is_restored ? "restored snapshot" : "snapshot";
            for (const KeyedRecord& record : snapshot.records) {
              text += " " + ToString(record);
            }
            return text;
          },
          [](const KeyChanged& change) { return ToString(change.record); },
          [](const TopicCaughtUp& caught_up) {
            const auto at = std::chrono::duration_cast<milliseconds>(
                caught_up.at.time_since_epoch());
            return "caught up at " + std::to_string(at.count()) + " in era " +
                   std::to_string(caught_up.era.value());
          },
          [](const StoreReachability& reachability) {
            return std::string(reachability.is_reachable ? "up" : "down");
          },
          [](const RecordSkipped&) { return std::string("skipped"); }},
      event);
}

struct EventSink {
  std::shared_ptr<Texts> events;
  void operator()(const FollowerEvent& event) const {
    this->events->push_back(ToString(event));
  }
};

SnapshotAnswer Snapshot(const Texts& records,
                        std::uint64_t end,
                        std::uint64_t era) {
  std::vector<KeyedRecord> newest;
  for (const std::string& record : records) {
    newest.push_back(ValueOf(DecodeText(record)));
  }
  return NewestRecords{.records = std::move(newest),
                       .end_offset = LogOffset(end),
                       .era = StoreEra(era)};
}

ReadAnswer Records(const Texts& records, std::uint64_t end, std::uint64_t era) {
  return LogReadOutcome(LogRecords{.records = records,
                                   .next_offset = LogOffset(end),
                                   .end_offset = LogOffset(end),
                                   .era = StoreEra(era)});
}

ReadAnswer Trimmed(std::uint64_t first, std::uint64_t era) {
  return LogReadOutcome(
      LogTrimmed{.first_offset = LogOffset(first), .era = StoreEra(era)});
}

class Fixture {
 public:
  using Follower =
      KeyedFollower<ScriptedStore, decltype(&DecodeText), EventSink>;

  Fixture(std::deque<SnapshotAnswer> snapshots, std::deque<ReadAnswer> reads)
      : script(
            std::make_shared<Script>(Script{.snapshots = std::move(snapshots),
                                            .reads = std::move(reads)})),
        follower(ScriptedStore{this->script},
                 FollowerSettings{.topic = "t"},
                 this->resync,
                 &DecodeText,
                 EventSink{this->events}) {
    boost::asio::co_spawn(this->context, this->follower.Run(),
                          boost::asio::detached);
  }

  /// @return what the follower has reported up to now.
  const Texts& RunFor(Duration time) {
    this->context.run_for(time);
    return *this->events;
  }

  boost::asio::io_context context;
  std::shared_ptr<Script> script;
  std::shared_ptr<Mailbox<ResyncRequest>> resync =
      std::make_shared<Mailbox<ResyncRequest>>(this->context.get_executor(), 1);
  std::shared_ptr<Texts> events = std::make_shared<Texts>();
  Follower follower;
};

/// Longer than the first three delays of the backoff.
constexpr Duration kFewRetries = milliseconds(900);

// Guards against a follower that takes records of the restored log, at offsets
// that were given out again, for the ones after those that it has read.
BOOST_AUTO_TEST_CASE(RecordsOfANewEraAreReplacedByItsSnapshot) {
  Fixture fixture({Snapshot({"a=1", "b=1"}, 10, 1), Snapshot({"a=1"}, 12, 2)},
                  {Records({"b=2"}, 11, 1), Records({"c=9"}, 12, 2)});
  BOOST_TEST(
      fixture.RunFor(milliseconds(50)) ==
          (Texts{"up", "snapshot a=1 b=1", "b=2", "restored snapshot a=1"}),
      boost::test_tools::per_element());
  BOOST_TEST((fixture.script->read_from.back() == LogOffset(12)));
}

// Guards against hosts that refuse each snapshot of a restored store, since its
// end is below what they had read, and so learn of no change any more.
BOOST_AUTO_TEST_CASE(SnapshotOfANewEraIsAcceptedWhateverItsEnd) {
  Fixture fixture({Snapshot({"a=2"}, 10, 1), Snapshot({"a=1"}, 4, 2)},
                  {Trimmed(0, 2)});
  BOOST_TEST(fixture.RunFor(milliseconds(50)) ==
                 (Texts{"up", "snapshot a=2", "restored snapshot a=1"}),
             boost::test_tools::per_element());
  BOOST_TEST((fixture.script->read_from.back() == LogOffset(4)));
}

// Guards against a topic that counts as known up to a time before its records
// of that time have been reported, or at a time that isn't known.
BOOST_AUTO_TEST_CASE(TopicIsCaughtUpAfterItsRecords) {
  const LogRecords complete{.records = {"a=2"},
                            .next_offset = LogOffset(11),
                            .end_offset = LogOffset(11),
                            .era = StoreEra(1),
                            .complete_at = TimePoint(milliseconds(70))};
  Fixture fixture({Snapshot({"a=1"}, 10, 1)},
                  {LogReadOutcome(complete), Records({"a=3"}, 12, 1)});
  BOOST_TEST(fixture.RunFor(milliseconds(50)) ==
                 (Texts{"up", "snapshot a=1", "a=2", "caught up at 70 in era 1",
                        "a=3"}),
             boost::test_tools::per_element());
}

// Guards against a trimmed log that is taken for a restored one.
BOOST_AUTO_TEST_CASE(TrimmedLogIsNotARestoredOne) {
  Fixture fixture({Snapshot({"a=1"}, 10, 1), Snapshot({"a=3"}, 30, 1)},
                  {Trimmed(20, 1)});
  BOOST_TEST(fixture.RunFor(milliseconds(50)) ==
                 (Texts{"up", "snapshot a=1", "snapshot a=3"}),
             boost::test_tools::per_element());
}

// Guards against a store that is taken for a restored one because it is the
// first that states an era to this process.
BOOST_AUTO_TEST_CASE(FirstSnapshotIsNotARestoredOne) {
  Fixture fixture({Snapshot({"a=1"}, 10, 7)}, {});
  BOOST_TEST(fixture.RunFor(milliseconds(50)) == (Texts{"up", "snapshot a=1"}),
             boost::test_tools::per_element());
}

// Guards against calls and log lines every 100 ms while a part of the store
// answers with an older snapshot.
BOOST_AUTO_TEST_CASE(OlderSnapshotOfTheSameEraIsRepeatedWithBackoff) {
  Fixture fixture({Snapshot({"a=2"}, 10, 1), Snapshot({"a=1"}, 4, 1)},
                  {Trimmed(0, 1)});
  BOOST_TEST(
      fixture.RunFor(seconds(3)) == (Texts{"up", "snapshot a=2", "skipped"}),
      boost::test_tools::per_element());
  BOOST_TEST(fixture.script->snapshots_read >= 4U);
  BOOST_TEST(fixture.script->snapshots_read <= 10U);
}

// Guards against hosts that never follow a restored store again because it
// states no era.
BOOST_AUTO_TEST_CASE(LogWithoutAnEraThatStaysBelowIsRestored) {
  Fixture fixture({Snapshot({"a=2"}, 10, 0), Snapshot({"a=1"}, 4, 0)},
                  {Trimmed(0, 0)});
  BOOST_TEST(fixture.RunFor(milliseconds(1800)) ==
                 (Texts{"up", "snapshot a=2", "skipped"}),
             boost::test_tools::per_element());
  BOOST_TEST(
      fixture.RunFor(seconds(2)) ==
          (Texts{"up", "snapshot a=2", "skipped", "restored snapshot a=1"}),
      boost::test_tools::per_element());
  BOOST_TEST((fixture.script->read_from.back() == LogOffset(4)));
}

// Guards against a snapshot from before the step back, which a slow answer or
// a part of the store that has not come back yet may bring.
BOOST_AUTO_TEST_CASE(AnswersOfAnOutdatedEraAreFailedReads) {
  Fixture fixture({Snapshot({"a=1"}, 4, 2), Snapshot({"a=3"}, 12, 1),
                   Snapshot({"a=3"}, 12, 0), Snapshot({"a=2"}, 5, 2)},
                  {Records({"a=9"}, 11, 1), Trimmed(2, 2)});
  BOOST_TEST(fixture.RunFor(kFewRetries) ==
                 (Texts{"up", "snapshot a=1", "down", "down", "down", "up",
                        "snapshot a=2"}),
             boost::test_tools::per_element());
  BOOST_TEST((fixture.script->read_from.at(1) == LogOffset(4)));
}

// Guards against records of the second step that are added to the snapshot of
// the first one.
BOOST_AUTO_TEST_CASE(ReadAfterASnapshotMayBeOfAYetNewerEra) {
  Fixture fixture({Snapshot({"a=3"}, 10, 1), Snapshot({"a=2"}, 6, 2),
                   Snapshot({"a=1"}, 3, 3)},
                  {Trimmed(0, 2), Records({"b=9"}, 7, 3)});
  BOOST_TEST(fixture.RunFor(milliseconds(50)) ==
                 (Texts{"up", "snapshot a=3", "restored snapshot a=2",
                        "restored snapshot a=1"}),
             boost::test_tools::per_element());
}

// Guards against a host that waits for its long poll to end although another
// one has told it that the store came back, and against a second snapshot of
// each topic when the follower has seen that itself.
BOOST_AUTO_TEST_CASE(RequestForAnEraEndsTheReadUnlessItHasBeenReached) {
  Fixture fixture({Snapshot({"a=2"}, 10, 1), Snapshot({"a=1"}, 4, 2)}, {});
  fixture.RunFor(milliseconds(20));
  for (int i = 0; i < 2; ++i) {
    Post(*fixture.resync, ResyncRequest{.era = StoreEra(2)});
    BOOST_TEST(fixture.RunFor(milliseconds(20)) ==
                   (Texts{"up", "snapshot a=2", "restored snapshot a=1"}),
               boost::test_tools::per_element());
  }
  Post(*fixture.resync, ResyncRequest{});
  BOOST_TEST(fixture.RunFor(milliseconds(20)).size() == 4U);
}

// Guards against a snapshot for each failed read, which costs two calls where
// one is enough, and against a failure that is not reported.
BOOST_AUTO_TEST_CASE(FailedReadIsRepeatedFromItsOffset) {
  Fixture fixture({Snapshot({"a=1"}, 10, 1)},
                  {MakeError(ErrorKind::kStoreUnanswered, "no response"),
                   Records({"a=2"}, 11, 1)});
  BOOST_TEST(fixture.RunFor(milliseconds(300)) ==
                 (Texts{"up", "snapshot a=1", "down", "up", "a=2"}),
             boost::test_tools::per_element());
  BOOST_TEST((fixture.script->read_from.at(1) == LogOffset(10)));
  BOOST_TEST(fixture.script->snapshots_read == 1U);
}

// Guards against hosts that take no relayed record any more while the store
// answers no snapshot, because one was requested or several reads have failed.
BOOST_AUTO_TEST_CASE(ChangesAreFollowedWhileNoSnapshotIsAnswered) {
  const Error refused = MakeError(ErrorKind::kStoreUnavailable, "status 429");
  Fixture requested({Snapshot({"a=1"}, 10, 1), refused},
                    {Records({"a=2"}, 11, 1)});
  requested.RunFor(milliseconds(20));
  // The second answer is that of the read which the request ends.
  requested.script->reads.push_back(Records({}, 11, 1));
  requested.script->reads.push_back(Records({"a=3"}, 12, 1));
  Post(*requested.resync, ResyncRequest{});
  Post(*requested.resync, ResyncRequest{});
  BOOST_TEST(requested.RunFor(milliseconds(500)) ==
                 (Texts{"up", "snapshot a=1", "a=2", "down", "up", "a=3"}),
             boost::test_tools::per_element());
  Fixture failed({Snapshot({"a=1"}, 10, 1), refused},
                 {refused, refused, refused, refused, Records({"a=2"}, 11, 1)});
  BOOST_TEST(
      failed.RunFor(seconds(4)) == (Texts{"up", "snapshot a=1", "down", "down",
                                          "down", "down", "down", "up", "a=2"}),
      boost::test_tools::per_element());
}

// Guards against a relayed snapshot that isn't read until the pause after a
// failed call has ended, or not at all.
BOOST_AUTO_TEST_CASE(RelayedSnapshotEndsThePauseAfterAFailedCall) {
  const Error refused = MakeError(ErrorKind::kStoreUnavailable, "status 429");
  // The first three calls and pauses take less than 0.9 s, the fourth pause
  // takes 0.4 s or more.
  Fixture without_position({refused, refused, refused, refused}, {});
  BOOST_TEST(without_position.RunFor(kFewRetries).size() >= 3U);
  const std::size_t failed = without_position.script->snapshots_read;
  without_position.script->snapshots.clear();
  without_position.script->snapshots.push_back(Snapshot({"a=2"}, 11, 1));
  Post(*without_position.resync, ResyncRequest{.is_relayed = true});
  without_position.RunFor(milliseconds(20));
  BOOST_TEST(without_position.script->snapshots_read == failed + 1);
  BOOST_TEST(without_position.events->back() == "snapshot a=2");

  Fixture following({Snapshot({"a=1"}, 10, 1), Snapshot({"a=2"}, 11, 1)},
                    {refused});
  following.RunFor(milliseconds(20));
  Post(*following.resync, ResyncRequest{.is_relayed = true});
  following.RunFor(milliseconds(20));
  BOOST_TEST(following.events->back() == "snapshot a=2");
}

// Guards against calls without a pause between them, after a relayed snapshot
// has come while the store's answers are outdated.
BOOST_AUTO_TEST_CASE(RelayedSnapshotEndsOnePauseOnly) {
  Fixture fixture({Snapshot({"a=1"}, 10, 2), Snapshot({"a=0"}, 9, 1)},
                  {Trimmed(20, 2)});
  fixture.RunFor(milliseconds(50));
  const std::size_t before = fixture.script->snapshots_read;
  BOOST_TEST(before == 2U);
  Post(*fixture.resync, ResyncRequest{.is_relayed = true});
  fixture.RunFor(kFewRetries);
  BOOST_TEST(fixture.script->snapshots_read > before);
  BOOST_TEST(fixture.script->snapshots_read <= before + 6U);
}

// Guards against records that are taken for the ones after a position from
// which the log doesn't go on.
BOOST_AUTO_TEST_CASE(NoChangesAreFollowedAfterATrimmedLog) {
  const Error refused = MakeError(ErrorKind::kStoreUnavailable, "status 429");
  Fixture fixture({Snapshot({"a=1"}, 10, 1), refused},
                  {Trimmed(20, 1), Records({"a=2"}, 11, 1)});
  fixture.RunFor(milliseconds(600));
  BOOST_TEST(fixture.script->snapshots_read >= 3U);
  BOOST_TEST(fixture.script->read_from.size() == 1U);
}

// Guards against a snapshot of the era before the one that a read has stated:
// it was sent before the store stepped back again.
BOOST_AUTO_TEST_CASE(SnapshotOfAnEarlierEraThanTheReadIsRepeated) {
  Fixture fixture({Snapshot({"a=3"}, 10, 1), Snapshot({"a=3"}, 10, 1),
                   Snapshot({"a=1"}, 3, 2)},
                  {Trimmed(0, 2)});
  BOOST_TEST(
      fixture.RunFor(kFewRetries) ==
          (Texts{"up", "snapshot a=3", "down", "up", "restored snapshot a=1"}),
      boost::test_tools::per_element());
}

}  // namespace
}  // namespace cicadaloft
