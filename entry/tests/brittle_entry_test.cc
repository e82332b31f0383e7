#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "cicadaloft/entry/event_names.h"
#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TargetNotice kBrittle{.rejection_limit = 6};

std::size_t CountDispatches(const EntryFixture& entry) {
  return entry.EffectsOf<Dispatch>().size();
}

void Answer(EntryFixture& entry,
            const Dispatch& dispatch,
            const TargetNotice& notice) {
  entry.Feed(ResponseStarted{.request = dispatch.request,
                             .attempt = dispatch.attempt,
                             .notice = notice});
}

void Shed(EntryFixture& entry,
          const Dispatch& dispatch,
          const TargetNotice& notice) {
  entry.Feed(AttemptEnded{.request = dispatch.request,
                          .attempt = dispatch.attempt,
                          .outcome = AttemptOutcome::kShed,
                          .http_status = 503,
                          .load = TargetLoad{.running = 2, .slots = 2},
                          .notice = notice});
}

void SendRequests(EntryFixture& entry, int count) {
  for (int i = 0; i < count; ++i) {
    entry.SendRequest("any");
    entry.RunFor(milliseconds(100));
  }
}

/// An entry that has started among others, as it does after a crash.
class RestartedEntry : public EntryFixture {
 public:
  explicit RestartedEntry(const SharesChanged& shares) {
    this->state = EntryState(EntrySettings{
        .host = HostId("a"), .data_centre = DataCentreId("dc-p1")});
    this->Start();
    Configuration unlimited = MakeConfiguration(2)->value();
    unlimited.customers[0].rate_per_second = 0;
    this->Feed(ConfigurationChanged{
        .configuration =
            std::make_shared<const ActiveConfiguration>(std::move(unlimited))});
    this->Feed(shares);
    this->RunFor(seconds(3));
  }
};

BOOST_AUTO_TEST_SUITE(brittle_entry)

// Guards against requests that wait at a target that crashes of them.
BOOST_AUTO_TEST_CASE(NothingWaitsAtBrittleTargets) {
  EntryFixture entry;
  entry.Start();
  entry.SendRequest("any");
  Answer(entry, entry.EffectsOf<Dispatch>().at(0), kBrittle);
  SendRequests(entry, 8);
  // Two targets of two slots; p2 has not answered yet.
  BOOST_TEST(CountDispatches(entry) == 4U);
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
  entry.EndAttempt(entry.EffectsOf<Dispatch>().at(0),
                   AttemptOutcome::kCompleted, 200);
  BOOST_TEST(CountDispatches(entry) == 5U);
}

// Guards against an effect on targets that state no limit.
BOOST_AUTO_TEST_CASE(TargetsWithoutALimitQueueAsBefore) {
  EntryFixture entry;
  entry.Start();
  entry.SendRequest("any");
  Answer(entry, entry.EffectsOf<Dispatch>().at(0), {});
  SendRequests(entry, 8);
  BOOST_TEST(CountDispatches(entry) == 6U);
}

// Guards against callers that are refused because brittle targets had no room,
// while other targets or a later moment could serve them.
BOOST_AUTO_TEST_CASE(RejectionByBrittleTargetNeedsNoRetryBudget) {
  EntryFixture entry;
  entry.Start();
  entry.Feed(SharesChanged{.host_count = 100,
                           .host_position = 0,
                           .position_count = 2,
                           .default_share = 1});
  entry.SendRequest("any");
  Answer(entry, entry.EffectsOf<Dispatch>().at(0), kBrittle);
  entry.SendRequest("any");
  for (std::size_t i = 1; i < 6 && i < CountDispatches(entry); ++i) {
    Shed(entry, entry.EffectsOf<Dispatch>().at(i), kBrittle);
    entry.RunFor(milliseconds(300));
  }
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
}

// Guards against a host that sends as much as it likes before it has heard from
// its first target.
BOOST_AUTO_TEST_CASE(HostAmongOthersBeginsWithOneRequest) {
  RestartedEntry entry({.host_count = 2, .default_share = 1});
  entry.SendRequest("any");
  entry.SendRequest("any");
  entry.SendRequest("any");
  BOOST_TEST(CountDispatches(entry) == 1U);
  Answer(entry, entry.EffectsOf<Dispatch>().at(0), {});
  entry.RunFor(milliseconds(10));
  BOOST_TEST(CountDispatches(entry) == 3U);
}

// Guards against a host that goes on without bound after it has heard the
// limit, and against one that ignores its position.
BOOST_AUTO_TEST_CASE(HostAmongOthersKeepsToItsPart) {
  RestartedEntry entry({.host_count = 2,
                        .host_position = 1,
                        .position_count = 2,
                        .positioned_since = kStart,
                        .default_share = 1});
  SendRequests(entry, 4);
  BOOST_TEST(CountDispatches(entry) == 2U);
  Answer(entry, entry.EffectsOf<Dispatch>().at(0), kBrittle);
  SendRequests(entry, 4);
  BOOST_TEST(CountDispatches(entry) == 2U);
}

// Guards against a log that has a line for each answer.
BOOST_AUTO_TEST_CASE(BeginAndEndOfBrittlenessAreLoggedOnce) {
  EntryFixture entry;
  entry.Start();
  const auto count_lines = [&] {
    return std::ranges::count_if(
        entry.EffectsOf<DecisionRecord>(), [](const DecisionRecord& record) {
          return std::string(record.event) == event_names::kTargetBrittle;
        });
  };
  const auto answer_all = [&](const TargetNotice& notice) {
    for (int i = 0; i < 5; ++i) {
      const RequestId id = entry.SendRequest("once");
      const Dispatch dispatch = entry.EffectsOf<Dispatch>().back();
      BOOST_REQUIRE(dispatch.request == id);
      Answer(entry, dispatch, notice);
      entry.EndAttempt(dispatch, AttemptOutcome::kCompleted, 200);
    }
  };
  answer_all(kBrittle);
  const auto begun = count_lines();
  BOOST_TEST(begun >= 1);
  BOOST_TEST(begun <= 2);
  answer_all({});
  BOOST_TEST(count_lines() == begun);
  entry.RunFor(kBrittleTtl);
  answer_all({});
  BOOST_TEST(count_lines() <= 2 * begun);
  BOOST_TEST(count_lines() > begun);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
