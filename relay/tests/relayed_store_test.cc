#include "cicadaloft/relay/relayed_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <set>

#include "cicadaloft/relay/relay_publisher.h"
#include "cicadaloft/relay/snapshot_queue.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Records = std::vector<std::string>;

const std::string kTopic = "t";

struct SteadyTime {
  TimePoint Now() const {
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

/// What the fake store was asked and what it holds.
struct LogState {
  std::vector<std::string> records;
  int reads = 0;
  Duration last_wait{};
  bool is_failing = false;
  bool is_silent = false;  ///< Snapshots fail after 5 s.
  StoreEra era;
};

/// A store whose reads return at once.
struct FakeStore {
  std::shared_ptr<LogState> log;

  boost::asio::awaitable<Result<NewestRecords>> ReadNewest(std::string) {
    ++this->log->reads;
    if (this->log->is_silent) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      seconds(5));
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    if (this->log->is_failing || this->log->is_silent) {
      co_return MakeError(ErrorKind::kStoreUnavailable, "status 429");
    }
    co_return NewestRecords{.records = {},
                            .end_offset = LogOffset(this->log->records.size()),
                            .era = this->log->era};
  }
  boost::asio::awaitable<Result<LogReadOutcome>> Read(std::string,
                                                      LogOffset from,
                                                      Duration wait) {
    ++this->log->reads;
    this->log->last_wait = wait;
    if (this->log->is_failing) {
      co_return MakeError(ErrorKind::kTargetUnreachable, "no answer");
    }
    const LogOffset end(this->log->records.size());
    const auto first =
        this->log->records.begin() + static_cast<std::ptrdiff_t>(from.value());
    co_return LogReadOutcome(
        LogRecords{.records = {first, this->log->records.end()},
                   .next_offset = end,
                   .end_offset = end,
                   .era = this->log->era});
  }
  boost::asio::awaitable<Result<AppendOutcome>> AppendAt(std::string,
                                                         LogOffset offset,
                                                         std::string) {
    co_return AppendOutcome(Appended{.offset = offset});
  }
};

struct ReadSink {
  std::shared_ptr<std::vector<StoreRead>> reads;
  void operator()(const StoreRead& read) const { this->reads->push_back(read); }
};

class Fixture {
 public:
  using Tested = RelayedStore<FakeStore, SteadyTime, ReadSink>;

  Fixture()
      : inbox(std::make_shared<RelayMailbox>(this->context.get_executor(), 8)),
        store(FakeStore{this->log},
              {.min_read_interval = milliseconds(50),
               .reader_interval = milliseconds(10),
               .reader_wait = milliseconds(7),
               .max_relay_age = milliseconds(200)},
              this->inbox,
              SteadyTime{},
              ReadSink{this->reads}) {}

  LogRecords Read(std::uint64_t from, Duration wait = milliseconds(100)) {
    this->context.restart();
    auto future = boost::asio::co_spawn(
        this->context, this->store.Read(kTopic, LogOffset(from), wait),
        boost::asio::use_future);
    this->context.run();
    return std::get<LogRecords>(ValueOf(future.get()));
  }

  /// @return a snapshot of the topic; none if none is answered.
  std::optional<NewestRecords> ReadNewest() {
    this->context.restart();
    auto future = boost::asio::co_spawn(
        this->context, this->store.ReadNewest(kTopic), boost::asio::use_future);
    this->context.run();
    const Result<NewestRecords> newest = future.get();
    return IsOk(newest) ? std::optional(ValueOf(newest)) : std::nullopt;
  }

  void RelaySnapshot(const std::string& value,
                     std::uint64_t end,
                     std::uint64_t era,
                     Duration age = {}) {
    Post(*this->inbox,
         RelayInput(SnapshotReceived{
             .snapshot = {.records = {{.key = "a", .value = value}},
                          .end = LogOffset(end),
                          .era = StoreEra(era)},
             .received_at = SteadyTime{}.Now() - age}));
  }

  /// @return whether a read of the store fails.
  bool IsReadFailing() {
    this->context.restart();
    auto future = boost::asio::co_spawn(
        this->context,
        this->store.Read(kTopic, LogOffset(0), milliseconds(100)),
        boost::asio::use_future);
    this->context.run();
    return !IsOk(future.get());
  }

  void Relay(std::uint64_t from,
             std::vector<std::string> records,
             StoreEra era = {}) {
    // A wait that has ended leaves the channel without capacity until the
    // next one (Boost 1.81), so TrySend() would drop the message.
    Post(*this->inbox,
         RelayInput(RelayReceived{.topic = {.topic = kTopic,
                                            .from = LogOffset(from),
                                            .records = std::move(records),
                                            .era = era},
                                  .complete_at = SteadyTime{}.Now()}));
  }

