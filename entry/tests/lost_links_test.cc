#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>

#include "cicadaloft/entry/event_names.h"
#include "detour_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a host that doesn't know that it is cut off, or doesn't say
// so.
BOOST_FIXTURE_TEST_CASE(FailedProbesOfAllTargetsAreALoss, DetourFixture) {
  this->SuspectLinks();
  BOOST_TEST(this->ReportedReach().empty());
  std::set<TargetId> probed;
  for (const ProbeTarget& probe : this->probes) {
    probed.insert(probe.target);
  }
  BOOST_TEST(probed.size() == 3);
  this->FailProbes();
  BOOST_TEST(this->ReportedReach() == std::vector<bool>{false},
             boost::test_tools::per_element());
  BOOST_TEST(this->CountLogged(event_names::kTargetsLost) == 1);
  this->RegainTargets();
  BOOST_TEST((this->ReportedReach() == std::vector<bool>{false, true}));
  BOOST_TEST(this->CountLogged(event_names::kTargetsReached) == 1);
}

// Guards against requests that hang on open connections until the end of their
// time, without a failure that could be seen.
BOOST_FIXTURE_TEST_CASE(SilenceOfTwoTargetsIsProbed, DetourFixture) {
  for (int i = 0; i < 4; ++i) {
    this->SendRequest("once");
  }
  this->RunFor(milliseconds(390));
  BOOST_TEST(this->probes.empty());
  this->RunFor(milliseconds(20));
  BOOST_TEST(!this->probes.empty());
  this->FailProbes();
  BOOST_TEST((this->ReportedReach() == std::vector<bool>{false}));
}

// Guards against connections that calm days don't need, and against a response
// that isn't seen as a sign.
BOOST_FIXTURE_TEST_CASE(NothingIsProbedWhileTargetsRespond, DetourFixture) {
  for (int i = 0; i < 100; ++i) {
    this->SendRequest("any");
    const Dispatch dispatch = this->LastDispatch();
    this->RunFor(milliseconds(30));
    this->Feed(ResponseStarted{.request = dispatch.request,
                               .attempt = dispatch.attempt});
    this->RunFor(milliseconds(30));
    this->EndAttempt(dispatch, AttemptOutcome::kCompleted, 200);
  }
  BOOST_TEST(this->EffectsOf<ProbeTarget>().empty());
  BOOST_TEST(this->ReportedReach().empty());
  BOOST_TEST(this->CountLogged(event_names::kDetour) == 0);
}

// Guards against targets that stay ejected when the links are back: each had
// failed twice.
BOOST_FIXTURE_TEST_CASE(TargetsAreNotBlamedForLostLinks, DetourFixture) {
  // Both requests are sent before the cut, and end after it.
  this->SendRequest("once");
  const Dispatch first = this->LastDispatch();
  this->SendRequest("once");
  const Dispatch second = this->LastDispatch();
  BOOST_TEST((first.target != second.target));
  this->LoseTargets();
  this->EndAttempt(first, AttemptOutcome::kBrokenBeforeResponse);
  this->EndAttempt(second, AttemptOutcome::kBrokenBeforeResponse);
  this->RegainTargets();
  this->effects.clear();
  for (int i = 0; i < 2; ++i) {
    this->SendRequest("once");
    BOOST_TEST(!this->LastDispatch().via_host.has_value());
  }
  std::set<TargetId> used;
  for (const Dispatch& dispatch : this->EffectsOf<Dispatch>()) {
    used.insert(dispatch.target);
  }
  BOOST_TEST(used.size() == 2);
}

// Guards against targets that stay ejected by failures from before the first
// probe: two requests have failed at each.
BOOST_FIXTURE_TEST_CASE(EjectionsOfTheTimeEndWithTheLoss, DetourFixture) {
  for (int i = 0; i < 2; ++i) {
    this->SendRequest("once");
    const Dispatch dispatch = this->LastDispatch();
    BOOST_REQUIRE(dispatch.target == TargetId("p1"));
    this->EndAttempt(dispatch, AttemptOutcome::kBrokenBeforeResponse);
  }
  this->LoseTargets();
  this->RegainTargets();
  this->effects.clear();
  this->SendRequest("once");
  BOOST_TEST(this->LastDispatch().target.value() == "p1");
}

// Guards against blocks of sound requests: two hosts that are cut off from a
// target look like evidence of its crash.
BOOST_FIXTURE_TEST_CASE(LostLinksAreNoEvidenceOfCrashes, DetourFixture) {
  for (int i = 0; i < 4; ++i) {
    this->SendRequest("once");
  }
  for (const Dispatch& dispatch : this->EffectsOf<Dispatch>()) {
    this->EndAttempt(dispatch, AttemptOutcome::kBrokenBeforeResponse);
  }
  this->RunFor(milliseconds(50));
  this->FailProbes();
  this->RunFor(seconds(2));
  this->RegainTargets();
  this->answers_probes = true;
  this->RunFor(seconds(10));
  BOOST_TEST(this->EffectsOf<CrashEvidence>().empty());
}

// Guards against evidence that is lost when all targets have in fact crashed:
// then the registry shows other processes.
BOOST_FIXTURE_TEST_CASE(EvidenceIsReportedOnceTheRegistryConfirmsIt,
                        DetourFixture) {
  for (int i = 0; i < 4; ++i) {
    this->SendRequest("once");
  }
  for (const Dispatch& dispatch : this->EffectsOf<Dispatch>()) {
    this->EndAttempt(dispatch, AttemptOutcome::kBrokenBeforeResponse);
  }
  this->FailProbes();
  this->RunFor(seconds(2));
  BOOST_TEST(this->EffectsOf<CrashEvidence>().empty());
  this->targets[0].instance = TargetInstance(2);
  this->UpdateFleet();
  this->RunFor(milliseconds(10));
  const auto evidence = this->EffectsOf<CrashEvidence>();
  BOOST_REQUIRE(evidence.size() == 1);
  BOOST_TEST(evidence[0].target.value() == "p1");
  BOOST_TEST((evidence[0].age >= seconds(2)));
  BOOST_TEST(!evidence[0].requests.empty());
}

// Guards against evidence that is held back although targets are reached.
BOOST_FIXTURE_TEST_CASE(EvidenceIsReportedWhenProbesSucceed, DetourFixture) {
  for (int i = 0; i < 2; ++i) {
    this->SendRequest("once");
  }
  for (const Dispatch& dispatch : this->EffectsOf<Dispatch>()) {
    this->EndAttempt(dispatch, AttemptOutcome::kBrokenBeforeResponse);
  }
  this->RunFor(milliseconds(10));
  BOOST_TEST(this->EffectsOf<CrashEvidence>().empty());
  this->AnswerProbes(true);
  this->RunFor(milliseconds(10));
  BOOST_TEST(this->EffectsOf<CrashEvidence>().size() == 2);
}

}  // namespace
}  // namespace cicadaloft
