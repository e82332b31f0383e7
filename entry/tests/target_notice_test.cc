#include <boost/test/unit_test.hpp>
#include <chrono>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TargetNotice kLeaving{.is_leaving = true};

std::size_t CountDispatchesTo(const EntryFixture& entry,
                              const std::string& target) {
  return static_cast<std::size_t>(std::ranges::count_if(
      entry.EffectsOf<Dispatch>(), [&](const Dispatch& dispatch) {
        return dispatch.target.value() == target;
      }));
}

void EndWith(EntryFixture& entry,
             const Dispatch& dispatch,
             AttemptOutcome outcome,
             int status,
             const TargetNotice& notice) {
  entry.Feed(AttemptEnded{.request = dispatch.request,
                          .attempt = dispatch.attempt,
                          .outcome = outcome,
                          .http_status = status,
                          .notice = notice});
}

BOOST_AUTO_TEST_SUITE(target_notice)

// Guards against requests to a target that has said in an answer that it
// leaves.
BOOST_AUTO_TEST_CASE(TargetThatLeavesGetsNoFurtherRequests) {
  EntryFixture entry;
  entry.Start();
  entry.SendRequest("any");
  const Dispatch first = entry.EffectsOf<Dispatch>().at(0);
  BOOST_REQUIRE(first.target.value() == "p1");
  // The head is enough: the response may take seconds.
  entry.Feed(ResponseStarted{
      .request = first.request, .attempt = first.attempt, .notice = kLeaving});
  const auto reports = entry.EffectsOf<TargetLeavingReport>();
  BOOST_REQUIRE(reports.size() == 1);
  BOOST_TEST(reports[0].target.value() == "p1");
  BOOST_TEST(reports[0].instance.value() == 1U);
  EndWith(entry, first, AttemptOutcome::kCompleted, 200, kLeaving);
  BOOST_TEST(entry.EffectsOf<TargetLeavingReport>().size() == 1U);
  // The registry still says that it is ready.
  entry.UpdateFleet();
  entry.RunFor(seconds(10));
  for (int i = 0; i < 4; ++i) {
    entry.SendRequest("any");
  }
  BOOST_TEST(CountDispatchesTo(entry, "p1") == 1U);
  entry.effects.clear();
  entry.targets[0].instance = TargetInstance(2);
  entry.UpdateFleet();
  BOOST_TEST(CountDispatchesTo(entry, "p1") > 0U);
}

BOOST_AUTO_TEST_CASE(RefusalOfTargetThatLeavesCountsToo) {
  EntryFixture entry;
  entry.Start();
  entry.SendRequest("any");
  EndWith(entry, entry.EffectsOf<Dispatch>().at(0), AttemptOutcome::kShed, 503,
          kLeaving);
  entry.RunFor(seconds(1));
  BOOST_TEST(CountDispatchesTo(entry, "p1") == 1U);
  BOOST_TEST(CountDispatchesTo(entry, "p2") == 1U);
}

// Guards against requests to a target within the time for which it has asked
// this host to stay away.
BOOST_AUTO_TEST_CASE(TargetThatRestsGetsNothingUntilItsTimeIsOver) {
  EntryFixture entry;
  entry.Start();
  entry.SendRequest("once");
  EndWith(entry, entry.EffectsOf<Dispatch>().at(0), AttemptOutcome::kShed, 503,
          {.rest = seconds(3)});
  BOOST_TEST(CountDispatchesTo(entry, "p2") == 1U);
  const TimePoint end = entry.now + seconds(3);
  while (entry.now < end - milliseconds(20)) {
    entry.SendRequest("once");
    entry.RunFor(milliseconds(50));
    for (const Dispatch& dispatch : entry.EffectsOf<Dispatch>()) {
      entry.EndAttempt(dispatch, AttemptOutcome::kCompleted, 200);
    }
  }
  BOOST_TEST(CountDispatchesTo(entry, "p1") == 1U);
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
  entry.RunFor(milliseconds(100));
  entry.SendRequest("once");
  entry.SendRequest("once");
  BOOST_TEST(CountDispatchesTo(entry, "p1") > 1U);
}

