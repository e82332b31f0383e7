#define BOOST_TEST_MODULE detour
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>
#include <utility>

#include "cicadaloft/entry/event_names.h"
#include "detour_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against callers that get 504 or 503 from a host that is cut off.
BOOST_FIXTURE_TEST_CASE(RequestGoesOverAHelpingHost, DetourFixture) {
  this->LoseTargets();
  const RequestId id = this->SendRequest("once");
  const Dispatch dispatch = this->LastDispatch();
  BOOST_TEST((dispatch.request == id));
  BOOST_REQUIRE(dispatch.via_host.has_value());
  BOOST_TEST(dispatch.address == dispatch.via_host->value() + ":1");
  BOOST_TEST(dispatch.target.value().empty());
  BOOST_TEST(!dispatch.origin.has_value());
  BOOST_TEST((dispatch.response_timeout == seconds(4)));
  BOOST_TEST(this->CountLogged(event_names::kDetour) == 1);
  this->Feed(ResponseStarted{.request = id, .attempt = dispatch.attempt});
  this->EndAttempt(dispatch, AttemptOutcome::kCompleted, 200);
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
  BOOST_TEST(this->state.OpenRequestCount() == 0);
}

// Guards against requests of unknown callers at other hosts.
BOOST_FIXTURE_TEST_CASE(RouteKeyAndPoisonAreCheckedFirst, DetourFixture) {
  this->LoseTargets();
  this->Feed(PoisonBlock{
      .fingerprints = {{.kind = FingerprintKind::kContent, .hash = 7}},
      .remaining = seconds(60)});
  const std::set<ErrorKind> expected = {ErrorKind::kUnknownRoute,
                                        ErrorKind::kUnauthenticated,
                                        ErrorKind::kPoisonRequest};
  this->SendRequest("nowhere");
  this->SendRequest("any", std::nullopt, "other");
  this->SendRequest("any");
  std::set<ErrorKind> kinds;
  for (const Refuse& refusal : this->EffectsOf<Refuse>()) {
    kinds.insert(refusal.error.kind);
  }
  BOOST_TEST((kinds == expected));
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
}

// Guards against a limit that is charged twice, by this host and by the one
// that helps: 100 requests use it up.
BOOST_FIXTURE_TEST_CASE(LimitIsLeftToTheHelpingHost, DetourFixture) {
  this->LoseTargets();
  for (int i = 0; i < 300; ++i) {
    this->SendRequest("once");
    this->EndAttempt(this->LastDispatch(), AttemptOutcome::kCompleted, 200);
  }
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
  this->RegainTargets();
  for (int i = 0; i < 90; ++i) {
    this->SendRequest("once");
    this->EndAttempt(this->LastDispatch(), AttemptOutcome::kCompleted, 200);
  }
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
}

// Guards against requests that stay in the queue of a host that is cut off, and
// against their cost, which is charged twice unless it is refunded: the limit
// is used up by 100 requests.
BOOST_FIXTURE_TEST_CASE(WaitingRequestsGoOverAsWell, DetourFixture) {
  for (int i = 0; i < 90; ++i) {
    this->SendRequest("once");
  }
  const std::size_t waiting = this->state.WaitingRequestCount();
  BOOST_TEST(waiting > 80);
  const auto running = this->EffectsOf<Dispatch>();
  this->EndAttempt(running[0], AttemptOutcome::kBrokenBeforeResponse);
  const auto other =
      std::ranges::find_if(running, [&](const Dispatch& dispatch) {
        return dispatch.target != running[0].target;
      });
  BOOST_REQUIRE(other != running.end());
  this->EndAttempt(*other, AttemptOutcome::kBrokenBeforeResponse);
  this->FailProbes();
  BOOST_TEST(this->state.WaitingRequestCount() == 0);
  BOOST_TEST(this->CountLogged(event_names::kDetour) >= waiting - 2);
  for (const Dispatch& dispatch : this->EffectsOf<Dispatch>()) {
    if (dispatch.via_host) {
      this->EndAttempt(dispatch, AttemptOutcome::kCompleted, 200);
    }
  }
  this->RegainTargets();
  this->effects.clear();
  for (int i = 0; i < 80; ++i) {
    this->SendRequest("once");
  }
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
}