  boost::asio::io_context context;
  std::shared_ptr<LogState> log = std::make_shared<LogState>();
  std::shared_ptr<std::vector<StoreRead>> reads =
      std::make_shared<std::vector<StoreRead>>();
  std::shared_ptr<RelayMailbox> inbox;
  Tested store;
};

BOOST_AUTO_TEST_SUITE(relayed_store)

// Guards against relayed records that count as complete for longer than they
// are, so that a host that was cut off takes old knowledge for the present one.
BOOST_FIXTURE_TEST_CASE(ReadsTellUpToWhenTheyAreComplete, Fixture) {
  const TimePoint before = SteadyTime{}.Now();
  this->log->records = {"a"};
  const LogRecords own = this->Read(0);
  BOOST_REQUIRE(own.complete_at.has_value());
  BOOST_TEST((*own.complete_at >= before));
  this->Relay(1, {"b"});
  const TimePoint relayed_at = SteadyTime{}.Now();
  const LogRecords relayed = this->Read(1);
  BOOST_REQUIRE(relayed.complete_at.has_value());
  BOOST_TEST((*relayed.complete_at >= *own.complete_at));
  BOOST_TEST((*relayed.complete_at <= relayed_at));
}

BOOST_AUTO_TEST_CASE(RelayedRecordsReplaceReadsOfTheStore) {
  Fixture fixture;
  fixture.Relay(2, {"2", "3"});
  const LogRecords records = fixture.Read(2);
  BOOST_TEST((records.records == std::vector<std::string>{"2", "3"}));
  BOOST_TEST((records.next_offset == LogOffset(4)));
  BOOST_TEST(fixture.Read(4).records.empty());
  BOOST_TEST(fixture.log->reads == 0);
}

BOOST_AUTO_TEST_CASE(StoreIsReadAcrossGapsAndWhenRelaysStop) {
  Fixture fixture;
  fixture.log->records = {"0", "1", "2", "3"};
  fixture.Relay(2, {"2"});
  BOOST_TEST(fixture.Read(0).records.size() == 4U);
  BOOST_TEST(fixture.log->reads == 1);
  // Waits for a relay until what is known is too old, then reads.
  const TimePoint began = SteadyTime{}.Now();
  fixture.Read(4, seconds(10));
  BOOST_TEST(fixture.log->reads == 2);
  BOOST_TEST((SteadyTime{}.Now() - began < seconds(1)));
}

// Guards against calls without pause while many records are written.
BOOST_AUTO_TEST_CASE(ReadsOfTheStoreKeepTheirInterval) {
  Fixture fixture;
  fixture.log->records = {"0"};
  const TimePoint began = SteadyTime{}.Now();
  for (int i = 0; i < 5; ++i) {
    fixture.Read(0);
  }
  BOOST_TEST(fixture.log->reads == 5);
  BOOST_TEST((SteadyTime{}.Now() - began >= 4 * milliseconds(50)));
}

// Guards against changes that are known too late because each repetition of a
// failed read waits for the interval between reads.
BOOST_AUTO_TEST_CASE(FailedReadsAreRepeatedWithoutTheInterval) {
  Fixture fixture;
  fixture.log->is_failing = true;
  const TimePoint began = SteadyTime{}.Now();
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(fixture.IsReadFailing());
  }
  BOOST_TEST(fixture.log->reads == 5);
  BOOST_TEST((SteadyTime{}.Now() - began < 4 * milliseconds(50)));
}

// What a host reads for others is its own: a relay doesn't count, so that two
// hosts never wait for each other.
BOOST_AUTO_TEST_CASE(ReaderReadsTheStoreItselfAtShortIntervals) {
  Fixture fixture;
  fixture.log->records = {"0", "1"};
  TrySend(*fixture.inbox, RelayInput(RelayRole{.is_reader = true}));
  fixture.Relay(2, {"x"});
  BOOST_TEST(fixture.Read(0).records.size() == 2U);
  BOOST_TEST((fixture.log->last_wait == milliseconds(7)));
  BOOST_REQUIRE(fixture.reads->size() == 1);
  BOOST_TEST(fixture.reads->at(0).records.size() == 2U);
}

