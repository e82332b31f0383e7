#define BOOST_TEST_MODULE entry_faults
#include <boost/test/unit_test.hpp>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

const ClaimKey kClaimKey{.customer = CustomerId("c"), .idempotency_key = "i"};

RequestArrived Reservation(const std::string& id) {
  return RequestArrived{
      .request = RequestId(id),
      .credential = kCredential,
      .call = ServiceCall{.route = RouteId("desk"), .method = "POST"},
      .timeout = seconds(10),
      .idempotency_key = "i",
      .fingerprint = 9};
}

ClaimReply Reply(const std::string& id, ClaimVerdict verdict) {
  return ClaimReply{.key = kClaimKey,
                    .request = RequestId(id),
                    .verdict = verdict,
                    .http_status = 201};
}

struct LoadedFixture : EntryFixture {
  LoadedFixture() {
    this->SetUp();
    this->Load("e1", "m");
    this->Load("e2", "m");
  }

  Dispatch Start(const RequestArrived& request) {
    const auto sent = Only<Dispatch>(this->Handle(request));
    BOOST_REQUIRE(sent.size() == 1);
    return sent[0];
  }
};

BOOST_FIXTURE_TEST_CASE(AnIdempotentRequestGoesToAnotherTarget, LoadedFixture) {
  const Dispatch first = this->Start(ModelRequest("r1"));
  const auto again =
      Only<Dispatch>(this->End(first, AttemptOutcome::kDiedUnstarted));
  BOOST_REQUIRE(again.size() == 1);
  BOOST_TEST((again[0].target != first.target));
  BOOST_TEST((again[0].attempt > first.attempt));
}

BOOST_FIXTURE_TEST_CASE(ASecondDeathBarsTheContent, LoadedFixture) {
  const Dispatch first = this->Start(ModelRequest("r1"));
  const auto again =
      Only<Dispatch>(this->End(first, AttemptOutcome::kDiedUnstarted));
  const auto end = this->End(again.at(0), AttemptOutcome::kDiedUnstarted);
  BOOST_REQUIRE(Only<Refuse>(end).size() == 1);
  BOOST_TEST((Only<Refuse>(end)[0].error.kind == ErrorKind::kPoisonRequest));
  BOOST_TEST((Only<Refuse>(end)[0].run_state == RunState::kUnknown));
  RequestArrived same = ModelRequest("r1");
  const RequestArrived repeat{.request = RequestId("r2"),
                              .credential = same.credential,
                              .call = same.call,
                              .timeout = same.timeout,
                              .fingerprint = same.fingerprint};
  BOOST_TEST((Refusals(this->Handle(repeat)) ==
              std::vector{ErrorKind::kPoisonRequest}));
}

BOOST_FIXTURE_TEST_CASE(AReservationRunsAtMostOnce, LoadedFixture) {
  const Dispatch sent = this->Start(ServiceRequest("r1", "POST"));
  const auto end = this->End(sent, AttemptOutcome::kDiedUnstarted);
  BOOST_TEST(Only<Dispatch>(end).empty());
  BOOST_TEST((Refusals(end) == std::vector{ErrorKind::kTargetFailed}));
  BOOST_TEST((Only<Refuse>(end)[0].run_state == RunState::kUnknown));
}