// Guards against requests that wait for quota or for the origin of a stream on
// a host that can't use the answer.
BOOST_FIXTURE_TEST_CASE(RequestThatWaitsForQuotaGoesOver, DetourFixture) {
  this->Feed(SharesChanged{
      .host_count = 2, .default_share = 0, .is_lease_holder_reachable = true});
  const RequestId id = this->SendRequest("once");
  BOOST_REQUIRE(this->EffectsOf<QuotaRequest>().size() == 1);
  this->Feed(SharesChanged{.host_count = 1, .default_share = 1});
  this->SuspectLinks();
  this->FailProbes();
  const auto dispatches = this->EffectsOf<Dispatch>();
  BOOST_TEST(std::ranges::any_of(dispatches, [&](const Dispatch& dispatch) {
    return dispatch.request == id && dispatch.via_host;
  }));
  const std::size_t count = dispatches.size();
  this->Feed(QuotaReply{.request = id, .is_granted = true});
  this->RunFor(seconds(1));
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == count);
}

// Guards against a second run of a request that may have run.
BOOST_FIXTURE_TEST_CASE(AtMostOnceRequestGoesToOneHost, DetourFixture) {
  this->LoseTargets();
  for (const auto outcome :
       {AttemptOutcome::kBrokenBeforeResponse, AttemptOutcome::kTimedOut}) {
    this->effects.clear();
    this->SendRequest("once");
    this->EndAttempt(this->LastDispatch(), outcome);
    BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1);
    const int status = GetErrorInfo(this->RefusalKind()).http_status;
    BOOST_TEST((status == 502 || status == 504));
  }
}

// Guards against a refusal where another host would serve: no byte was sent, or
// the helping host promises that the request has not run.
BOOST_FIXTURE_TEST_CASE(RequestThatHasNotRunGoesToAnotherHost, DetourFixture) {
  this->LoseTargets();
  for (const auto outcome : {AttemptOutcome::kNotSent, AttemptOutcome::kShed}) {
    this->RunFor(seconds(1));
    this->effects.clear();
    this->SendRequest("once");
    const Dispatch first = this->LastDispatch();
    BOOST_TEST(first.withholds_error_response);
    this->EndAttempt(first, outcome, 503);
    BOOST_REQUIRE(this->EffectsOf<Dispatch>().size() == 2);
    const Dispatch second = this->LastDispatch();
    BOOST_TEST((second.via_host != first.via_host));
    // The refusal of the last one is passed on, with its Retry-After.
    BOOST_TEST(!second.withholds_error_response);
    // A new request avoids the host that has just refused.
    this->SendRequest("once");
    BOOST_TEST((this->LastDispatch().via_host == second.via_host));
  }
}

// Guards against callers that are refused because helping hosts have refused
// single requests: of a customer over its limit, or for a model without room.
BOOST_FIXTURE_TEST_CASE(RefusalOfOneRequestLeavesNoHostOut, DetourFixture) {
  this->LoseTargets();
  this->SendRequest("once");
  this->EndAttempt(this->LastDispatch(), AttemptOutcome::kShed, 503, true);
  this->EndAttempt(this->LastDispatch(), AttemptOutcome::kShed, 503, true);
  this->SendRequest("any");
  this->EndAttempt(this->LastDispatch(), AttemptOutcome::kShed, 429, true);
  BOOST_TEST(this->EffectsOf<Refuse>().size() == 2U);
  this->effects.clear();
  this->SendRequest("once");
  this->SendRequest("once");
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 2U);
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
}

// Guards against a helping host that is left out for a refusal of one request,
// and against one that isn't although it takes none.
BOOST_FIXTURE_TEST_CASE(RefusalStatesWhetherTheHostTakesOthers, DetourFixture) {
  this->SendRequest("unknown");
  this->ForwardRequest("unknown");
  auto refusals = this->EffectsOf<Refuse>();
  BOOST_REQUIRE(refusals.size() == 2U);
  BOOST_TEST(!refusals[0].takes_other_requests);
  BOOST_TEST(refusals[1].takes_other_requests);
  this->LoseTargets();
  this->ForwardRequest();
  refusals = this->EffectsOf<Refuse>();
  BOOST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST(!refusals[0].takes_other_requests);
}

