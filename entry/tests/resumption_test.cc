#define BOOST_TEST_MODULE resumption_entry
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>

#include "overload_simulation.h"
#include "resumption_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Names = std::vector<std::string>;

TargetRecord MakeLoadedTarget(const std::string& id,
                              const std::string& software,
                              bool is_draining) {
  TargetRecord target = MakeVersionedTarget(id, "engine", software);
  target.loaded = {kModel};
  target.is_draining = is_draining;
  return target;
}

BOOST_AUTO_TEST_SUITE(resumption)

// Guards against a take-up that is sent to any target before its origin is
// known.
BOOST_AUTO_TEST_CASE(TakeUpWaitsForItsOriginAndGoesThere) {
  for (const std::string version : {"v1", "v2"}) {
    ResumptionFixture entry;
    entry.Start();
    const RequestId id = entry.SendTakeUp("first");
    const auto lookups = entry.EffectsOf<LookUpOrigin>();
    BOOST_REQUIRE(lookups.size() == 1);
    BOOST_TEST(
        (lookups[0] == LookUpOrigin{.request = id,
                                    .stream = MakeStreamKey(
                                        CustomerId("c"), RequestId("first"))}));
    entry.RunFor(milliseconds(100));
    BOOST_TEST(entry.EffectsOf<Dispatch>().empty());
    entry.Found(id, version);
    BOOST_TEST(entry.TargetsOf(id) == Names{version == "v1" ? "p1" : "p2"});
  }
}

// Guards against a customer that takes up a stream of another one by the id of
// its request.
BOOST_AUTO_TEST_CASE(OtherCustomerAsksForAnotherStream) {
  ResumptionFixture entry;
  entry.Start();
  entry.SendTakeUp("first", "stream", "c");
  entry.SendTakeUp("first", "stream", "d");
  const auto lookups = entry.EffectsOf<LookUpOrigin>();
  BOOST_REQUIRE(lookups.size() == 2);
  BOOST_TEST((lookups[0].stream != lookups[1].stream));
}

// Guards against look-ups and refusals on routes whose streams aren't resumed.
BOOST_AUTO_TEST_CASE(OtherRoutesTakeNoNoticeOfAResumption) {
  ResumptionFixture entry;
  entry.Start();
  const RequestId id = entry.SendTakeUp("first", "any");
  BOOST_TEST(entry.EffectsOf<LookUpOrigin>().empty());
  BOOST_TEST(entry.TargetsOf(id).size() == 1U);
  BOOST_TEST(!entry.LastDispatchOf(id).origin.has_value());
  BOOST_TEST(entry.Logged(event_names::kStreamResume, "outcome").empty());
}

// Guards against streams without a record, and against records that name
// another stream or version than the one that begins.
BOOST_AUTO_TEST_CASE(DispatchCarriesTheOriginOfTheStream) {
  ResumptionFixture entry;
  entry.Start();
  const RequestId first = entry.SendNew("stream");
  const Dispatch dispatch = entry.LastDispatchOf(first);
  const std::string version = dispatch.target.value() == "p1" ? "v1" : "v2";
  BOOST_REQUIRE(dispatch.origin.has_value());
  BOOST_TEST((*dispatch.origin ==
              OriginRecord{.stream = MakeStreamKey(CustomerId("c"), first),
                           .origin = {.service = ServiceId("plain"),
                                      .software = SoftwareVersion(version)}}));
  const RequestId take_up = entry.TakeUpAt("v2");
  const auto origin = entry.LastDispatchOf(take_up).origin;
  BOOST_REQUIRE(origin.has_value());
  BOOST_TEST(
      (origin->stream ==
       MakeStreamKey(CustomerId("c"), RequestId("caller-" + take_up.value()))));
  BOOST_TEST(origin->origin.software.value() == "v2");
}

// Guards against a record of a version that isn't known.
BOOST_AUTO_TEST_CASE(TargetWithoutVersionGetsNoRecord) {
  ResumptionFixture entry;
  entry.Start();
  entry.SetTargets({MakeVersionedTarget("p1", "plain", "")});
  const RequestId id = entry.SendNew("stream");
  BOOST_TEST(!entry.LastDispatchOf(id).origin.has_value());
  BOOST_TEST(entry.Logged(event_names::kDispatch, "software") == Names{"-"});
}

