#define BOOST_TEST_MODULE relay
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "cicadaloft/relay/relay_buffer.h"
#include "cicadaloft/relay/relay_publisher.h"
#include "cicadaloft/relay/relay_reader.h"
#include "cicadaloft/relay/repeated_records.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(seconds(1000));
constexpr Duration kMaxAge = milliseconds(1800);
constexpr Duration kInterval = milliseconds(400);
const HostId kHost("h");

RelayReceived Received(std::uint64_t from,
                       std::vector<std::string> records,
                       TimePoint complete_at = kNow) {
  return RelayReceived{.topic = {.topic = "t",
                                 .from = LogOffset(from),
                                 .records = std::move(records)},
                       .complete_at = complete_at};
}

StoreRead ReadOf(std::uint64_t from, std::vector<std::string> records) {
  return StoreRead{.topic = "t",
                   .from = LogOffset(from),
                   .records = std::move(records),
                   .sent_at = kNow};
}

using Records = std::vector<std::string>;

BOOST_AUTO_TEST_CASE(OverlappingMessagesAddEachRecordOnce) {
  RelayBuffer buffer(kMaxAge);
  buffer.Add(Received(5, {"5", "6"}));
  buffer.Add(Received(6, {"6", "7"}));
  buffer.Add(Received(5, {"5"}));
  BOOST_TEST(!buffer.Covers(LogOffset(4)));
  BOOST_TEST((buffer.RecordsFrom(LogOffset(5)) == Records{"5", "6", "7"}));
  BOOST_TEST((buffer.RecordsFrom(LogOffset(7)) == Records{"7"}));
  BOOST_TEST(buffer.RecordsFrom(LogOffset(8)).empty());
  // This host has read more than the one that relays.
  BOOST_TEST(buffer.RecordsFrom(LogOffset(9)).empty());
}

// Guards against records that are missing because a message was lost.
BOOST_AUTO_TEST_CASE(BufferStartsAgainAfterGap) {
  RelayBuffer buffer(kMaxAge);
  buffer.Add(Received(5, {"5"}));
  buffer.Add(Received(8, {"8"}));
  BOOST_TEST(!buffer.Covers(LogOffset(6)));
  BOOST_TEST(!buffer.Covers(LogOffset(7)));
  BOOST_TEST((buffer.RecordsFrom(LogOffset(8)) == Records{"8"}));
}

BOOST_AUTO_TEST_CASE(OldMessagesDoNotMakeKnowledgeFresh) {
  RelayBuffer buffer(kMaxAge);
  BOOST_TEST(!buffer.IsFresh(kNow));
  buffer.Add(Received(5, {}, kNow - kMaxAge));
  BOOST_TEST(!buffer.IsFresh(kNow));
  buffer.Add(Received(5, {}, kNow));
  buffer.Add(Received(5, {}, kNow - seconds(1)));
  BOOST_TEST(buffer.IsFresh(kNow + kMaxAge - milliseconds(1)));
  BOOST_TEST(!buffer.IsFresh(kNow + kMaxAge));
}

BOOST_AUTO_TEST_CASE(BufferIsBounded) {
  RelayBuffer buffer(kMaxAge);
  const Records many(RelayBuffer::kMaxRecords, "x");
  buffer.Add(Received(0, many));
  buffer.Add(Received(RelayBuffer::kMaxRecords, {"y"}));
  BOOST_TEST(!buffer.Covers(LogOffset(0)));
  BOOST_TEST(buffer.RecordsFrom(LogOffset(1)).size() ==
             RelayBuffer::kMaxRecords);
}

BOOST_AUTO_TEST_CASE(PublisherCollectsReadsBetweenMessages) {
  RelayPublisher publisher;
  publisher.OnRead(ReadOf(3, {"3"}));
  BOOST_TEST(!publisher.Publish(kInterval, kNow).has_value());
  const RelayWelcome welcome =
      publisher.OnRequest({.host = kHost, .number = 7}, kNow);
  BOOST_TEST(welcome.request_number == 7U);
  publisher.OnRead(ReadOf(4, {"4"}));
  publisher.OnRead(ReadOf(5, {"5", "6"}));
  const auto first = publisher.Publish(kInterval, kNow);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST((first->topics.at(0).records == Records{"4", "5", "6"}));
  BOOST_TEST((first->topics.at(0).from == LogOffset(4)));
  publisher.OnRead(ReadOf(7, {}));
  BOOST_TEST(!publisher.Publish(kInterval, kNow + milliseconds(399)));
  const auto second = publisher.Publish(kInterval, kNow + kInterval);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->topics.at(0).records.empty());
  BOOST_TEST((second->topics.at(0).from == LogOffset(7)));
  // Without a read the age of the knowledge grows, and there is no message.
  BOOST_TEST(!publisher.Publish(kInterval, kNow + 2 * kInterval));
  publisher.OnLinkDown(kHost);
  publisher.OnRead(ReadOf(7, {"7"}));
  BOOST_TEST(!publisher.Publish(kInterval, kNow + 3 * kInterval));
}

