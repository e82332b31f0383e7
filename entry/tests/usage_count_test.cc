#define BOOST_TEST_MODULE usage_count
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;

struct CountingEntry : EntryFixture {
  explicit CountingEntry(bool counts_usage) {
    this->state = EntryState(EntrySettings{.host = HostId("a"),
                                           .data_centre = DataCentreId("dc-p1"),
                                           .retry_ratio = 0.2,
                                           .retry_slack = 10,
                                           .is_first_start = true,
                                           .counts_usage = counts_usage});
    this->Start();
  }

  void Respond(const Dispatch& dispatch, bool has_run) {
    this->Feed(ResponseStarted{.request = dispatch.request,
                               .attempt = dispatch.attempt,
                               .has_run = has_run});
  }

  std::uint64_t Started() const {
    std::uint64_t total = 0;
    for (const RequestsStarted& started : this->EffectsOf<RequestsStarted>()) {
      total += started.counts.at(CustomerId("c"));
    }
    return total;
  }
};

// Guards against a request that is billed for each of its attempts, or for one
// that hasn't run.
BOOST_AUTO_TEST_CASE(RequestIsCountedOnceWhenItsResponseStarts) {
  CountingEntry entry(true);
  entry.SendRequest("any");
  const Dispatch first = entry.EffectsOf<Dispatch>().at(0);
  entry.EndAttempt(first, AttemptOutcome::kBrokenBeforeResponse);
  entry.RunFor(milliseconds(500));
  BOOST_TEST(entry.Started() == 0U);
  const Dispatch second = entry.EffectsOf<Dispatch>().at(1);
  entry.Respond(first, true);
  entry.Respond(second, true);
  entry.Respond(second, true);
  entry.RunFor(milliseconds(20));
  BOOST_TEST(entry.Started() == 1U);
  entry.EndAttempt(second, AttemptOutcome::kCompleted, 200);
  entry.RunFor(milliseconds(500));
  BOOST_TEST(entry.Started() == 1U);
}

// Guards against requests that are billed although the target refused them.
BOOST_AUTO_TEST_CASE(ResponseWithoutARunIsNotCounted) {
  CountingEntry entry(true);
  entry.SendRequest("once");
  entry.Respond(entry.EffectsOf<Dispatch>().at(0), false);
  entry.RunFor(milliseconds(20));
  BOOST_TEST(entry.Started() == 0U);
}

// Guards against messages where the platform wants no usage reports.
BOOST_AUTO_TEST_CASE(NothingIsCountedWithoutTheDuty) {
  CountingEntry entry(false);
  entry.SendRequest("once");
  entry.Respond(entry.EffectsOf<Dispatch>().at(0), true);
  entry.RunFor(milliseconds(500));
  BOOST_TEST(entry.EffectsOf<RequestsStarted>().empty());
}

}  // namespace
}  // namespace cicadaloft