// Guards against take-ups that leave their version because its targets are
// full.
BOOST_AUTO_TEST_CASE(TakeUpWaitsWhileTheTargetsOfItsVersionAreFull) {
  ResumptionFixture entry;
  entry.Start();
  const RequestId running = entry.TakeUpAt("v1");
  entry.TakeUpAt("v1");
  entry.TakeUpAt("v1");
  const RequestId waiting = entry.TakeUpAt("v1");
  entry.RunFor(milliseconds(300));
  BOOST_TEST(entry.TargetsOf(waiting).empty());
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
  entry.EndAttempt(entry.LastDispatchOf(running), AttemptOutcome::kCompleted,
                   200);
  BOOST_TEST(entry.TargetsOf(waiting) == Names{"p1"});
}

// Guards against new requests that take the slots for which callers with a
// part of their stream wait.
BOOST_AUTO_TEST_CASE(TakeUpsGoBeforeNewRequests) {
  ResumptionFixture entry;
  entry.Start();
  entry.SetTargets({MakeVersionedTarget("p1", "plain", "v1")});
  const RequestId running = entry.SendNew("stream");
  entry.SendNew("stream");
  entry.SendNew("stream");
  const RequestId fresh = entry.SendNew("stream");
  const RequestId take_up = entry.TakeUpAt("v1");
  entry.EndAttempt(entry.LastDispatchOf(running), AttemptOutcome::kCompleted,
                   200);
  BOOST_TEST(entry.TargetsOf(take_up) == Names{"p1"});
  BOOST_TEST(entry.TargetsOf(fresh).empty());
}

// Guards against a retry at another version.
BOOST_AUTO_TEST_CASE(RetryStaysAtTheVersion) {
  ResumptionFixture entry;
  entry.Start();
  entry.SetTargets({MakeVersionedTarget("p1", "plain", "v1"),
                    MakeVersionedTarget("p2", "plain", "v2"),
                    MakeVersionedTarget("p3", "plain", "v1")});
  const RequestId id = entry.TakeUpAt("v1");
  entry.EndAttempt(entry.LastDispatchOf(id), AttemptOutcome::kNotSent);
  BOOST_REQUIRE(entry.TargetsOf(id).size() == 2);
  entry.EndAttempt(entry.LastDispatchOf(id), AttemptOutcome::kNotSent);
  entry.RunFor(seconds(2));
  auto sent_to = entry.TargetsOf(id);
  std::ranges::sort(sent_to);
  BOOST_TEST(sent_to == (Names{"p1", "p3"}));
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kNoCapacity));
}

// Guards against a refusal as gone of a version whose only target rests.
BOOST_AUTO_TEST_CASE(ShortRestOfTheVersionIsWaitedFor) {
  ResumptionFixture entry;
  entry.Start();
  const RequestId id = entry.TakeUpAt("v1");
  const Dispatch dispatch = entry.LastDispatchOf(id);
  entry.Feed(AttemptEnded{.request = id,
                          .attempt = dispatch.attempt,
                          .outcome = AttemptOutcome::kShed,
                          .http_status = 503,
                          .notice = {.rest = milliseconds(300)}});
  entry.RunFor(milliseconds(400));
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
  BOOST_TEST(entry.TargetsOf(id) == (Names{"p1", "p1"}));
}

// Guards against a wait in vain for a version that is gone, or a Retry-After
// that makes callers return in vain.
BOOST_AUTO_TEST_CASE(TakeUpOfAVersionThatIsGoneIsRefusedAtOnce) {
  ResumptionFixture entry;
  entry.Start();
  entry.TakeUpAt("v0");
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kStreamVersionGone));
  BOOST_TEST(!entry.EffectsOf<Refuse>()[0].retry_after.has_value());
  BOOST_TEST(entry.LastOutcome() == "stream_version_gone");
}

// Guards against a record without a version that leads to targets without one.
BOOST_AUTO_TEST_CASE(RecordWithoutVersionIsNoOrigin) {
  ResumptionFixture entry;
  entry.Start();
  entry.SetTargets({MakeVersionedTarget("p1", "plain", "")});
  entry.TakeUpAt("");
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kStreamOriginUnknown));
}

// Guards against versions that are taken to be gone before any target is known.
BOOST_AUTO_TEST_CASE(TakeUpWaitsForTheFirstFleet) {
  ResumptionFixture entry;
  entry.Feed(ConfigurationChanged{.configuration = MakeStreamConfiguration(1)});
  entry.Feed(SharesChanged{.host_count = 1, .default_share = 1});
  const RequestId id = entry.TakeUpAt("v2");
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
  entry.UpdateFleet();
  BOOST_TEST(entry.TargetsOf(id) == Names{"p2"});
}

