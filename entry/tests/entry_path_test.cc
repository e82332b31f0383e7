#define BOOST_TEST_MODULE entry_path
#include <boost/test/unit_test.hpp>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

BOOST_AUTO_TEST_CASE(ARequestRunsOnAConfirmedReplica) {
  EntryFixture entry;
  entry.SetUp();
  entry.Load("e2", "m");
  const auto sent = Only<Dispatch>(entry.Handle(ModelRequest("r1")));
  BOOST_REQUIRE(sent.size() == 1);
  BOOST_TEST(sent[0].target.value() == "e2");
  BOOST_TEST(
      Refusals(entry.End(sent[0], AttemptOutcome::kCompleted, 200)).empty());
  BOOST_TEST(entry.state.OpenRequests() == 0);
}

BOOST_AUTO_TEST_CASE(AWaitingRequestRunsOnceTheModelIsConfirmed) {
  EntryFixture entry;
  entry.SetUp();
  BOOST_TEST(Only<Dispatch>(entry.Handle(ModelRequest("r1"))).empty());
  BOOST_TEST(Only<Dispatch>(entry.Load("e1", "m")).size() == 1);
}

BOOST_AUTO_TEST_CASE(AWaitingRequestIsRefusedAtItsDeadline) {
  EntryFixture entry;
  entry.SetUp();
  entry.Handle(ModelRequest("r1"));
  const auto refused = Refusals(entry.Pass(seconds(11)));
  BOOST_TEST((refused == std::vector{ErrorKind::kDeadlineExceeded}));
}

BOOST_AUTO_TEST_CASE(NothingIsTakenBeforeAConfiguration) {
  EntryFixture entry;
  BOOST_TEST(!entry.state.IsReady());
  const auto refused = Refusals(entry.Handle(ModelRequest("r1")));
  BOOST_TEST((refused == std::vector{ErrorKind::kNotConfigured}));
}

BOOST_AUTO_TEST_CASE(AWithdrawnKeyStopsAtTheNextRequest) {
  EntryFixture entry;
  entry.SetUp();
  entry.Load("e1", "m");
  entry.Handle(ModelRequest("r1"));
  entry.RelayTicket({}, {ItemRef{.kind = ItemKind::kKey, .name = "k"}});
  const auto refused = Refusals(entry.Handle(ModelRequest("r2")));
  BOOST_TEST((refused == std::vector{ErrorKind::kUnauthenticated}));
}

BOOST_AUTO_TEST_CASE(AStopRefusesNewWorkAndDrains) {
  EntryFixture entry;
  entry.SetUp();
  entry.Load("e1", "m");
  const auto sent = Only<Dispatch>(entry.Handle(ModelRequest("r1")));
  BOOST_TEST(Only<EntryDrained>(entry.Handle(EntryStopRequested{})).empty());
  BOOST_TEST(!entry.state.IsReady());
  BOOST_TEST((Refusals(entry.Handle(ModelRequest("r2"))) ==
              std::vector{ErrorKind::kStopping}));
  const auto end = entry.End(sent.at(0), AttemptOutcome::kCompleted, 200);
  BOOST_TEST(Only<EntryDrained>(end).size() == 1);
}

BOOST_AUTO_TEST_CASE(AGapInTheRecordsIsAskedFor) {
  EntryFixture entry;
  entry.SetUp();
  const LogOffset next = entry.state.ledger().next();
  const auto asked = Sent<StateRequest>(
      entry.Receive(RelayRecords{.next = LogOffset(next.value() + 5)}));
  BOOST_REQUIRE(asked.size() == 1);
  BOOST_TEST((asked[0].second.from == next));
}

}  // namespace
}  // namespace cicadaloft