// Guards against requests over a customer's limit that go from host to host,
// use up the retry budget and end as 503.
BOOST_FIXTURE_TEST_CASE(RequestOverItsLimitIsNotSentAgain, DetourFixture) {
  this->LoseTargets();
  this->SendRequest("any");
  this->EndAttempt(this->LastDispatch(), AttemptOutcome::kShed, 429);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1);
  BOOST_TEST((this->RefusalKind() == ErrorKind::kRateLimited));
  BOOST_TEST((this->EffectsOf<Refuse>()[0].run_state == RunState::kNotRun));
}

// Guards against a request that waits where no host takes it: its caller should
// come again, to another host.
BOOST_FIXTURE_TEST_CASE(RequestThatNoHostTakesIsRefusedAtOnce, DetourFixture) {
  this->LoseTargets();
  this->SendRequest("once");
  this->EndAttempt(this->LastDispatch(), AttemptOutcome::kNotSent);
  this->EndAttempt(this->LastDispatch(), AttemptOutcome::kNotSent);
  BOOST_TEST((this->RefusalKind() == ErrorKind::kNoCapacity));
  const Refuse refusal = this->EffectsOf<Refuse>()[0];
  BOOST_TEST((refusal.run_state == RunState::kNotRun));
  BOOST_REQUIRE(refusal.retry_after.has_value());
  BOOST_TEST((*refusal.retry_after <= seconds(1)));
  BOOST_TEST(this->state.OpenRequestCount() == 0);
}

// Guards against runs without bound while helping hosts break: a repeatable
// request runs twice at most, and the budget bounds these over all requests.
BOOST_FIXTURE_TEST_CASE(RepeatsOverHostsUseTheRetryBudget, DetourFixture) {
  this->SetHosts({"b", "c", "d", "e", "f", "g", "h", "i"});
  this->LoseTargets();
  std::size_t repeats = 0;
  for (int i = 0; i < 100; ++i) {
    this->RunFor(seconds(1));
    this->effects.clear();
    this->SendRequest("any");
    this->EndAttempt(this->LastDispatch(),
                     AttemptOutcome::kBrokenBeforeResponse);
    const std::size_t count = this->EffectsOf<Dispatch>().size();
    BOOST_TEST(count <= 2);
    repeats += count - 1;
    if (count == 2) {
      this->EndAttempt(this->LastDispatch(),
                       AttemptOutcome::kBrokenBeforeResponse);
    }
    BOOST_TEST(this->EffectsOf<Dispatch>().size() == count);
    BOOST_TEST((this->RefusalKind() == ErrorKind::kTargetFailed));
  }
  // A slack of 10, and a fifth of the requests.
  BOOST_TEST(repeats >= 20);
  BOOST_TEST(repeats <= 30);
}

// Guards against repeatable requests that the cut has broken and the retry
// budget refuses: many break at one moment. None is repeated before it is known
// whether targets have crashed.
BOOST_FIXTURE_TEST_CASE(RequestsBrokenByTheCutAreRepeated, DetourFixture) {
  std::vector<Dispatch> running;
  for (TargetRecord& target : this->targets) {
    target.slots = 100;
  }
  this->UpdateFleet();
  for (int i = 0; i < 60; ++i) {
    this->SendRequest("any");
    running.push_back(this->LastDispatch());
  }
  // The first failures are retried as ever, until two targets have failed.
  for (const Dispatch& dispatch : running) {
    this->EndAttempt(dispatch, AttemptOutcome::kBrokenBeforeResponse);
  }
  const auto early = this->EffectsOf<Dispatch>().size() - running.size();
  BOOST_TEST(early <= 10);
  this->FailProbes();
  BOOST_TEST(this->CountLogged(event_names::kDetour) >= 60 - 2 * early - 2);
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
}

