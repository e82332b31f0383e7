#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/relay/relay_buffer.h"
#include "cicadaloft/relay/relay_publisher.h"
#include "cicadaloft/relay/relay_reader.h"
#include "cicadaloft/relay/repeated_records.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Records = std::vector<std::string>;

const TimePoint kNow(seconds(1000));
constexpr Duration kMaxAge = milliseconds(1800);
constexpr Duration kInterval = milliseconds(400);
constexpr Duration kReadInterval = milliseconds(900);
constexpr Duration kWait = milliseconds(3500);

RelayReceived Received(std::uint64_t era, std::uint64_t from, Records records) {
  return RelayReceived{.topic = {.topic = "t",
                                 .from = LogOffset(from),
                                 .records = std::move(records),
                                 .era = StoreEra(era)},
                       .complete_at = kNow};
}

StoreRead ReadOf(std::uint64_t era,
                 std::uint64_t from,
                 Records records,
                 TimePoint sent_at = kNow) {
  return StoreRead{.topic = "t",
                   .from = LogOffset(from),
                   .records = std::move(records),
                   .sent_at = sent_at,
                   .era = StoreEra(era)};
}

RelayReader MakeReader() {
  return RelayReader({.min_read_interval = kReadInterval,
                      .reader_interval = milliseconds(300),
                      .reader_wait = milliseconds(200),
                      .max_relay_age = kMaxAge});
}

RelayReadStep NextOf(const RelayReader& reader, std::uint64_t from) {
  return reader.Next(LogOffset(from), kWait, kNow + kWait, kNow);
}

BOOST_AUTO_TEST_SUITE(relay_eras)

// Guards against a buffer that takes records for known because others had
// their offsets before the store came back.
BOOST_AUTO_TEST_CASE(BufferForgetsAtANewEra) {
  for (const std::uint64_t from : {3U, 6U, 8U}) {
    RelayBuffer buffer(kMaxAge);
    buffer.Add(Received(1, 4, {"4", "5", "6", "7"}));
    buffer.Add(Received(2, from, {"new"}));
    BOOST_TEST(!buffer.Covers(LogOffset(from - 1)));
    BOOST_TEST((buffer.RecordsFrom(LogOffset(from)) == Records{"new"}));
    // A delayed message of the holder before.
    buffer.Add(Received(1, from + 1, {"old"}));
    BOOST_TEST((buffer.RecordsFrom(LogOffset(from)) == Records{"new"}));
  }
}

// Guards against what is relayed of an era before or after that of the records
// that this host has read.
BOOST_AUTO_TEST_CASE(OnlyRelayedRecordsOfTheEraThatWasReadAreUsed) {
  for (const std::uint64_t relayed : {0U, 1U, 2U, 3U}) {
    RelayReader reader = MakeReader();
    reader.OnAnswer(StoreEra(2));
    reader.OnStoreCall(kNow, kNow);
    reader.OnInput(Received(relayed, 4, {"4"}));
    BOOST_TEST_CONTEXT("era " << relayed) {
      BOOST_TEST(std::holds_alternative<AnswerFromRelay>(NextOf(reader, 4)) ==
                 (relayed == 2));
    }
  }
}

// Guards against a delay by the interval between reads until a host learns that
// the store has come back, and against calls without pause if the store goes on
// stating the era before.
BOOST_AUTO_TEST_CASE(RelayOfANewerEraMakesTheHostReadAtOnce) {
  RelayReader reader = MakeReader();
  reader.OnAnswer(StoreEra(2));
  reader.OnStoreCall(kNow, kNow);
  reader.OnInput(Received(3, 9, {}));
  const RelayReadStep step = NextOf(reader, 4);
  const auto* read = std::get_if<ReadFromStore>(&step);
  BOOST_REQUIRE(read != nullptr);
  BOOST_TEST((read->wait == Duration::zero()));
  reader.OnAnswer(StoreEra(2));
  reader.OnStoreCall(kNow, kNow);
  reader.OnInput(Received(3, 9, {"9"}));
  const RelayReadStep repeated = NextOf(reader, 4);
  const auto* wait = std::get_if<WaitForRelay>(&repeated);
  BOOST_REQUIRE(wait != nullptr);
  BOOST_TEST((wait->until == kNow + kReadInterval));
}

