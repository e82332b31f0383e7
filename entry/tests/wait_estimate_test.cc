#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "cicadaloft/entry/event_names.h"
#include "overload_simulation.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCapacity = OverloadSimulation::kCapacityPerSecond;

std::size_t CountEarlyRefusals(const EntryFixture& entry) {
  return static_cast<std::size_t>(std::ranges::count(
      entry.EffectsOf<DecisionRecord>(),
      std::string_view(event_names::kRefuseEarly), &DecisionRecord::event));
}

/// A ranked service whose route "stream" needs a model.
class ModelEntry : public EntryFixture {
 public:
  ModelEntry() {
    Engine engine;
    engine.models.push_back(Model{.id = ModelId("m")});
    Configuration configuration = MakeRankedConfiguration()->value();
    configuration.services.push_back(
        {.id = ServiceId("engine"), .engine = engine});
    for (Route& route : configuration.routes) {
      route.services = {{.service = ServiceId("engine")}};
    }
    this->Feed(ConfigurationChanged{
        .configuration =
            std::make_shared<const ActiveConfiguration>(configuration)});
    this->UpdateFleet();
    this->Feed(SharesChanged{.host_count = 1, .default_share = 1});
  }

  void LoadModel(Duration ready_in) {
    this->Feed(PlacementChange{.target = TargetId("e1"),
                               .instance = TargetInstance(1),
                               .path = kModel,
                               .is_load = true,
                               .ready_in = ready_in});
  }
};

BOOST_AUTO_TEST_SUITE(wait_estimate)

// Guards against requests that wait in vain for all the time that they may: an
// early refusal leaves the caller more time.
BOOST_AUTO_TEST_CASE(RequestsThatCannotBeServedAreRefusedAtOnce) {
  OverloadSimulation run({{.route = "note", .per_second = 2 * kCapacity}});
  run.RunFor(seconds(60));
  const LoadResult& result = run.ResultOf(0);
  // The route's requests may wait for 1.2 s.
  BOOST_TEST((result.refusal_delay / result.refusals < milliseconds(600)));
  // No capacity is left idle for it.
  BOOST_TEST(result.served >= 0.98 * 60 * kCapacity);
}

// Guards against refusals by the look of a moment: capacity is enough for the
// waves as a whole, and the late requests are served in the troughs.
BOOST_AUTO_TEST_CASE(WavesThatCapacityCoversCauseNoRefusals) {
  OverloadSimulation run(
      {{.route = "stream", .per_second = 0.9 * kCapacity, .wave = 0.9}});
  run.RunFor(seconds(120));
  BOOST_TEST(run.ResultOf(0).refusals == 0);
  BOOST_TEST(run.ResultOf(0).ServedFraction() > 0.98);
}

// Guards against an estimate that is made of too little.
BOOST_AUTO_TEST_CASE(ShortSurgeCausesNoEarlyRefusal) {
  OverloadSimulation run({{.route = "note", .per_second = 3 * kCapacity}});
  run.RunFor(seconds(10));
  BOOST_TEST(run.EarlyRefusals() == 0);
}

BOOST_AUTO_TEST_CASE(RequestIsRefusedAtOnceIfItsModelIsLoadedTooLate) {
  ModelEntry entry;
  entry.LoadModel(seconds(10));
  // May wait for 7.2 s.
  entry.SendRequest("stream", kModel, "c0");
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kNoCapacity));
  BOOST_TEST(CountEarlyRefusals(entry) == 1U);
}

// Loads may end earlier than expected.
BOOST_AUTO_TEST_CASE(RequestWaitsIfItsModelMayBeLoadedInTime) {
  ModelEntry entry;
  entry.LoadModel(milliseconds(2500));
  // May wait for 2.4 s, its timeout being 4 s.
  entry.SendRequest("stream", kModel, "c0");
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
  entry.RunFor(seconds(1));
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
}

BOOST_AUTO_TEST_CASE(RequestForAModelThatNobodyLoadsWaits) {
  ModelEntry entry;
  entry.SendRequest("stream", kModel, "c0");
  entry.RunFor(seconds(2));
  BOOST_TEST(entry.EffectsOf<Refuse>().empty());
}

// Guards against the statement that a request has not run, if it may have.
BOOST_AUTO_TEST_CASE(RequestThatMayHaveRunIsNotRefusedEarly) {
  ModelEntry entry;
  Configuration configuration = MakeRankedConfiguration()->value();
  configuration.version = ConfigurationVersion(2);
  for (Route& route : configuration.routes) {
    route.retry_policy = RetryPolicy::kIdempotent;
    route.max_runs = 2;
    route.services = {{.service = ServiceId("engine")}};
  }
  configuration.services.push_back({.id = ServiceId("engine")});
  entry.Feed(ConfigurationChanged{
      .configuration =
          std::make_shared<const ActiveConfiguration>(configuration)});
  entry.LoadModel(Duration::zero());
  entry.RunFor(milliseconds(10));
  entry.SendRequest("stream", kModel, "c0");
  BOOST_REQUIRE(entry.EffectsOf<Dispatch>().size() == 1);
  // It crashes the only target; another loads the model too late for it.
  entry.EndAttempt(entry.EffectsOf<Dispatch>()[0],
                   AttemptOutcome::kBrokenBeforeResponse);
  entry.targets.clear();
  entry.UpdateFleet();
  entry.targets = {MakeTarget("e2", "engine")};
  entry.UpdateFleet();
  entry.Feed(PlacementChange{.target = TargetId("e2"),
                             .instance = TargetInstance(1),
                             .path = kModel,
                             .is_load = true,
                             .ready_in = seconds(60)});
  BOOST_TEST(entry.state.WaitingRequestCount() == 1);
  entry.RunFor(seconds(4));
  BOOST_TEST(CountEarlyRefusals(entry) == 0U);
  const auto refusals = entry.EffectsOf<Refuse>();
  BOOST_REQUIRE(refusals.size() == 1);
  BOOST_TEST(GetErrorInfo(refusals[0].error.kind).http_status == 502);
}

// Guards against a change for deployments that don't call for it.
BOOST_AUTO_TEST_CASE(ServiceWithoutRanksRefusesNothingEarly) {
  EntryFixture entry;
  entry.Start();
  for (int i = 0; i < 90; ++i) {
    entry.SendRequest("any");
    entry.RunFor(milliseconds(50));
  }
  BOOST_TEST(CountEarlyRefusals(entry) == 0U);
  BOOST_TEST(entry.EffectsOf<WaitMeasured>().empty());
}

// Guards against metrics without the waits that an estimate was made for.
BOOST_AUTO_TEST_CASE(WaitsAreMeasuredWithTheirEstimates) {
  OverloadSimulation run({{.route = "stream", .per_second = 1.1 * kCapacity}});
  run.RunFor(seconds(60));
  BOOST_TEST(run.EstimatedWaits() > 100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