// Guards against retries beyond the budget when targets have in fact crashed.
BOOST_FIXTURE_TEST_CASE(RequestsBrokenByCrashesUseTheBudget, DetourFixture) {
  std::vector<Dispatch> running;
  for (TargetRecord& target : this->targets) {
    target.slots = 100;
  }
  this->UpdateFleet();
  for (int i = 0; i < 60; ++i) {
    this->SendRequest("any");
    running.push_back(this->LastDispatch());
  }
  for (const Dispatch& dispatch : running) {
    this->EndAttempt(dispatch, AttemptOutcome::kBrokenBeforeResponse);
  }
  this->AnswerProbes(true);
  const auto retries = this->EffectsOf<Dispatch>().size() - running.size();
  // The balance is full: 10.
  BOOST_TEST(retries <= 10);
  BOOST_TEST(this->EffectsOf<Refuse>().size() >= 40);
}

// Guards against requests that go round among hosts that are all cut off.
BOOST_FIXTURE_TEST_CASE(ForwardedRequestIsNotForwardedAgain, DetourFixture) {
  this->LoseTargets();
  this->ForwardRequest();
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  BOOST_TEST(GetErrorInfo(this->RefusalKind()).http_status == 503);
  BOOST_TEST((this->EffectsOf<Refuse>()[0].run_state == RunState::kNotRun));
}

// Guards against forwarded requests that wait at a host that is cut off in its
// turn.
BOOST_FIXTURE_TEST_CASE(WaitingForwardedRequestIsRefusedAtTheLoss,
                        DetourFixture) {
  // Three at each target.
  for (int i = 0; i < 6; ++i) {
    this->SendRequest("once");
  }
  const RequestId id = this->ForwardRequest();
  BOOST_REQUIRE(this->state.WaitingRequestCount() == 1);
  for (const Dispatch& dispatch : this->EffectsOf<Dispatch>()) {
    this->EndAttempt(dispatch, AttemptOutcome::kBrokenBeforeResponse);
  }
  // It could not be sent to either target meanwhile, and is queued again.
  for (int i = 0; i < 2; ++i) {
    BOOST_REQUIRE((this->LastDispatch().request == id));
    this->EndAttempt(this->LastDispatch(), AttemptOutcome::kNotSent);
  }
  BOOST_REQUIRE(this->state.WaitingRequestCount() == 1);
  this->FailProbes();
  const auto dispatches = this->EffectsOf<Dispatch>();
  BOOST_TEST(std::ranges::none_of(dispatches, [&](const Dispatch& dispatch) {
    return dispatch.request == id && dispatch.via_host;
  }));
  const auto refusals = this->EffectsOf<Refuse>();
  const auto refusal = std::ranges::find(refusals, id, &Refuse::request);
  BOOST_REQUIRE(refusal != refusals.end());
  BOOST_TEST(GetErrorInfo(refusal->error.kind).http_status == 503);
}

// Guards against a small host that works for others only.
BOOST_FIXTURE_TEST_CASE(ForwardedRequestsAreBounded, DetourFixture) {
  constexpr std::size_t kMax = 64;
  for (std::size_t i = 0; i < kMax + 5; ++i) {
    this->ForwardRequest();
  }
  BOOST_TEST(this->EffectsOf<Refuse>().size() == 5);
  BOOST_TEST(
      (this->EffectsOf<Refuse>()[0].error.kind == ErrorKind::kQueueFull));
  BOOST_TEST((this->EffectsOf<Refuse>()[0].run_state == RunState::kNotRun));
  this->EndAttempt(this->EffectsOf<Dispatch>()[0], AttemptOutcome::kCompleted,
                   200);
  const RequestId next = this->ForwardRequest();
  const auto refusals = this->EffectsOf<Refuse>();
  BOOST_TEST(
      (std::ranges::find(refusals, next, &Refuse::request) == refusals.end()));
  // This host's own callers are served as ever.
  const RequestId own = this->SendRequest("any");
  BOOST_TEST(
      (std::ranges::find(refusals, own, &Refuse::request) == refusals.end()));
}