// A wait that can't end well is refused at once: the targets may still accept
// other hosts, to which the caller can turn.
BOOST_AUTO_TEST_CASE(RequestIsRefusedAtOnceIfAllTargetsRestForLonger) {
  EntryFixture entry;
  entry.Start();
  entry.targets[1].is_draining = true;
  entry.UpdateFleet();
  entry.SendRequest("once");
  EndWith(entry, entry.EffectsOf<Dispatch>().at(0), AttemptOutcome::kShed, 503,
          {.rest = seconds(60)});
  BOOST_REQUIRE(entry.EffectsOf<Refuse>().size() == 1);
  const Refuse refusal = entry.EffectsOf<Refuse>().at(0);
  BOOST_TEST((refusal.run_state == RunState::kNotRun));
  BOOST_TEST((refusal.error.kind == ErrorKind::kNoCapacity));
  entry.SendRequest("once");
  BOOST_TEST(entry.EffectsOf<Refuse>().size() == 2U);
  BOOST_TEST(CountDispatchesTo(entry, "p1") == 1U);
}

// Guards against requests to a target that rests, after its registry entry has
// lapsed and come back.
BOOST_AUTO_TEST_CASE(RestOutlivesTheRegistryEntryOfTheProcess) {
  EntryFixture entry;
  entry.Start();
  entry.SendRequest("any");
  const Dispatch first = entry.EffectsOf<Dispatch>().at(0);
  BOOST_REQUIRE(first.target.value() == "p1");
  EndWith(entry, first, AttemptOutcome::kShed, 503, {.rest = seconds(20)});
  const auto targets = entry.targets;
  std::erase_if(entry.targets, [](const TargetRecord& target) {
    return target.id.value() == "p1";
  });
  entry.UpdateFleet();
  entry.RunFor(seconds(2));
  entry.targets = targets;
  entry.UpdateFleet();
  for (int i = 0; i < 8; ++i) {
    entry.SendRequest("any");
  }
  BOOST_TEST(CountDispatchesTo(entry, "p1") == 1U);
  entry.RunFor(seconds(20));
  for (int i = 0; i < 8; ++i) {
    entry.SendRequest("any");
  }
  BOOST_TEST(CountDispatchesTo(entry, "p1") > 1U);
}

// A new process has said nothing yet.
BOOST_AUTO_TEST_CASE(RestEndsWithTheProcessWhileItsEntryIsGone) {
  EntryFixture entry;
  entry.Start();
  entry.SendRequest("any");
  EndWith(entry, entry.EffectsOf<Dispatch>().at(0), AttemptOutcome::kShed, 503,
          {.rest = seconds(20)});
  auto targets = entry.targets;
  std::erase_if(entry.targets, [](const TargetRecord& target) {
    return target.id.value() == "p1";
  });
  entry.UpdateFleet();
  for (TargetRecord& target : targets) {
    target.instance = TargetInstance(2);
  }
  entry.targets = targets;
  entry.UpdateFleet();
  for (int i = 0; i < 8; ++i) {
    entry.SendRequest("any");
  }
  BOOST_TEST(CountDispatchesTo(entry, "p1") > 1U);
}

BOOST_AUTO_TEST_CASE(ShortRestIsWaitedFor) {
  EntryFixture entry;
  entry.Start();
  entry.targets[1].is_draining = true;
  entry.UpdateFleet();
  entry.SendRequest("once");
  EndWith(entry, entry.EffectsOf<Dispatch>().at(0), AttemptOutcome::kShed, 503,
          {.rest = milliseconds(300)});
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
  entry.RunFor(milliseconds(400));
  BOOST_TEST(CountDispatchesTo(entry, "p1") == 2U);
}

BOOST_AUTO_TEST_CASE(RestIsCapped) {
  ObservedNotices notices;
  notices.Add({.rest = Duration::max()}, kStart);
  BOOST_TEST(notices.IsResting(kStart + kMaxTargetRest - milliseconds(1)));
  BOOST_TEST(!notices.IsResting(kStart + kMaxTargetRest));
  // A shorter rest doesn't end a longer one.
  notices.Add({.rest = seconds(1)}, kStart);
  BOOST_TEST(notices.IsResting(kStart + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