// Guards against relays of the holder that mislead hosts before the store came
// back: an earlier era is ignored, and costs no calls.
BOOST_AUTO_TEST_CASE(RelayOfAnEarlierEraIsIgnored) {
  RelayReader reader = MakeReader();
  reader.OnAnswer(StoreEra(2));
  reader.OnStoreCall(kNow, kNow);
  reader.OnInput(Received(1, 4, {"4"}));
  const RelayReadStep step = NextOf(reader, 4);
  const auto* wait = std::get_if<WaitForRelay>(&step);
  BOOST_REQUIRE(wait != nullptr);
  BOOST_TEST((wait->until == kNow + kReadInterval));
}

// Guards against hosts that wait for good for relayed records at their offset,
// since a store that states no era has come back with a lower end.
BOOST_AUTO_TEST_CASE(RelaysOfALogThatEndsLowerAreNoAnswer) {
  RelayReader reader = MakeReader();
  reader.OnStoreCall(kNow - kReadInterval, kNow - kReadInterval);
  const auto relay = [&](std::uint64_t from, Records records, TimePoint at) {
    RelayReceived received = Received(0, from, std::move(records));
    received.complete_at = at;
    reader.OnInput(received);
  };
  const auto reads_at = [&](TimePoint now) {
    return std::holds_alternative<ReadFromStore>(
        reader.Next(LogOffset(8), kWait, now + kWait, now));
  };
  relay(7, {"7"}, kNow);
  // An earlier holder may lag behind.
  relay(5, {}, kNow + seconds(1));
  BOOST_TEST(!reads_at(kNow + seconds(1)));
  relay(5, {}, kNow + seconds(2));
  BOOST_TEST(reads_at(kNow + seconds(2)));
  relay(5, {"5", "6", "7", "8"}, kNow + seconds(3));
  BOOST_TEST(!reads_at(kNow + seconds(3)));
}

// Guards against one message with records of two eras, and against a time at
// which records of the earlier era were complete.
BOOST_AUTO_TEST_CASE(PublisherStartsAnewAtANewEra) {
  for (const std::uint64_t from : {2U, 6U}) {
    RelayPublisher publisher;
    publisher.OnRequest({.host = HostId("h"), .number = 1}, kNow);
    publisher.OnRead(ReadOf(1, 4, {"4", "5"}));
    publisher.OnRead(ReadOf(2, from, {"new"}, TimePoint{}));
    const auto relay = publisher.Publish(kInterval, kNow);
    BOOST_REQUIRE(relay.has_value());
    const RelayedTopic& topic = relay->topics.at(0);
    BOOST_TEST((topic.era == StoreEra(2)));
    BOOST_TEST((topic.from == LogOffset(from)));
    BOOST_TEST((topic.records == Records{"new"}));
    BOOST_TEST((topic.complete_at == Duration::zero()));
    // A delayed answer.
    publisher.OnRead(ReadOf(1, from + 1, {"old"}));
    const auto next = publisher.Publish(kInterval, kNow + kInterval);
    BOOST_TEST((!next || next->topics.at(0).records.empty()));
  }
}

// Guards against relays that never count as recent after a log without an era
// has come back with a lower end.
BOOST_AUTO_TEST_CASE(PublisherForgetsReadsOfALogThatEndsLower) {
  RelayPublisher publisher;
  publisher.OnRequest({.host = HostId("h"), .number = 1}, kNow);
  publisher.OnRead(ReadOf(0, 4, {"4", "5"}));
  publisher.OnRead(ReadOf(0, 2, {}, kNow + seconds(1)));
  const auto relay = publisher.Publish(kInterval, kNow);
  BOOST_REQUIRE(relay.has_value());
  BOOST_TEST((relay->topics.at(0).complete_at ==
              (kNow + seconds(1)).time_since_epoch()));
}

// Guards against a host that takes a record for known that it has never seen:
// the one before it is of the log before the store came back.
BOOST_AUTO_TEST_CASE(RecordsOfAnotherEraAreNotRepeated) {
  RepeatedRecords records;
  records.OnRead(StoreEra(1), LogOffset(5), 1);
  BOOST_TEST(!records.IsRepeated("a", "1"));
  records.OnRead(StoreEra(2), LogOffset(6), 1);
  BOOST_TEST(!records.IsRepeated("a", "1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
