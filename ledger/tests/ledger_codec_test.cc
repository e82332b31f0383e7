#define BOOST_TEST_MODULE ledger_codec
#include <boost/test/unit_test.hpp>

#include "cicadaloft/ledger/ledger_codec.h"

namespace cicadaloft {
namespace {

const Member kWriter{.host = HostId("h1"), .incarnation = Incarnation(1)};

LogRecord MakeRecord(std::uint64_t sequence, RecordBody body) {
  return LogRecord{.writer = kWriter,
                   .sequence = SequenceNumber(sequence),
                   .body = std::move(body)};
}

Ticket MakeTicket() {
  return Ticket{
      .number = TicketNumber(1),
      .author = "a",
      .items = {
          DataCentre{.id = DataCentreId("dc"), .region = RegionId("r")},
          Customer{.id = CustomerId("c"),
                   .requests_per_second = 0.1,
                   .burst_requests = 10},
          BackEnd{.id = BackEndId("b")},
          Target{.id = TargetId("t"),
                 .back_end = BackEndId("b"),
                 .data_centre = DataCentreId("dc"),
                 .address = "127.0.0.1:1",
                 .memory_mib = 10},
          ModelRoute{.model = ModelId("m"),
                     .back_end = BackEndId("b"),
                     .memory_mib = 5},
      }};
}

/// A ledger with something in each of its parts.
Ledger MakeLedger() {
  const ClaimKey key{.customer = CustomerId("c"),
                     .idempotency_key = "\xff no UTF-8"};
  const std::vector<RecordBody> bodies = {
      JoinRecord{.member = kWriter,
                 .data_centre = DataCentreId("dc"),
                 .peer_address = "127.0.0.1:2"},
      TicketRecord{.ticket = MakeTicket()},
      TicketRecord{.ticket = MakeTicket()},
      TargetInstanceRecord{.target = TargetId("t"),
                           .instance = TargetInstance(3)},
      PlacementRecord{.target = TargetId("t"),
                      .model = ModelId("m"),
                      .instance = TargetInstance(3)},
      ClaimRecord{.key = key,
                  .fingerprint = ~std::uint64_t{0},
                  .request = RequestId("r"),
                  .runner = kWriter},
      ClaimOutcomeRecord{.key = key,
                         .request = RequestId("r"),
                         .outcome = ClaimOutcome::kRan,
                         .http_status = 201},
  };
  Ledger ledger;
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    ledger = Apply(std::move(ledger),
                   PlacedRecord{.offset = LogOffset(i),
                                .record = MakeRecord(i + 1, bodies[i])})
                 .state;
  }
  return ledger;
}

BOOST_AUTO_TEST_CASE(AWholeLedgerIsReadAsWritten) {
  const Ledger ledger = MakeLedger();
  BOOST_REQUIRE(ledger.claims().claims().size() == 1);
  BOOST_REQUIRE(ledger.placements().ReplicasOf(ModelId("m")).empty());
  BOOST_REQUIRE(ledger.placements().HoldersOf(ModelId("m")).size() == 1);
  const Result<Ledger> again = DecodeLedger(EncodeLedger(ledger));
  BOOST_REQUIRE(IsOk(again));
  BOOST_TEST((ValueOf(again) == ledger));
  BOOST_TEST(EncodeLedger(ValueOf(again)) == EncodeLedger(ledger));
}

BOOST_AUTO_TEST_CASE(ACheckpointIsOnlyTakenWithItsDigest) {
  const auto state = std::make_shared<const Ledger>(MakeLedger());
  std::string text = EncodeRecord(
      MakeRecord(1, CheckpointRecord{.offset = state->next(), .state = state}));
  const LogRecord whole = DecodeRecord(text);
  BOOST_REQUIRE(std::holds_alternative<CheckpointRecord>(whole.body));
  BOOST_TEST((*std::get<CheckpointRecord>(whole.body).state == *state));
  text.replace(text.find("127.0.0.1:2"), 11, "127.0.0.1:3");
  const LogRecord changed = DecodeRecord(text);
  BOOST_REQUIRE(std::holds_alternative<UnreadableRecord>(changed.body));
  BOOST_TEST(std::get<UnreadableRecord>(changed.body).reason ==
             "body.checkpoint: expected the state to have its digest");
}

BOOST_AUTO_TEST_CASE(ACheckpointNamesItsStatesOffset) {
  const auto state = std::make_shared<const Ledger>(MakeLedger());
  const LogRecord record = DecodeRecord(EncodeRecord(MakeRecord(
      1, CheckpointRecord{.offset = state->next().Next(), .state = state})));
  BOOST_TEST(std::holds_alternative<UnreadableRecord>(record.body));
}

BOOST_AUTO_TEST_CASE(AnUnreadableRecordKeepsItsWriterIfItCan) {
  const LogRecord known = DecodeRecord(
      R"({"writer": {"host": "h1", "incarnation": 1}, "sequence": 5,
          "body": {"of_a_later_release": {}}})");
  BOOST_TEST((known.writer == kWriter));
  BOOST_TEST((known.sequence == SequenceNumber(5)));
  BOOST_TEST(std::holds_alternative<UnreadableRecord>(known.body));
  const LogRecord unknown = DecodeRecord("{");
  BOOST_TEST((unknown.sequence == SequenceNumber()));
  BOOST_TEST(std::holds_alternative<UnreadableRecord>(unknown.body));
}

}  // namespace
}  // namespace cicadaloft
