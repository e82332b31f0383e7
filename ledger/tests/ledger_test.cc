#define BOOST_TEST_MODULE ledger
#include <boost/test/unit_test.hpp>

#include "cicadaloft/ledger/ledger.h"

namespace cicadaloft {
namespace {

const Member kWriter{.host = HostId("h1"), .incarnation = Incarnation(1)};

PlacedRecord Place(std::uint64_t offset,
                   std::uint64_t sequence,
                   RecordBody body,
                   Member writer = kWriter) {
  return PlacedRecord{.offset = LogOffset(offset),
                      .record = LogRecord{.writer = std::move(writer),
                                          .sequence = SequenceNumber(sequence),
                                          .body = std::move(body)}};
}

TicketRecord MakeTicket(std::uint64_t number, double rate) {
  return TicketRecord{.ticket =
                          Ticket{.number = TicketNumber(number),
                                 .author = "a",
                                 .items = {Customer{.id = CustomerId("c"),
                                                    .requests_per_second = rate,
                                                    .burst_requests = 1}}}};
}

JoinRecord MakeJoin(const Member& member) {
  return JoinRecord{.member = member,
                    .data_centre = DataCentreId("dc"),
                    .peer_address = "127.0.0.1:1"};
}

BOOST_AUTO_TEST_CASE(ARecordSentTwiceCountsOnce) {
  auto [ledger, rejected] = ApplyAll(
      Ledger(), {Place(0, 1, MakeJoin(kWriter)), Place(1, 2, MakeTicket(1, 1)),
                 Place(2, 2, MakeTicket(2, 2))});
  BOOST_TEST(rejected.size() == 1);
  BOOST_TEST(ledger.config().Find<Customer>("c")->requests_per_second == 1);
  BOOST_TEST((ledger.next() == LogOffset(3)));
}

BOOST_AUTO_TEST_CASE(RecordsComeInAnyPiecesAndOnlyCountInOrder) {
  const std::vector<PlacedRecord> records = {
      Place(0, 1, MakeJoin(kWriter)), Place(1, 2, MakeTicket(1, 1)),
      Place(2, 3, MakeTicket(2, 2)), Place(3, 4, MakeTicket(3, 3))};
  const Ledger whole = ApplyAll(Ledger(), records).state;
  Ledger pieces = ApplyAll(Ledger(), {records[0], records[2]}).state;
  BOOST_TEST((pieces.next() == LogOffset(1)));
  pieces = ApplyAll(std::move(pieces), records).state;
  pieces = ApplyAll(std::move(pieces), records).state;
  BOOST_TEST((pieces == whole));
}

BOOST_AUTO_TEST_CASE(AWriterWithoutAPlaceIsNotHeard) {
  const Member stranger{.host = HostId("h2"), .incarnation = Incarnation(1)};
  const auto step =
      ApplyAll(Ledger(), {Place(0, 1, MakeJoin(kWriter)),
                          Place(1, 1, MakeTicket(1, 1), stranger)});
  BOOST_TEST(step.effects.size() == 1);
  BOOST_TEST((step.state.config().FindOutcome(TicketNumber(1)) == nullptr));
}

BOOST_AUTO_TEST_CASE(OnlyTheOwnerOfABucketClaims) {
  const Member second{.host = HostId("h2"), .incarnation = Incarnation(1)};
  const ClaimKey key{.customer = CustomerId("c"), .idempotency_key = "k"};
  const ClaimRecord claim{
      .key = key, .request = RequestId("r"), .runner = second};
  const auto step =
      ApplyAll(Ledger(), {Place(0, 1, MakeJoin(kWriter)),
                          Place(1, 1, MakeJoin(second), second),
                          Place(2, 2, claim, second), Place(3, 2, claim)});
  BOOST_TEST(step.effects.size() == 1);
  BOOST_TEST((step.state.claims().Find(key)->offset == LogOffset(3)));
}

}  // namespace
}  // namespace cicadaloft
