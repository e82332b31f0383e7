#include <boost/test/unit_test.hpp>
#include <chrono>

#include "resumption_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Names = std::vector<std::string>;

/// More than half of what the customer may use at once.
constexpr double kMuch = 6000;

// Whether the customer has its cost back, after something has ended a request
// of that cost.
template <typename End>
bool IsRefundedAfter(End end) {
  ResumptionFixture entry;
  entry.Start();
  const RequestId id =
      entry.SendTakeUp("first", "stream", "c", std::nullopt, kMuch);
  BOOST_REQUIRE(entry.EffectsOf<LookUpOrigin>().size() == 1);
  end(entry, id);
  entry.effects.clear();
  entry.SendTakeUp("first", "stream", "c", std::nullopt, kMuch);
  return entry.EffectsOf<LookUpOrigin>().size() == 1;
}

BOOST_AUTO_TEST_SUITE(origin_lookup)

// Guards against requests that wait for ever for a reply, and against a late
// reply that revives them.
BOOST_AUTO_TEST_CASE(MissingReplyIsARefusalWithRetryAfter) {
  ResumptionFixture entry;
  entry.Start();
  const RequestId id = entry.SendTakeUp("first");
  entry.RunFor(milliseconds(490));
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
  entry.RunFor(milliseconds(20));
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kStreamOriginUnreachable));
  BOOST_TEST(entry.EffectsOf<Refuse>()[0].retry_after.has_value());
  BOOST_TEST(entry.LastOutcome() == "stream_origin_unreachable");
  entry.Found(id, "v1");
  BOOST_TEST(entry.EffectsOf<Dispatch>().empty());
  BOOST_TEST(entry.state.OpenRequestCount() == 0U);
}

// Guards against guesses while the store is away.
BOOST_AUTO_TEST_CASE(UnreachableLogIsARefusalWithRetryAfter) {
  ResumptionFixture entry;
  entry.Start();
  entry.SetTargets({MakeVersionedTarget("p1", "plain", "v1")});
  entry.Wait(seconds(200));
  const RequestId id = entry.SendTakeUp("first");
  entry.Feed(OriginLookedUp{.request = id, .result = OriginLogUnreachable{}});
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kStreamOriginUnreachable));
  BOOST_TEST(entry.EffectsOf<Refuse>()[0].retry_after.has_value());
}

// Guards against requests of callers that have left, and against lost refunds
// of costs.
BOOST_AUTO_TEST_CASE(CallerMayLeaveWhileTheOriginIsLookedUp) {
  ResumptionFixture entry;
  entry.Start();
  const RequestId id = entry.SendTakeUp("first");
  entry.Feed(CallerDisconnected{.request = id});
  BOOST_TEST(entry.state.OpenRequestCount() == 0U);
  entry.Found(id, "v1");
  entry.RunFor(seconds(3));
  BOOST_TEST(entry.EffectsOf<Dispatch>().empty());
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
}

// Guards against take-ups that are refused and yet use up a customer's limit.
BOOST_AUTO_TEST_CASE(CostOfATakeUpThatIsNotServedIsRefunded) {
  BOOST_TEST(!IsRefundedAfter([](ResumptionFixture&, const RequestId&) {}));
  BOOST_TEST(
      !IsRefundedAfter([](ResumptionFixture& entry, const RequestId& id) {
        entry.Found(id, "v1");
      }));
  BOOST_TEST(IsRefundedAfter([](ResumptionFixture& entry, const RequestId& id) {
    entry.Feed(CallerDisconnected{.request = id});
  }));
  BOOST_TEST(IsRefundedAfter([](ResumptionFixture& entry, const RequestId& id) {
    entry.NotRecorded(id);
  }));
  BOOST_TEST(IsRefundedAfter([](ResumptionFixture& entry, const RequestId& id) {
    entry.Found(id, "v0");
  }));
}