BOOST_FIXTURE_TEST_CASE(AReservationThatWasNotSentIsSentLater, LoadedFixture) {
  const Dispatch sent = this->Start(ServiceRequest("r1", "POST"));
  const auto again = this->End(sent, AttemptOutcome::kNotSent);
  BOOST_TEST(Refusals(again).empty());
  BOOST_TEST(Only<Dispatch>(again).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(AKeyedReservationAwaitsItsClaim, LoadedFixture) {
  const auto arrival = this->Handle(Reservation("r1"));
  BOOST_TEST(Only<Dispatch>(arrival).empty());
  BOOST_TEST(Sent<ClaimAsk>(arrival).size() == 1);
  BOOST_TEST(Sent<ClaimAsk>(this->Pass(milliseconds(600))).size() == 1);
  const auto sent =
      Only<Dispatch>(this->Receive(Reply("r1", ClaimVerdict::kGranted)));
  BOOST_REQUIRE(sent.size() == 1);
  const auto ends =
      Sent<ClaimFinished>(this->End(sent[0], AttemptOutcome::kCompleted, 201));
  BOOST_REQUIRE(ends.size() == 1);
  BOOST_TEST((ends[0].second.outcome.outcome == ClaimOutcome::kRan));
  // A second grant of a lost answer's resend frees nothing.
  BOOST_TEST(
      Sent<ClaimFinished>(this->Receive(Reply("r1", ClaimVerdict::kGranted)))
          .empty());
}

BOOST_FIXTURE_TEST_CASE(AClaimsEndIsToldUntilTheLedgerShowsIt, LoadedFixture) {
  this->Handle(Reservation("r1"));
  this->Relay(ClaimRecord{.key = kClaimKey,
                          .fingerprint = 9,
                          .request = RequestId("r1"),
                          .runner = kSelf});
  const auto sent =
      Only<Dispatch>(this->Receive(Reply("r1", ClaimVerdict::kGranted)));
  this->End(sent.at(0), AttemptOutcome::kDiedUnstarted);
  const auto again = Sent<ClaimFinished>(this->Pass(seconds(1)));
  BOOST_REQUIRE(!again.empty());
  BOOST_TEST((again[0].second.outcome.outcome == ClaimOutcome::kUnknown));
  this->Relay(again[0].second.outcome);
  BOOST_TEST(Sent<ClaimFinished>(this->Pass(seconds(30))).empty());
}

BOOST_FIXTURE_TEST_CASE(ALateClaimIsGivenBackUnrun, LoadedFixture) {
  this->Handle(Reservation("r1"));
  BOOST_TEST((Refusals(this->Pass(seconds(11))) ==
              std::vector{ErrorKind::kClaimsUnavailable}));
  const auto ends =
      Sent<ClaimFinished>(this->Receive(Reply("r1", ClaimVerdict::kGranted)));
  BOOST_REQUIRE(ends.size() == 1);
  BOOST_TEST((ends[0].second.outcome.outcome == ClaimOutcome::kNotRun));
}

BOOST_FIXTURE_TEST_CASE(VerdictsBecomeErrors, LoadedFixture) {
  const std::vector<std::pair<ClaimVerdict, ErrorKind>> rows = {
      {ClaimVerdict::kRunning, ErrorKind::kClaimRunning},
      {ClaimVerdict::kFinished, ErrorKind::kClaimFinished},
      {ClaimVerdict::kUnknown, ErrorKind::kClaimUnknown},
      {ClaimVerdict::kMismatch, ErrorKind::kClaimMismatch},
      {ClaimVerdict::kUnavailable, ErrorKind::kClaimsUnavailable}};
  for (const auto& [verdict, kind] : rows) {
    const std::string id = "r" + std::to_string(static_cast<int>(verdict));
    this->Handle(Reservation(id));
    BOOST_TEST(
        (Refusals(this->Receive(Reply(id, verdict))) == std::vector{kind}));
  }
}

BOOST_FIXTURE_TEST_CASE(AFreshTargetGetsItsInitialConcurrencyOnly,
                        EntryFixture) {
  this->SetUp();
  this->Load("e1", "m");
  for (int i = 0; i < 6; ++i) {
    this->Handle(ModelRequest("r" + std::to_string(i)));
  }
  const auto sent = Only<Dispatch>(this->all);
  BOOST_REQUIRE(sent.size() == 2);
  this->End(sent[0], AttemptOutcome::kCompleted, 200);
  const auto after = this->End(sent[1], AttemptOutcome::kCompleted, 200);
  BOOST_TEST(Only<Dispatch>(after).size() == 2);  // Now three at once.
}

BOOST_FIXTURE_TEST_CASE(AModelThatIsDeniedIsNotAskedForAgain, EntryFixture) {
  this->SetUp();
  this->Load("e1", "m");
  const Dispatch sent = Only<Dispatch>(this->Handle(ModelRequest("r1"))).at(0);
  this->End(sent, AttemptOutcome::kNotLoaded);
  BOOST_TEST(Only<Dispatch>(this->Pass(milliseconds(500))).empty());
  BOOST_TEST(Only<Dispatch>(this->Load("e2", "m")).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(NewsRunsAheadOfTheLogForADecidedLoad, EntryFixture) {
  this->SetUp();
  this->Handle(ModelRequest("r1"));
  const TargetNews news{
      .report = TargetReport{
          .target = TargetId("e1"),
          .instance = TargetInstance(1),
          .models = {ReportedModel{.model = ModelId("m"), .loaded = true}}}};
  BOOST_TEST(Only<Dispatch>(this->Receive(news)).empty());
  this->Relay(PlacementRecord{.target = TargetId("e1"),
                              .model = ModelId("m"),
                              .instance = TargetInstance(1)});
  BOOST_TEST(Only<Dispatch>(this->Receive(news)).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(AColdModelIsAskedForAtOnceAndAgain, EntryFixture) {
  this->SetUp();
  const auto first = Sent<DemandReport>(this->Handle(ModelRequest("r1")));
  BOOST_REQUIRE(first.size() == 1);
  BOOST_TEST(first[0].second.demands.at(0).waiting_interactive == 1U);
  BOOST_TEST(!Sent<DemandReport>(this->Pass(seconds(1))).empty());
}

BOOST_FIXTURE_TEST_CASE(NoCapacityRefusesWhatEndsSooner, EntryFixture) {
  this->SetUp();
  this->Handle(ModelRequest("r1"));
  const auto refused = this->Receive(
      NoCapacityNotice{.model = ModelId("m"), .retry_after = seconds(20)});
  BOOST_TEST((Refusals(refused) == std::vector{ErrorKind::kNoCapacity}));
}

BOOST_FIXTURE_TEST_CASE(AWithdrawnKeyCutsWhatMayBeRepeated, LoadedFixture) {
  const Dispatch read = this->Start(ModelRequest("r1"));
  this->Start(ServiceRequest("r2", "POST"));
  const auto cut = Only<CancelAttempt>(
      this->RelayTicket({}, {ItemRef{.kind = ItemKind::kKey, .name = "k"}}));
  BOOST_REQUIRE(cut.size() == 1);
  BOOST_TEST((cut[0].request == read.request));
  BOOST_TEST((Refusals(this->End(read, AttemptOutcome::kDiedUnstarted)) ==
              std::vector{ErrorKind::kUnauthenticated}));
}

BOOST_FIXTURE_TEST_CASE(ADataCentreOutRefusesNewAndUnservedWork, EntryFixture) {
  this->SetUp();
  this->Handle(ModelRequest("r1"));
  const auto out =
      this->RelayTicket({MakeDataCentre("dc", DataCentreState::kOut)});
  BOOST_TEST((Refusals(out) == std::vector{ErrorKind::kDataCentreOut}));
  BOOST_TEST(!this->state.IsReady());
  BOOST_TEST((Refusals(this->Handle(ModelRequest("r2"))) ==
              std::vector{ErrorKind::kDataCentreOut}));
}

BOOST_FIXTURE_TEST_CASE(ASuspendedProcessUsesNoTokensUntilConfirmed,
                        LoadedFixture) {
  this->now += seconds(30);
  BOOST_TEST(Only<Dispatch>(this->Handle(ModelRequest("r1"))).empty());
  this->Receive(ShareLease{.usable = true, .confirmed_at = LogOffset(1)});
  BOOST_TEST(Only<Dispatch>(this->Pass(seconds(1))).empty());
  this->Receive(
      ShareLease{.usable = true, .confirmed_at = this->state.ledger().next()});
  BOOST_TEST(Only<Dispatch>(this->Pass(seconds(1))).size() == 1);
}

BOOST_FIXTURE_TEST_CASE(AnEjectedLastTargetIsTriedAfterARest, EntryFixture) {
  this->SetUp();
  this->Load("e1", "m");
  const Dispatch sent = Only<Dispatch>(this->Handle(ModelRequest("r1"))).at(0);
  const auto again = Only<Dispatch>(this->End(sent, AttemptOutcome::kNotSent));
  BOOST_REQUIRE(again.size() == 1);
  BOOST_TEST(
      Only<Dispatch>(this->End(again[0], AttemptOutcome::kNotSent)).empty());
  BOOST_TEST(Only<Dispatch>(this->Pass(milliseconds(200))).empty());
  BOOST_TEST(Only<Dispatch>(this->Pass(milliseconds(100))).size() == 1);
}

}  // namespace
}  // namespace cicadaloft