// Guards against take-ups that wait for targets that will accept nothing more.
BOOST_AUTO_TEST_CASE(VersionMayGoWhileTakeUpsWait) {
  const auto leave_by_notice = [](ResumptionFixture& entry) {
    const Dispatch dispatch = entry.EffectsOf<Dispatch>().at(0);
    entry.Feed(ResponseStarted{.request = dispatch.request,
                               .attempt = dispatch.attempt,
                               .notice = {.is_leaving = true}});
    entry.RunFor(kEntryTickInterval);
  };
  const auto drain = [](ResumptionFixture& entry) {
    entry.targets[0].is_draining = true;
    entry.UpdateFleet();
  };
  const auto change_version = [](ResumptionFixture& entry) {
    entry.targets[0].software = SoftwareVersion("v2");
    entry.targets[0].instance = TargetInstance(2);
    entry.UpdateFleet();
  };
  const auto remove = [](ResumptionFixture& entry) {
    entry.SetTargets({entry.targets[1]});
  };
  const auto evacuate = [](ResumptionFixture& entry) {
    entry.Feed(EvacuationsChanged{.data_centres = {DataCentreId("dc-p1")}});
  };
  const std::vector<std::function<void(ResumptionFixture&)>> changes = {
      leave_by_notice, drain, change_version, remove, evacuate};
  for (const auto& change : changes) {
    ResumptionFixture entry;
    entry.Start();
    for (int i = 0; i < 5; ++i) {
      entry.TakeUpAt("v1");
    }
    BOOST_REQUIRE(entry.EffectsOf<Dispatch>().size() == 3);
    change(entry);
    const auto refusals = entry.EffectsOf<Refuse>();
    BOOST_REQUIRE(refusals.size() == 2);
    BOOST_TEST((refusals[0].error.kind == ErrorKind::kStreamVersionGone));
    BOOST_TEST((refusals[1].error.kind == ErrorKind::kStreamVersionGone));
    BOOST_TEST(entry.LastOutcome() == "stream_version_gone");
    BOOST_TEST(entry.state.OpenRequestCount() == 3U);
    BOOST_TEST(entry.state.WaitingRequestCount() == 0U);
    // Later take-ups find the same.
    entry.TakeUpAt("v1");
    BOOST_TEST(entry.EffectsOf<Refuse>().size() == 3U);
  }
}

// Guards against versions of two services that are taken for one because they
// have one name.
BOOST_AUTO_TEST_CASE(VersionsOfTwoServicesAreTwo) {
  ResumptionFixture entry;
  entry.Start();
  for (const std::string service : {"plain", "other", "plain", "other"}) {
    const RequestId id = entry.SendTakeUp("first", "split");
    entry.Found(id, "v1", service);
    BOOST_TEST(entry.TargetsOf(id) == Names{service == "plain" ? "p1" : "o1"});
  }
  // The route doesn't lead there.
  entry.Found(entry.SendTakeUp("first", "stream"), "v1", "other");
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kStreamOriginUnknown));
}

// Guards against orders to load a model on targets that may not serve the
// stream, and against take-ups that wait for a model that nobody requests.
BOOST_AUTO_TEST_CASE(ModelIsRequestedForTheVersionOfTheTakeUp) {
  for (const std::string other : {"v1", "v2"}) {
    ResumptionFixture entry;
    entry.Start();
    entry.SetTargets({MakeVersionedTarget("e1", "engine", "v1"),
                      MakeLoadedTarget("e2", other, other == "v1")});
    const RequestId id = entry.SendTakeUp("first", "chat", "c", kModel);
    entry.Found(id, "v1", "engine");
    entry.RunFor(milliseconds(100));
    const auto requests = entry.EffectsOf<ModelLoadRequest>();
    BOOST_REQUIRE(requests.size() == 1);
    BOOST_TEST(
        (requests[0] == ModelLoadRequest{.service = ServiceId("engine"),
                                         .path = kModel,
                                         .waiting = 1,
                                         .latency_objective = milliseconds(250),
                                         .software = SoftwareVersion("v1")}));
    BOOST_TEST(entry.TargetsOf(id).empty());
    entry.targets[0].loaded = {kModel};
    entry.UpdateFleet();
    BOOST_TEST(entry.TargetsOf(id) == Names{"e1"});
  }
}