// Guards against a limit of forwarded requests that ignores what a host can
// carry: callers of many hosts are refused while the only helping host is idle.
BOOST_FIXTURE_TEST_CASE(MoreForwardedRequestsFitALargerHost, DetourFixture) {
  this->state = EntryState(EntrySettings{.host = HostId("a"),
                                         .data_centre = DataCentreId("dc-p1"),
                                         .is_first_start = true,
                                         .max_forwarded_requests = 100});
  this->Start();
  this->effects.clear();
  for (int i = 0; i < 101; ++i) {
    this->ForwardRequest();
  }
  const auto refusals = this->EffectsOf<Refuse>();
  BOOST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST((refusals[0].error.kind == ErrorKind::kQueueFull));
}

// Guards against a host that takes requests of others while it lacks the time
// to serve its own callers.
BOOST_FIXTURE_TEST_CASE(HostThatRunsLateTakesNoForwardedRequests,
                        DetourFixture) {
  this->RunFor(milliseconds(50));
  this->now += milliseconds(300);
  this->Feed(EntryTick{});
  this->ForwardRequest();
  const auto refusals = this->EffectsOf<Refuse>();
  BOOST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST((refusals[0].error.kind == ErrorKind::kQueueFull));
  BOOST_TEST((refusals[0].run_state == RunState::kNotRun));
  this->SendRequest("any");
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1U);
  this->RunFor(milliseconds(20));
  this->ForwardRequest();
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 2U);
}

// Guards against a change on sites where no host can help: requests wait for
// targets.
BOOST_FIXTURE_TEST_CASE(WithoutHelpingHostsRequestsWait, DetourFixture) {
  this->SetHosts({});
  this->LoseTargets();
  for (TargetRecord& target : this->targets) {
    target.is_draining = true;
  }
  this->UpdateFleet();
  const RequestId id = this->SendRequest("once");
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
  BOOST_TEST(this->state.WaitingRequestCount() > 0);
  // The list comes late.
  this->SetHosts({"b"});
  BOOST_TEST((this->LastDispatch().request == id));
  BOOST_TEST(this->LastDispatch().via_host->value() == "b");
}

// Guards against detours that are cut when the links are back, and against
// detours after that.
BOOST_FIXTURE_TEST_CASE(DetoursEndWhereTheyAre, DetourFixture) {
  this->LoseTargets();
  this->SendRequest("once");
  const Dispatch detour = this->LastDispatch();
  this->Feed(
      ResponseStarted{.request = detour.request, .attempt = detour.attempt});
  this->RegainTargets();
  BOOST_TEST(this->EffectsOf<CancelAttempt>().empty());
  this->SendRequest("once");
  BOOST_TEST(!this->LastDispatch().via_host.has_value());
  this->EndAttempt(detour, AttemptOutcome::kCompleted, 200);
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
}

// Guards against a connection to the helping host that stays when the caller
// has left: that host would go on with the request.
BOOST_FIXTURE_TEST_CASE(CallerThatLeavesEndsTheDetour, DetourFixture) {
  this->LoseTargets();
  const RequestId id = this->SendRequest("once");
  this->Feed(CallerDisconnected{.request = id});
  BOOST_REQUIRE(this->EffectsOf<CancelAttempt>().size() == 1);
  this->EndAttempt(this->LastDispatch(), AttemptOutcome::kCancelled);
  BOOST_TEST(this->state.OpenRequestCount() == 0);
}

// Guards against usage that is reported twice: by this host and by the one that
// helps.
BOOST_FIXTURE_TEST_CASE(DetoursAreNotCountedAsUsage, DetourFixture) {
  this->LoseTargets();
  this->RunFor(seconds(1));
  this->effects.clear();
  this->SendRequest("chat", kModel);
  this->RunFor(seconds(1));
  for (const UsageReport& report : this->EffectsOf<UsageReport>()) {
    BOOST_TEST(report.usages.empty());
  }
}

}  // namespace
}  // namespace cicadaloft