// Guards against take-ups that outlast the time for which a process that stops
// lets requests wait.
BOOST_AUTO_TEST_CASE(StopEndsALookUpInTime) {
  ResumptionFixture entry;
  entry.Start();
  const RequestId id = entry.SendTakeUp("first");
  entry.Feed(EntryStopRequested{.grace_period = milliseconds(400)});
  entry.RunFor(milliseconds(220));
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kStopping));
  BOOST_TEST(entry.state.OpenRequestCount() == 0U);
  entry.Found(id, "v1");
  BOOST_TEST(entry.EffectsOf<Dispatch>().empty());
}

// Guards against take-ups that are lost by a stop request while there is time
// to serve them.
BOOST_AUTO_TEST_CASE(LookUpMayEndAfterAStopRequest) {
  ResumptionFixture entry;
  entry.Start();
  const RequestId id = entry.SendTakeUp("first");
  entry.Feed(EntryStopRequested{.grace_period = seconds(10)});
  entry.RunFor(milliseconds(100));
  entry.Found(id, "v1");
  BOOST_TEST(entry.TargetsOf(id) == Names{"p1"});
  entry.EndAttempt(entry.LastDispatchOf(id), AttemptOutcome::kCompleted, 200);
  entry.RunFor(seconds(6));
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
  BOOST_TEST(entry.state.OpenRequestCount() == 0U);
}

// Guards against look-ups for requests that their customer's limit may yet
// refuse.
BOOST_AUTO_TEST_CASE(QuotaIsGrantedBeforeTheLookUp) {
  ResumptionFixture entry;
  entry.Start();
  entry.Feed(SharesChanged{.host_count = 100,
                           .default_share = 0.01,
                           .is_lease_holder_reachable = true});
  const RequestId id =
      entry.SendTakeUp("first", "stream", "c", std::nullopt, kMuch);
  BOOST_REQUIRE(entry.EffectsOf<QuotaRequest>().size() == 1);
  BOOST_TEST(entry.EffectsOf<LookUpOrigin>().empty());
  // No reply to this was requested yet.
  entry.Found(id, "v1");
  BOOST_TEST(entry.EffectsOf<Dispatch>().empty());
  entry.Feed(QuotaReply{.request = id, .is_granted = true});
  BOOST_REQUIRE(entry.EffectsOf<LookUpOrigin>().size() == 1);
  entry.Found(id, "v1");
  BOOST_TEST(entry.TargetsOf(id) == Names{"p1"});
}

// Guards against a rest of all targets that ends requests in no queue.
BOOST_AUTO_TEST_CASE(RestOfAllTargetsEndsNoLookUp) {
  ResumptionFixture entry;
  entry.Start();
  entry.SetTargets({MakeVersionedTarget("p1", "plain", "v1")});
  const RequestId running = entry.SendNew("stream");
  entry.SendTakeUp("first");
  const Dispatch dispatch = entry.LastDispatchOf(running);
  entry.Feed(AttemptEnded{.request = running,
                          .attempt = dispatch.attempt,
                          .outcome = AttemptOutcome::kShed,
                          .http_status = 503,
                          .notice = {.rest = seconds(60)}});
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kNoCapacity));
  BOOST_TEST(entry.state.OpenRequestCount() == 1U);
}

// Guards against decisions that `explain` can't show, and against long ids in
// logs.
BOOST_AUTO_TEST_CASE(DecisionIsLoggedUnderTheCallersId) {
  ResumptionFixture entry;
  entry.Start();
  const RequestId id = entry.SendTakeUp(std::string(1000, 'x'));
  entry.Found(id, "v1");
  const auto records = entry.EffectsOf<DecisionRecord>();
  const auto line = std::ranges::find(
      records, std::string(event_names::kStreamResume), &DecisionRecord::event);
  BOOST_REQUIRE(line != records.end());
  BOOST_TEST(line->request.value() == "caller-" + id.value());
  BOOST_TEST((line->fields ==
              std::vector<LogField>{{"first_request", std::string(128, 'x')},
                                    {"version", "v1"},
                                    {"known_from", "log"},
                                    {"age_ms", "70"},
                                    {"outcome", "pinned"}}));
  BOOST_TEST(entry.Logged(event_names::kDispatch, "software") == Names{"v1"});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
