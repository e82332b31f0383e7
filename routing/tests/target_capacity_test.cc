#include "cicadaloft/routing/target_capacity.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <limits>
#include <optional>

#include "cicadaloft/routing/estimated_cost.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow(seconds(1000));
const TargetKind kKind{.slots = 16, .memory_tokens = 59'594};
const std::optional<ModelId> kSmall(ModelId("small"));
const std::optional<ModelId> kLarge(ModelId("large"));
const RequestSize kSize{.prompt_tokens = 700,
                        .output_tokens = 280,
                        .events = 31};

CompletedRun Run(const std::optional<ModelId>& model, Duration interval) {
  return CompletedRun{.stated = {.model = model,
                                 .prompt_tokens = 700,
                                 .max_output_tokens = 400,
                                 .expected_output_tokens = 280},
                      .events = 31,
                      .first_token = milliseconds(60),
                      .streamed = 30 * interval};
}

TargetLoad Load(std::uint32_t running, std::uint32_t percent = 100) {
  return TargetLoad{
      .running = running, .slots = 16, .work_time_percent = percent};
}

/// Two targets of one service.
struct Targets {
  Targets() {
    this->one.OnReport(Load(4), kKind, this->pace, this->now);
    this->two.OnReport(Load(4), kKind, this->pace, this->now);
  }

  /// Streams of the same model on both targets.
  void RunOnBoth(Duration on_one, Duration on_two, int count = 20) {
    for (int i = 0; i < count; ++i) {
      this->now += seconds(1);
      this->one.OnReport(Load(4), kKind, this->pace, this->now);
      this->two.OnReport(Load(4), kKind, this->pace, this->now);
      this->one.OnRun(Run(kSmall, on_one), kKind, this->pace, this->now);
      this->two.OnRun(Run(kSmall, on_two), kKind, this->pace, this->now);
    }
  }

  TargetEstimate Estimate(const TargetCapacity& target,
                          const RequestSize& size = kSize) const {
    return target.Estimate(size, 0, kSmall, kKind, this->pace, this->now);
  }
  double Cost(const TargetCapacity& target) const {
    return CostOf(this->Estimate(target), Duration::zero(), false).milliseconds;
  }

  TimePoint now = kNow;
  ServicePace pace;
  TargetCapacity one;
  TargetCapacity two;
};

BOOST_AUTO_TEST_SUITE(target_capacity)

// Guards against equal shares of work for machines of different speed.
BOOST_FIXTURE_TEST_CASE(SlowerTargetHasLongerIntervalsAndHigherCost, Targets) {
  this->RunOnBoth(milliseconds(30), milliseconds(80));
  const TargetEstimate fast = this->Estimate(this->one);
  const TargetEstimate slow = this->Estimate(this->two);
  BOOST_TEST((slow.event_interval > 2 * fast.event_interval));
  BOOST_TEST((fast.event_interval > milliseconds(20)));
  BOOST_TEST((fast.event_interval < milliseconds(45)));
  BOOST_TEST((slow.completion > fast.completion));
  BOOST_TEST(this->Cost(this->two) > this->Cost(this->one));
  // It gets work again while the faster one is busy.
  this->one.OnReport(Load(14), kKind, this->pace, this->now);
  BOOST_TEST(this->Cost(this->two) < this->Cost(this->one));
}

// Guards against a target that is taken for slow because its model is large.
BOOST_FIXTURE_TEST_CASE(LargerModelDoesNotMakeItsTargetSlow, Targets) {
  for (int i = 0; i < 40; ++i) {
    this->now += seconds(1);
    for (TargetCapacity* target : {&this->one, &this->two}) {
      target->OnRun(Run(kSmall, milliseconds(40)), kKind, this->pace,
                    this->now);
      target->OnRun(Run(kLarge, milliseconds(160)), kKind, this->pace,
                    this->now);
    }
  }
  this->two.OnRun(Run(kLarge, milliseconds(160)), kKind, this->pace, this->now);
  BOOST_TEST(this->two.Slowness(this->pace, this->now) < 1.2);
  BOOST_TEST(this->two.Slowness(this->pace, this->now) > 0.8);
  const auto large =
      this->two.Estimate(kSize, 0, kLarge, kKind, this->pace, this->now);
  BOOST_TEST(
      (large.event_interval > 3 * this->Estimate(this->two).event_interval));
}

// Guards against the wait for a first token that counts as a pause between
// events.
BOOST_FIXTURE_TEST_CASE(StreamOfASingleEventHasNoInterval, Targets) {
  this->RunOnBoth(milliseconds(40), milliseconds(40));
  const TargetEstimate before = this->Estimate(this->one);
  CompletedRun run = Run(kSmall, milliseconds(40));
  run.events = 1;
  run.first_token = seconds(3);
  run.streamed = milliseconds(1);
  for (int i = 0; i < 10; ++i) {
    this->one.OnRun(run, kKind, this->pace, this->now);
  }
  BOOST_TEST(
      (this->Estimate(this->one).event_interval == before.event_interval));
  BOOST_TEST((!run.EventInterval()));
  run.events = 0;
  BOOST_TEST((run.EventInterval() == milliseconds(3001)));
}

// Guards against a target that never gets work again after a slow phase.
BOOST_FIXTURE_TEST_CASE(SlownessIsForgotten, Targets) {
  this->RunOnBoth(milliseconds(30), milliseconds(90));
  const double before = this->two.Slowness(this->pace, this->now);
  this->now += seconds(60);
  const double later = this->two.Slowness(this->pace, this->now);
  this->now += minutes(5);
  BOOST_TEST(before > later);
  BOOST_TEST(later > 1.05);
  BOOST_TEST(this->two.Slowness(this->pace, this->now) < 1.05);
}

BOOST_FIXTURE_TEST_CASE(WorkTimeCountsByItsMean, Targets) {
  this->RunOnBoth(milliseconds(40), milliseconds(40));
  this->two.OnReport(Load(4, 300), kKind, this->pace, this->now);
  const double after_one = this->two.Slowness(this->pace, this->now);
  BOOST_TEST(after_one < 1.6);
  for (int i = 0; i < 20; ++i) {
    this->now += milliseconds(200);
    this->two.OnReport(Load(4, 300), kKind, this->pace, this->now);
  }
  BOOST_TEST(this->two.Slowness(this->pace, this->now) > after_one);
}

BOOST_FIXTURE_TEST_CASE(TargetWithoutSamplesCountsAsAverage, Targets) {
  this->RunOnBoth(milliseconds(30), milliseconds(90));
  const TargetCapacity unknown;
  BOOST_TEST(this->Cost(unknown) > this->Cost(this->one));
  BOOST_TEST(this->Cost(unknown) < this->Cost(this->two));
}

// Guards against all hosts' belief that a target is idle because they haven't
// heard of it for a while.
BOOST_FIXTURE_TEST_CASE(OldReportGivesWayToTheMean, Targets) {
  for (int i = 0; i < 30; ++i) {
    this->now += seconds(1);
    this->one.OnReport(Load(12), kKind, this->pace, this->now);
  }
  this->one.OnReport(Load(0), kKind, this->pace, this->now);
  BOOST_TEST(this->one.Load(kKind, this->pace, this->now) < 1);
  this->now += seconds(5);
  BOOST_TEST(this->one.Load(kKind, this->pace, this->now) > 8);
}

// Guards against requests that are held back from a target which was full when
// it was last heard of, and then from it alone.
BOOST_FIXTURE_TEST_CASE(TargetThatWasFullIsTriedAgain, Targets) {
  for (int i = 0; i < 60; ++i) {
    this->now += milliseconds(500);
    this->one.OnReport(Load(20), kKind, this->pace, this->now);
  }
  BOOST_TEST(IsOccupied(this->Estimate(this->one)));
  this->now += seconds(4);
  this->one.OnDispatch(kSize);
  BOOST_TEST(!IsOccupied(this->Estimate(this->one)));
}

BOOST_FIXTURE_TEST_CASE(OwnRequestsCountBeforeAnyReport, Targets) {
  const double before = this->one.Load(kKind, this->pace, this->now);
  for (int i = 0; i < 3; ++i) {
    this->one.OnDispatch(kSize);
  }
  BOOST_TEST(this->one.Load(kKind, this->pace, this->now) == before + 3);
  const Duration busy = this->Estimate(this->one).first_token;
  this->one.OnStart(kSize, {}, kKind, this->pace, this->now);
  BOOST_TEST((this->Estimate(this->one).first_token < busy));
  this->one.OnEnd(kSize, true);
  this->one.OnEnd(kSize, false);
  this->one.OnEnd(kSize, false);
  BOOST_TEST(this->one.Load(kKind, this->pace, this->now) == before);
  BOOST_TEST((this->Estimate(this->one) == this->Estimate(this->two)));
}

// Guards against preempted streams: slots are free, but memory isn't.
BOOST_FIXTURE_TEST_CASE(MemoryIsABoundOfItsOwn, Targets) {
  BOOST_TEST(!IsOccupied(this->Estimate(this->one)));
  const RequestSize large{
      .prompt_tokens = 18'000, .output_tokens = 2'000, .events = 31};
  for (int i = 0; i < 3; ++i) {
    this->one.OnDispatch(large);
  }
  const TargetEstimate estimate = this->Estimate(this->one);
  BOOST_TEST(estimate.slots_used < 0.5);
  BOOST_TEST(IsOccupied(estimate));
  BOOST_TEST(!IsOccupied(this->one.Estimate(
      kSize, 0, kSmall, TargetKind{.slots = 16}, this->pace, this->now)));
}

BOOST_FIXTURE_TEST_CASE(FullSlotsMeanAWaitForTheFirstToken, Targets) {
  this->RunOnBoth(milliseconds(40), milliseconds(40));
  this->one.OnReport(Load(20), kKind, this->pace, this->now);
  BOOST_TEST(IsOccupied(this->Estimate(this->one)));
  BOOST_TEST((this->Estimate(this->one).first_token >
              this->Estimate(this->two).first_token + milliseconds(100)));
}

// Guards against a stream that is late although another target would keep its
// pauses short.
BOOST_FIXTURE_TEST_CASE(IntervalObjectiveComesBeforeTheCost, Targets) {
  const TargetEstimate quick{.slots_used = 0.9,
                             .event_interval = milliseconds(150),
                             .completion = seconds(5)};
  const TargetEstimate late{.slots_used = 0.1,
                            .event_interval = milliseconds(210),
                            .completion = seconds(4)};
  BOOST_TEST((CostOf(quick, milliseconds(200), false) <
              CostOf(late, milliseconds(200), false)));
  BOOST_TEST((CostOf(late, Duration::zero(), false) <
              CostOf(quick, Duration::zero(), false)));
  BOOST_TEST((CostOf(late, milliseconds(200), false) <
              CostOf(late, milliseconds(200), true)));
}

// Guards against one caller or target that changes the choice for all others by
// a number that can't be true.
BOOST_FIXTURE_TEST_CASE(AbsurdInputIsBounded, Targets) {
  this->RunOnBoth(milliseconds(40), milliseconds(40));
  const StatedSize absurd{.model = kSmall,
                          .prompt_tokens = 1e8,
                          .max_output_tokens = 1e8,
                          .expected_output_tokens = 1e9};
  const RequestSize size = this->pace.SizeOf(absurd, this->now);
  BOOST_TEST(size.prompt_tokens < 10'000);
  BOOST_TEST(size.output_tokens < 10'000);
  BOOST_TEST(size.events < 1000);
  BOOST_TEST(this->pace.SizeOf({.model = kSmall}, this->now).prompt_tokens >
             100);
  const StatedSize none{.model = kSmall,
                        .prompt_tokens = 0,
                        .max_output_tokens = 0,
                        .expected_output_tokens = 0};
  BOOST_TEST(this->pace.SizeOf(none, this->now).events == 1);
  const double mean_before = this->pace.MeanTokens(this->now);
  for (const StatedSize& stated : {absurd, none}) {
    CompletedRun run = Run(kSmall, milliseconds(40));
    run.stated = stated;
    this->one.OnRun(run, kKind, this->pace, this->now);
  }
  this->one.OnReport(Load(std::numeric_limits<std::uint32_t>::max(), 100'000),
                     kKind, this->pace, this->now);
  BOOST_TEST(this->pace.MeanTokens(this->now) < 2 * mean_before);
  const TargetEstimate estimate = this->Estimate(this->two);
  BOOST_TEST(std::isfinite(this->Cost(this->two)));
  BOOST_TEST((estimate.event_interval < milliseconds(100)));
  BOOST_TEST(!IsOccupied(estimate));
  this->now += seconds(30);
  BOOST_TEST(!IsOccupied(this->Estimate(this->one)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
