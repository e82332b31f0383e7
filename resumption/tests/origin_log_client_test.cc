#define BOOST_TEST_MODULE origin_log_client
#include "cicadaloft/resumption/origin_log_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

namespace cicadaloft {
namespace {

struct LogState {
  std::vector<std::string> records;
  std::uint64_t first = 0;
  bool is_away = false;
  StoreEra era{3};
  std::string last_topic;
  Duration last_wait = Duration::max();
};

struct FakeStore {
  std::shared_ptr<LogState> log;

  boost::asio::awaitable<Result<NewestRecords>> ReadNewest(std::string) {
    co_return MakeError(ErrorKind::kInternal, "not a keyed topic");
  }
  boost::asio::awaitable<Result<LogReadOutcome>> Read(std::string topic,
                                                      LogOffset from,
                                                      Duration wait) {
    this->log->last_topic = topic;
    this->log->last_wait = wait;
    if (this->log->is_away) {
      co_return MakeError(ErrorKind::kStoreUnanswered, "store: no response");
    }
    if (from.value() < this->log->first) {
      co_return LogReadOutcome(LogTrimmed{
          .first_offset = LogOffset(this->log->first), .era = this->log->era});
    }
    // One record a call.
    const auto& records = this->log->records;
    const LogOffset end(records.size());
    const bool has_record = from < end;
    co_return LogReadOutcome(
        LogRecords{.records = has_record ? std::vector{records.at(from.value())}
                                         : std::vector<std::string>{},
                   .next_offset = has_record ? from.Next() : from,
                   .end_offset = end,
                   .era = this->log->era});
  }
  boost::asio::awaitable<Result<AppendOutcome>> AppendAt(std::string,
                                                         LogOffset,
                                                         std::string) {
    co_return MakeError(ErrorKind::kInternal, "not a conditional topic");
  }
  boost::asio::awaitable<Result<Appended>> Append(std::string topic,
                                                  std::string record) {
    this->log->last_topic = topic;
    if (this->log->is_away) {
      co_return MakeError(ErrorKind::kStoreUnavailable, "store: status 503");
    }
    this->log->records.push_back(std::move(record));
    co_return Appended{.offset = LogOffset(this->log->records.size() - 1),
                       .era = this->log->era};
  }
};

class Fixture {
 public:
  template <typename Call>
  OriginEvent Execute(const Call& call) {
    this->context.restart();
    auto future = boost::asio::co_spawn(
        this->context, this->client.Execute(call), boost::asio::use_future);
    this->context.run();
    return future.get();
  }

  std::shared_ptr<LogState> log = std::make_shared<LogState>();
  std::vector<Error> errors;

 private:
  boost::asio::io_context context;
  OriginLogClient<FakeStore> client{
      FakeStore{this->log},
      [this](const Error& error) { this->errors.push_back(error); }};
};

OriginRecord RecordOf(std::uint64_t stream) {
  return OriginRecord{
      .stream = {.high = stream, .low = ~stream},
      .origin = {.service = ServiceId("s"), .software = SoftwareVersion("v1")}};
}

OriginEvent Read(std::vector<OriginRecord> records,
                 std::uint64_t next,
                 std::uint64_t end) {
  return OriginsRead{.records = std::move(records),
                     .next = LogOffset(next),
                     .end = LogOffset(end),
                     .era = StoreEra(3)};
}

// Guards against records that other hosts don't find, and against a read that
// passes for complete before the end of the log.
BOOST_AUTO_TEST_CASE(AppendedBatchesAreReadOneByOne) {
  Fixture fixture;
  const OriginEvent acknowledged =
      OriginAppendEnded{.is_acknowledged = true, .era = StoreEra(3)};
  BOOST_TEST((fixture.Execute(AppendOrigins{{RecordOf(1), RecordOf(2)}}) ==
              acknowledged));
  BOOST_TEST((fixture.Execute(AppendOrigins{{RecordOf(3)}}) == acknowledged));
  BOOST_TEST(fixture.log->last_topic == "cicadaloft.stream-origins");
  BOOST_TEST((fixture.Execute(ReadOrigins{}) ==
              Read({RecordOf(1), RecordOf(2)}, 1, 2)));
  BOOST_TEST((fixture.Execute(ReadOrigins{.from = LogOffset(1)}) ==
              Read({RecordOf(3)}, 2, 2)));
  BOOST_TEST(
      (fixture.Execute(ReadOrigins{.from = LogOffset(2)}) == Read({}, 2, 2)));
  BOOST_TEST(fixture.log->last_topic == "cicadaloft.stream-origins");
  BOOST_TEST((fixture.log->last_wait == Duration::zero()));
  BOOST_TEST(fixture.errors.empty());
}

// Guards against one odd record that hides the others, or that nobody hears of.
BOOST_AUTO_TEST_CASE(MalformedRecordIsReportedAndPassedOver) {
  Fixture fixture;
  fixture.log->records = {"odd", EncodeOriginRecords({RecordOf(1)})};
  BOOST_TEST((fixture.Execute(ReadOrigins{}) == Read({}, 1, 2)));
  BOOST_REQUIRE(fixture.errors.size() == 1U);
  BOOST_TEST((fixture.errors.front().kind == ErrorKind::kRecordMalformed));
  BOOST_TEST((fixture.Execute(ReadOrigins{.from = LogOffset(1)}) ==
              Read({RecordOf(1)}, 2, 2)));
  BOOST_TEST(fixture.errors.size() == 1U);
}

// Guards against a store that is away being taken for one without records.
BOOST_AUTO_TEST_CASE(FailuresAndTrimsAreToldApart) {
  Fixture fixture;
  fixture.log->first = 7;
  BOOST_TEST(
      (fixture.Execute(ReadOrigins{.from = LogOffset(3)}) ==
       OriginEvent(OriginsTrimmed{.first = LogOffset(7), .era = StoreEra(3)})));
  fixture.log->is_away = true;
  BOOST_TEST(
      (fixture.Execute(ReadOrigins{}) == OriginEvent(OriginReadFailed{})));
  BOOST_TEST((fixture.Execute(AppendOrigins{{RecordOf(1)}}) ==
              OriginEvent(OriginAppendEnded{.is_acknowledged = false})));
}

}  // namespace
}  // namespace cicadaloft
