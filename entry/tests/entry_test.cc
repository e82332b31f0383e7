#define BOOST_TEST_MODULE entry
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/entry/entry_node.h"
#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(WithoutAConfigurationNothingIsDenied) {
  Entry entry;
  entry.Ask("any");
  BOOST_TEST((entry.Refusal() == ErrorKind::kNotConfigured));
  BOOST_TEST(GetErrorInfo(entry.Refusal()).http_status == 503);
  BOOST_TEST(!entry.state.IsReady());
}

BOOST_AUTO_TEST_CASE(ARequestGoesToATargetOfItsRoute) {
  Entry entry;
  entry.Begin();
  entry.Ask("any");
  const auto dispatches = entry.All<Dispatch>();
  BOOST_REQUIRE(dispatches.size() == 1);
  BOOST_TEST(dispatches[0].target.value() == "p1");
  BOOST_TEST(dispatches[0].customer.value() == "c");
  BOOST_TEST((dispatches[0].response_timeout == seconds(4)));
}

BOOST_AUTO_TEST_CASE(UnknownRoutesAndKeysAreRefused) {
  Entry entry;
  entry.Begin();
  entry.Ask("nowhere");
  BOOST_TEST((entry.Refusal() == ErrorKind::kUnknownRoute));
  entry.effects.clear();
  entry.Ask("any", std::nullopt, "other");
  BOOST_TEST((entry.Refusal() == ErrorKind::kUnauthenticated));
}

BOOST_AUTO_TEST_CASE(AnOlderConfigurationChangesNothing) {
  Entry entry;
  entry.Begin();
  entry.Feed(ConfigurationChanged{.configuration = MakeConfiguration(5, {})});
  entry.Feed(ConfigurationChanged{.configuration = MakeConfiguration(4)});
  entry.effects.clear();
  entry.Ask("any");
  BOOST_TEST((entry.Refusal() == ErrorKind::kUnauthenticated));
}

BOOST_AUTO_TEST_CASE(OverTheLimitIsRefusedWithATimeToComeBack) {
  Entry entry;
  entry.Begin();
  // A tenth of 1,000 at once.
  for (int i = 0; i < 100; ++i) {
    entry.Ask("any");
  }
  BOOST_TEST(entry.All<Refuse>().empty());
  entry.Ask("any");
  BOOST_TEST((entry.Refusal() == ErrorKind::kRateLimited));
  BOOST_TEST(entry.All<Refuse>()[0].retry_after.has_value());
}

BOOST_AUTO_TEST_CASE(WhatMayHaveRunOnceIsNotSentAgain) {
  for (const auto outcome :
       {AttemptOutcome::kBrokenBeforeResponse, AttemptOutcome::kTimedOut}) {
    Entry entry;
    entry.Begin();
    entry.Ask("once");
    entry.End(entry.All<Dispatch>()[0], outcome);
    BOOST_TEST(entry.All<Dispatch>().size() == 1);
    const int status = GetErrorInfo(entry.Refusal()).http_status;
    // 503 would promise that it has not run.
    BOOST_TEST((status == 502 || status == 504));
  }
}

BOOST_AUTO_TEST_CASE(WhatHasNotRunIsSentToAnotherTarget) {
  for (const auto outcome : {AttemptOutcome::kNotSent, AttemptOutcome::kShed,
                             AttemptOutcome::kOtherInstance}) {
    Entry entry;
    entry.Begin();
    entry.Ask("once");
    entry.End(entry.All<Dispatch>()[0], outcome, 503);
    const auto dispatches = entry.All<Dispatch>();
    BOOST_REQUIRE(dispatches.size() == 2);
    BOOST_TEST(dispatches[1].target.value() == "p2");
  }
}

BOOST_AUTO_TEST_CASE(ARepeatableRequestRunsOnAnotherTargetWithinItsRuns) {
  Entry entry;
  entry.Begin();
  entry.Ask("any");
  BOOST_TEST(entry.All<Dispatch>()[0].withholds_error_response);
  entry.End(entry.All<Dispatch>()[0], AttemptOutcome::kErrorResponse, 500);
  BOOST_REQUIRE(entry.All<Dispatch>().size() == 2);
  BOOST_TEST(!entry.All<Dispatch>()[1].withholds_error_response);
  entry.End(entry.All<Dispatch>()[1], AttemptOutcome::kBrokenBeforeResponse);
  BOOST_TEST(entry.All<Dispatch>().size() == 2);
  BOOST_TEST((entry.Refusal() == ErrorKind::kTargetFailed));
}