// Guards against replies of the holder that wait behind relayed records: a
// configuration, or many changes at once, times the number of hosts.
BOOST_AUTO_TEST_CASE(RecordsThatWouldFillTheHoldersLinkAreLeftOut) {
  for (const std::size_t hosts : {6U, 76U, 195U, 360U}) {
    RelayPublisher publisher;
    for (std::size_t i = 0; i < hosts; ++i) {
      publisher.OnRequest(
          {.host = HostId("h" + std::to_string(i)), .number = 1}, kNow);
    }
    std::uint64_t offset = 0;
    for (int publish = 1; publish < 20; ++publish) {
      Records records(200, std::string(450, 'r'));
      records.front() = std::string(80'000, 'c');
      publisher.OnRead(ReadOf(offset, records));
      offset += records.size();
      const auto relay =
          publisher.Publish(kInterval, kNow + publish * kInterval);
      BOOST_REQUIRE(relay.has_value());
      const RelayedTopic& topic = relay->topics.at(0);
      std::size_t bytes = 0;
      for (const std::string& record : topic.records) {
        BOOST_TEST(record.size() <= RelayPublisher::kMaxRecordBytes);
        bytes += record.size();
      }
      BOOST_TEST(bytes * hosts <= RelayPublisher::kMaxPublishedBytes);
      // Hosts see by the offset that records are missing.
      BOOST_TEST((topic.End() == LogOffset(offset)));
    }
  }
}

// Guards against reads by all hosts because of a moment with many changes.
BOOST_AUTO_TEST_CASE(RecordsThatDoNotFitFollowWithTheNextMessage) {
  RelayPublisher publisher;
  constexpr std::size_t kHosts = 400;
  for (std::size_t i = 0; i < kHosts; ++i) {
    publisher.OnRequest({.host = HostId("h" + std::to_string(i)), .number = 1},
                        kNow);
  }
  publisher.OnRead(ReadOf(0, {}));
  publisher.Publish(kInterval, kNow + kInterval);
  // 2,000 bytes fit into a message.
  const Records records(5, std::string(600, 'r'));
  StoreRead read = ReadOf(0, records);
  read.sent_at = kNow + kInterval;
  publisher.OnRead(read);
  const auto first = publisher.Publish(kInterval, kNow + 2 * kInterval);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(first->topics.at(0).records.size() == 3U);
  // Not all that the read returned.
  BOOST_TEST((first->topics.at(0).complete_at == kNow.time_since_epoch()));
  const auto second = publisher.Publish(kInterval, kNow + 3 * kInterval);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((second->topics.at(0).from == LogOffset(3)));
  BOOST_TEST(second->topics.at(0).records.size() == 2U);
  BOOST_TEST((second->topics.at(0).complete_at ==
              (kNow + kInterval).time_since_epoch()));
  BOOST_TEST(publisher.TakeLeftOut().empty());
}

// Guards against a record that no message can carry, behind which nothing would
// be relayed, and reads would pile up.
BOOST_AUTO_TEST_CASE(RecordLargerThanAMessageIsLeftOut) {
  for (const bool has_subscribed_before : {true, false}) {
    RelayPublisher publisher;
    const auto subscribe = [&](int count) {
      for (int i = 0; i < count; ++i) {
        publisher.OnRequest(
            {.host = HostId("h" + std::to_string(i)), .number = 1}, kNow);
      }
    };
    subscribe(has_subscribed_before ? 360 : 6);
    publisher.OnRead(ReadOf(4, {std::string(3'000, 'r')}));
    subscribe(360);
    const auto relay = publisher.Publish(kInterval, kNow);
    BOOST_REQUIRE(relay.has_value());
    BOOST_TEST((relay->topics.at(0).from == LogOffset(5)));
    BOOST_TEST(relay->topics.at(0).records.empty());
    BOOST_TEST((relay->topics.at(0).complete_at == kNow.time_since_epoch()));
    publisher.OnRead(ReadOf(5, {"5"}));
    const auto next = publisher.Publish(kInterval, kNow + kInterval);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST((next->topics.at(0).records == Records{"5"}));
  }
}

// After a new snapshot the records before it are unknown to the publisher.
BOOST_AUTO_TEST_CASE(PublisherStartsAgainAfterSnapshot) {
  RelayPublisher publisher;
  publisher.OnRequest({.host = kHost, .number = 1}, kNow);
  publisher.OnRead(ReadOf(4, {"4"}));
  publisher.OnRead(ReadOf(9, {}));
  publisher.OnRead(ReadOf(9, {"9"}));
  const auto relay = publisher.Publish(kInterval, kNow);
  BOOST_REQUIRE(relay.has_value());
  BOOST_TEST((relay->topics.at(0).from == LogOffset(9)));
  BOOST_TEST((relay->topics.at(0).records == Records{"9"}));
}

// Guards against knowledge that counts as newer than it is: a delayed message
// doesn't change the relation of the clocks, and the welcome's way counts as
// if all of it had been on the way back.
BOOST_AUTO_TEST_CASE(HolderTimesAreNeverTakenForLaterThanTheyAre) {
  RelayClock clock;
  const Duration holder_ahead = seconds(5000);
  const auto request = clock.Request(kHost, kNow);
  BOOST_REQUIRE(request.has_value());
  BOOST_TEST(!clock.IsRelaying());
  BOOST_TEST(!clock.ToLocal(Duration::zero()).has_value());
  // The request takes 300 ms, the welcome 2 s.
  const TimePoint answered_at = kNow + milliseconds(300);
  clock.OnWelcome(
      {.request_number = request->number,
       .holder_time = answered_at.time_since_epoch() + holder_ahead});
  const TimePoint read_at = kNow + seconds(10);
  const auto local = clock.ToLocal(read_at.time_since_epoch() + holder_ahead);
  BOOST_REQUIRE(local.has_value());
  BOOST_TEST((*local <= read_at));
  BOOST_TEST((*local == read_at - milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(WelcomeOfAnEarlierRequestIsIgnored) {
  RelayClock clock;
  const auto first = clock.Request(kHost, kNow);
  BOOST_TEST(!clock.Request(kHost, kNow + seconds(1)).has_value());
  const auto second = clock.Request(kHost, kNow + RelayClock::kRequestInterval);
  BOOST_REQUIRE(second.has_value());
  clock.OnWelcome({.request_number = first->number});
  BOOST_TEST(!clock.IsRelaying());
  clock.OnWelcome({.request_number = second->number});
  BOOST_TEST(clock.IsRelaying());
}

// A holder of an earlier version closes the link when it gets the request.
BOOST_AUTO_TEST_CASE(HolderThatClosesTheLinkOnTheRequestIsNotAskedAgain) {
  RelayClock clock;
  BOOST_TEST(clock.Request(kHost, kNow).has_value());
  clock.OnLinkDown();
  BOOST_TEST(!clock.Request(kHost, kNow + seconds(60)).has_value());
  clock.OnHolderChanged();
  const auto request = clock.Request(kHost, kNow + seconds(61));
  BOOST_REQUIRE(request.has_value());
  clock.OnWelcome({.request_number = request->number});
  clock.OnLinkDown();
  BOOST_TEST(!clock.IsRelaying());
  BOOST_TEST(clock.Request(kHost, kNow + seconds(62)).has_value());
}

// Guards against a host that takes a record for known that it has never seen:
// it was compared with one that isn't the previous one of its key.
BOOST_AUTO_TEST_CASE(OnlyRepetitionsOfThePreviousRecordCountAsRepeated) {
  RepeatedRecords records;
  records.OnRead(StoreEra(), LogOffset(5), 4);
  BOOST_TEST(!records.IsRepeated("a", "1"));
  BOOST_TEST(records.IsRepeated("a", "1"));
  BOOST_TEST(!records.IsRepeated("b", "1"));
  BOOST_TEST(!records.IsRepeated("a", "2"));
  records.OnRead(StoreEra(), LogOffset(9), 4);
  BOOST_TEST(records.IsRepeated("a", "2"));
  BOOST_TEST(!records.IsRepeated("a", "1"));
  BOOST_TEST(!records.IsRepeated("a", std::nullopt));
  BOOST_TEST(!records.IsRepeated("a", "1"));
  // A gap: the records between may have changed the key.
  records.OnRead(StoreEra(), LogOffset(14), 1);
  BOOST_TEST(!records.IsRepeated("a", "1"));
}

BOOST_AUTO_TEST_CASE(ReaderCountsItsIntervalFromTheSendingOfReads) {
  RelayReader reader({.min_read_interval = milliseconds(900),
                      .reader_interval = milliseconds(300),
                      .reader_wait = milliseconds(200),
                      .max_relay_age = kMaxAge});
  const TimePoint ended_at = kNow + milliseconds(250);
  reader.OnStoreCall(kNow, ended_at);
  const auto next = [&] {
    return reader.Next(LogOffset(0), seconds(3), ended_at + seconds(3),
                       ended_at);
  };
  BOOST_TEST(
      (std::get<WaitForRelay>(next()).until == ended_at + milliseconds(900)));
  reader.OnInput(RelayRole{.is_reader = true});
  BOOST_TEST(
      (std::get<WaitForRelay>(next()).until == kNow + milliseconds(300)));
}

}  // namespace
}  // namespace cicadaloft