// Guards against a host that goes on with what was relayed before the store
// came back, while its own offset belongs to another record now.
BOOST_AUTO_TEST_CASE(RelayedRecordsOfAnotherEraAreNotTheAnswerOfARead) {
  Fixture fixture;
  fixture.log->records = {"0", "1"};
  fixture.log->era = StoreEra(2);
  BOOST_TEST((fixture.Read(0).era == StoreEra(2)));
  BOOST_TEST((fixture.reads->back().era == StoreEra(2)));
  fixture.Relay(2, {"x"}, StoreEra(1));
  fixture.log->records.push_back("2");
  BOOST_TEST((fixture.Read(2).records == std::vector<std::string>{"2"}));
  fixture.Relay(3, {"3"}, StoreEra(2));
  const LogRecords relayed = fixture.Read(3);
  BOOST_TEST((relayed.records == std::vector<std::string>{"3"}));
  BOOST_TEST((relayed.era == StoreEra(2)));
  BOOST_TEST(fixture.log->reads == 2);
  // The holder has seen a newer era: this host asks the store.
  fixture.log->era = StoreEra(3);
  fixture.log->records = {"0", "1", "2", "3", "new"};
  fixture.Relay(4, {"relayed"}, StoreEra(3));
  const TimePoint began = SteadyTime{}.Now();
  BOOST_TEST((fixture.Read(4).era == StoreEra(3)));
  BOOST_TEST(fixture.log->reads == 3);
  BOOST_TEST((fixture.log->last_wait == Duration::zero()));
  BOOST_TEST((SteadyTime{}.Now() - began < milliseconds(40)));
}

// Guards against a host whose configuration stays as it is while the store
// refuses its calls, or answers none, although another host has a newer one.
BOOST_FIXTURE_TEST_CASE(RelayedSnapshotStandsInForTheStore, Fixture) {
  this->log->is_failing = true;
  BOOST_TEST(!this->ReadNewest());
  this->RelaySnapshot("1", 12, 1);
  const auto refused = this->ReadNewest();
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(refused->records.at(0).value.value() == "1");
  BOOST_TEST((refused->end_offset == LogOffset(12)));
  BOOST_TEST((refused->era == StoreEra(1)));
  // Records that follow are relayed.
  this->Relay(12, {"b"}, StoreEra(1));
  BOOST_TEST(this->Read(12).records == Records{"b"},
             boost::test_tools::per_element());
  this->log->is_failing = false;
  this->log->is_silent = true;
  const TimePoint before = SteadyTime{}.Now();
  this->RelaySnapshot("2", 14, 1);
  BOOST_REQUIRE(this->ReadNewest().has_value());
  BOOST_TEST((SteadyTime{}.Now() - before < seconds(2)));
  // None of this was read from the store for others.
  BOOST_TEST(this->reads->empty());
}

// Guards against a holder that lags behind and takes back what this host has
// read, and against a snapshot that has waited for long.
BOOST_FIXTURE_TEST_CASE(OlderSnapshotsAreNotTaken, Fixture) {
  this->log->era = StoreEra(2);
  this->log->records = {"a", "b", "c"};
  BOOST_REQUIRE(this->ReadNewest().has_value());
  this->log->is_failing = true;
  this->RelaySnapshot("1", 2, 2);  // Ends before what was read.
  BOOST_TEST(!this->ReadNewest());
  this->RelaySnapshot("2", 9, 1);  // Of an earlier era.
  BOOST_TEST(!this->ReadNewest());
  this->RelaySnapshot("3", 9, 2, seconds(2));  // Too old.
  BOOST_TEST(!this->ReadNewest());
  this->RelaySnapshot("4", 1, 3);  // Of a later era, in which offsets go back.
  const auto restored = this->ReadNewest();
  BOOST_REQUIRE(restored.has_value());
  BOOST_TEST(restored->records.at(0).value.value() == "4");
  // Each is taken once.
  BOOST_TEST(!this->ReadNewest());
}

// Guards against snapshots without bound on the holder's link, and against a
// read of the store for each host.
BOOST_AUTO_TEST_CASE(SnapshotsOfManyHostsAreBounded) {
  constexpr std::size_t kHosts = 360;
  const RelayedSnapshot snapshot{
      .records = {{.key = "config", .value = std::string(60'000, 'c')}}};
  SnapshotQueue queue;
  TimePoint now(seconds(1000));
  for (std::size_t i = 0; i < kHosts; ++i) {
    queue.OnRequest(HostId("h" + std::to_string(i)));
    queue.OnRequest(HostId("h" + std::to_string(i)));
  }
  queue.OnLinkDown(HostId("h0"));
  std::set<HostId> served;
  std::size_t reads = 0;
  while (queue.BeginRead(now)) {
    BOOST_TEST(!queue.BeginRead(now));
    ++reads;
    const auto hosts = queue.OnRead({.snapshot = snapshot});
    BOOST_TEST(hosts.size() * 60'000 <= RelayPublisher::kMaxPublishedBytes);
    served.insert(hosts.begin(), hosts.end());
    BOOST_TEST(!queue.BeginRead(now + SnapshotQueue::kReadInterval / 2));
    now += SnapshotQueue::kReadInterval;
  }
  BOOST_TEST(served.size() == kHosts - 1);
  BOOST_TEST(reads <= 28U);
  queue.OnRequest(HostId("h1"));
  BOOST_TEST(queue.BeginRead(now));
  BOOST_TEST(queue.OnRead({}).empty());
  BOOST_TEST(!queue.BeginRead(now + SnapshotQueue::kReadInterval));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