// Guards against take-ups that are refused early because their model is loaded
// at another version, too late for them, and against lost ranks.
BOOST_AUTO_TEST_CASE(LoadAtAnotherVersionRefusesNoTakeUpEarly) {
  Engine engine;
  engine.models.push_back(Model{.id = ModelId("m")});
  Configuration configuration = MakeRankedConfiguration()->value();
  configuration.services.push_back(
      {.id = ServiceId("engine"), .engine = engine});
  for (Route& route : configuration.routes) {
    route.retry_policy = RetryPolicy::kResumable;
    route.services = {{.service = ServiceId("engine")}};
  }
  configuration.customers[0].keys = {"key-c"};
  ResumptionFixture entry;
  entry.Feed(ConfigurationChanged{
      .configuration =
          std::make_shared<const ActiveConfiguration>(configuration)});
  entry.Feed(SharesChanged{.host_count = 1, .default_share = 1});
  entry.SetTargets({MakeVersionedTarget("e1", "engine", "v1"),
                    MakeVersionedTarget("e2", "engine", "v2")});
  entry.Feed(PlacementChange{.target = TargetId("e2"),
                             .instance = TargetInstance(1),
                             .path = kModel,
                             .is_load = true,
                             .ready_in = seconds(10)});
  const RequestId id = entry.SendTakeUp("first", "stream", "c", kModel);
  entry.Found(id, "v1", "engine");
  entry.RunFor(seconds(1));
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
  BOOST_TEST(entry.Logged(event_names::kWait, "rank").at(0) != "-");
  entry.targets[0].loaded = {kModel};
  entry.UpdateFleet();
  BOOST_TEST(entry.TargetsOf(id) == Names{"e1"});
}

// Guards against new requests that wait for a version that they don't need.
BOOST_AUTO_TEST_CASE(ModelIsRequestedForAnyVersionByNewRequests) {
  ResumptionFixture entry;
  entry.Start();
  entry.SetTargets({MakeVersionedTarget("e1", "engine", "v1"),
                    MakeVersionedTarget("e2", "engine", "v2")});
  entry.SendRequest("chat", kModel, "key-c");
  const auto requests = entry.EffectsOf<ModelLoadRequest>();
  BOOST_REQUIRE(requests.size() == 1);
  BOOST_TEST(!requests[0].software.has_value());
}

// Guards against a lease holder that doubts the state of targets of other
// versions since a take-up waits.
BOOST_AUTO_TEST_CASE(DenialsOfOtherVersionsAreNotReported) {
  for (const std::string denying : {"e1", "e2"}) {
    ResumptionFixture entry;
    entry.Start();
    const auto loaded = MakeLoadedTarget(denying, denying == "e1" ? "v1" : "v2",
                                         /*is_draining=*/false);
    entry.SetTargets({MakeVersionedTarget("e0", "engine", "v1"), loaded});
    entry.SendRequest("chat", kModel, "key-c");
    entry.EndAttempt(entry.EffectsOf<Dispatch>().at(0),
                     AttemptOutcome::kNotLoaded);
    entry.effects.clear();
    const RequestId id = entry.SendTakeUp("first", "chat", "c", kModel);
    entry.Found(id, "v1", "engine");
    entry.RunFor(milliseconds(50));
    const auto requests = entry.EffectsOf<ModelLoadRequest>();
    const auto pinned = std::ranges::find(
        requests, SoftwareVersion("v1"), [](const ModelLoadRequest& request) {
          return request.software.value_or(SoftwareVersion());
        });
    BOOST_REQUIRE((pinned != requests.end()));
    BOOST_TEST(
        (pinned->denied_by == (denying == "e1" ? std::vector{TargetId("e1")}
                                               : std::vector<TargetId>())));
  }
}

// Guards against take-ups that wait for a load on a target of another version
// as if it were on one of theirs.
BOOST_AUTO_TEST_CASE(LoadOnAnotherVersionIsNotWaitedFor) {
  for (const std::string target : {"e1", "e2"}) {
    ResumptionFixture entry;
    entry.Start();
    entry.SetTargets({MakeVersionedTarget("e1", "engine", "v1"),
                      MakeVersionedTarget("e2", "engine", "v2")});
    entry.Feed(PlacementChange{.target = TargetId(target),
                               .instance = TargetInstance(1),
                               .path = kModel,
                               .is_load = true,
                               .ready_in = seconds(20)});
    const RequestId id = entry.SendTakeUp("first", "chat", "c", kModel);
    entry.Found(id, "v1", "engine");
    entry.RunFor(milliseconds(1000));
    BOOST_TEST(entry.EffectsOf<ModelLoadRequest>().size() ==
               (target == "e1" ? 0U : 3U));
    entry.RunFor(seconds(3));
    BOOST_TEST((entry.RefusalKind() == ErrorKind::kNoCapacity));
    const auto retry_after = entry.EffectsOf<Refuse>()[0].retry_after;
    BOOST_REQUIRE(retry_after.has_value());
    BOOST_TEST((*retry_after > seconds(10)) == (target == "e1"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