BOOST_AUTO_TEST_CASE(ARefusalAfterARunDoesNotSayThatNothingRan) {
  Entry entry;
  entry.Begin();
  entry.Ask("any");
  entry.End(entry.All<Dispatch>()[0], AttemptOutcome::kBrokenBeforeResponse);
  for (std::size_t next = 1; entry.All<Refuse>().empty() && next < 100;) {
    if (next < entry.All<Dispatch>().size()) {
      entry.End(entry.All<Dispatch>()[next++], AttemptOutcome::kShed, 503);
    } else {
      entry.RunFor(milliseconds(100));
    }
  }
  BOOST_REQUIRE(entry.All<Refuse>().size() == 1);
  BOOST_TEST((entry.All<Refuse>()[0].run_state != RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(ALeavingOrEvacuatedTargetGetsNothing) {
  Entry entry;
  entry.Begin();
  entry.targets[0].is_draining = true;
  entry.TellFleet();
  entry.Feed(EvacuationsChanged{.data_centres = {DataCentreId("dc-p2")}});
  entry.Ask("any");
  BOOST_TEST(entry.All<Dispatch>().empty());
  entry.Feed(EvacuationsChanged{});
  BOOST_REQUIRE(entry.All<Dispatch>().size() == 1);
  BOOST_TEST(entry.All<Dispatch>()[0].target.value() == "p2");
}

BOOST_AUTO_TEST_CASE(AColdModelIsAskedForOnceAndServedWhenItIsThere) {
  Entry entry;
  entry.Begin();
  entry.Ask("chat", kModel);
  entry.Ask("chat", kModel);
  BOOST_TEST(entry.All<Dispatch>().empty());
  BOOST_REQUIRE(entry.All<ModelLoadRequest>().size() == 1);
  BOOST_TEST((entry.All<ModelLoadRequest>()[0].path == kModel));
  entry.Feed(PlacementChange{.target = TargetId("e1"),
                             .instance = TargetInstance(1),
                             .path = kModel,
                             .is_load = true,
                             .ready_in = milliseconds(500)});
  entry.RunFor(milliseconds(480));
  BOOST_TEST(entry.All<Dispatch>().empty());
  entry.RunFor(milliseconds(40));
  BOOST_TEST(entry.All<Dispatch>().size() == 2);
}

BOOST_AUTO_TEST_CASE(AWaitEndsBeforeTheCallersPatience) {
  Entry entry;
  entry.Begin();
  entry.Ask("chat", kModel);
  entry.RunFor(milliseconds(1100));
  BOOST_TEST(entry.All<Refuse>().empty());
  entry.RunFor(milliseconds(200));
  BOOST_TEST((entry.Refusal() == ErrorKind::kNoCapacity));
  BOOST_TEST(entry.All<Refuse>()[0].retry_after.has_value());
  BOOST_TEST(entry.state.OpenRequestCount() == 0);
}

// Found by scale-1: one model's refusal ejected the target for all models.
BOOST_AUTO_TEST_CASE(ARefusalDuringAnOrderConcernsItsModelAlone) {
  Entry entry;
  entry.targets[2].loaded = {kModel, ModelPath{.model = ModelId("n")}};
  entry.Begin();
  entry.Ask("chat", kModel);
  entry.End(entry.All<Dispatch>()[0], AttemptOutcome::kShed, 503);
  entry.effects.clear();
  entry.Ask("chat", ModelPath{.model = ModelId("n")});
  BOOST_TEST(entry.All<Dispatch>().size() == 1);
}

// Found by trouble-2 of the second site: 421 was asked for each 2 ms.
BOOST_AUTO_TEST_CASE(ATargetThatLacksTheModelIsNotAskedAgainAtOnce) {
  Entry entry;
  entry.targets[2].loaded = {kModel};
  entry.Begin();
  entry.Ask("chat", kModel);
  for (int i = 0; i < 100; ++i) {
    const auto dispatches = entry.All<Dispatch>();
    entry.End(dispatches.back(), AttemptOutcome::kNotLoaded, 421);
    entry.Feed(PlacementChange{.target = TargetId("e1"),
                               .instance = TargetInstance(1),
                               .path = kModel,
                               .is_load = true});
    entry.RunFor(milliseconds(10));
  }
  // The first one, and the retries that one host may do without more requests.
  BOOST_TEST(entry.All<Dispatch>().size() <= 1 + EntrySettings{}.retry_slack);
  BOOST_TEST(entry.All<ModelLoadRequest>().size() >= 1);
}

BOOST_AUTO_TEST_CASE(ALeavingCallerEndsItsAttempt) {
  Entry entry;
  entry.Begin();
  const RequestId id = entry.Ask("any");
  entry.Feed(CallerDisconnected{.request = id});
  BOOST_REQUIRE(entry.All<CancelAttempt>().size() == 1);
  entry.End(entry.All<Dispatch>()[0], AttemptOutcome::kCancelled);
  BOOST_TEST(entry.All<Refuse>().empty());
  BOOST_TEST(entry.state.OpenRequestCount() == 0);
}

BOOST_AUTO_TEST_CASE(TheRoutesTimeLimitEndsARun) {
  Entry entry;
  entry.Begin();
  entry.Ask("once");
  entry.RunFor(milliseconds(4020));
  BOOST_TEST(entry.All<CancelAttempt>().size() == 1);
  BOOST_TEST((entry.Refusal() == ErrorKind::kTargetTimeout));
}

BOOST_AUTO_TEST_CASE(ATargetThatFailsTwiceRests) {
  Entry entry;
  entry.targets[1].is_draining = true;
  entry.Begin();
  for (int i = 0; i < 2; ++i) {
    entry.Ask("once");
    entry.End(entry.All<Dispatch>().back(),
              AttemptOutcome::kBrokenBeforeResponse);
  }
  const auto before = entry.All<Dispatch>().size();
  entry.Ask("once");
  BOOST_TEST(entry.All<Dispatch>().size() == before);
  entry.RunFor(milliseconds(1100));
  BOOST_TEST(entry.All<Dispatch>().size() == before + 1);
}

// Found by trouble-2 of the second site: a request came on a kept connection
// when the time to stop was nearly over.
// Found by roll_term on the second site: a request that waited for its model
// when the process ended got no answer.
BOOST_AUTO_TEST_CASE(WaitsEndBeforeAStoppingHostDoes) {
  // Shorter than the caller's patience allows to wait.
  const Duration within = milliseconds(1100);
  Entry entry;
  entry.Begin();
  entry.Ask("chat", kModel);
  entry.Feed(EntryStopRequested{.grace_period = within});
  entry.Ask("chat", kModel);
  entry.RunFor(within);
  BOOST_TEST(entry.All<Refuse>().size() == 2);
}

BOOST_AUTO_TEST_CASE(AStoppingHostServesOnForAWhileAndThenRefuses) {
  Entry entry;
  entry.Begin();
  entry.Feed(EntryStopRequested{});
  BOOST_TEST(!entry.state.IsReady());
  entry.Ask("any");
  BOOST_TEST(entry.All<Dispatch>().size() == 1);
  entry.now += seconds(3);
  entry.Ask("any");
  BOOST_TEST((entry.Refusal() == ErrorKind::kStopping));
}

BOOST_AUTO_TEST_CASE(ContentUnderWhichTargetsDieIsBarredOnAllHosts) {
  Entry entry;
  entry.Begin();
  entry.Feed(TargetCrashReport{.fingerprint = 7, .target = TargetId("x")});
  entry.Ask("any");
  BOOST_TEST(entry.All<Dispatch>().size() == 1);
  entry.Feed(TargetCrashReport{.fingerprint = 7, .target = TargetId("y")});
  entry.Ask("any");
  BOOST_TEST((entry.Refusal() == ErrorKind::kPoisonRequest));
}

BOOST_AUTO_TEST_CASE(TwoBrokenRunsOfOneContentAreTold) {
  Entry entry;
  entry.Begin();
  entry.Ask("once");
  entry.End(entry.All<Dispatch>().back(),
            AttemptOutcome::kBrokenBeforeResponse);
  entry.targets[0].is_draining = true;
  entry.TellFleet();
  entry.Ask("once");
  entry.End(entry.All<Dispatch>().back(),
            AttemptOutcome::kBrokenBeforeResponse);
  BOOST_TEST(entry.All<TargetCrashReport>().size() == 2);
}

BOOST_AUTO_TEST_CASE(UsageTellsArrivalsRunsAndDemand) {
  Entry entry;
  entry.targets[2].loaded = {kModel};
  entry.Begin();
  entry.Ask("chat", kModel);
  entry.RunFor(kUsageReportInterval + milliseconds(20));
  const auto measured = entry.All<UsageReport>();
  const auto found = std::ranges::find_if(
      measured, [](const auto& item) { return !item.demands.empty(); });
  BOOST_REQUIRE((found != measured.end()));
  BOOST_TEST(found->demands[0].cost == 10);
  BOOST_TEST(found->usages.at(0).arrivals == 1U);
  BOOST_TEST(found->usages.at(0).running == 1U);
  BOOST_TEST(found->usages.at(0).interactive == 1U);
}

}  // namespace
}  // namespace cicadaloft
