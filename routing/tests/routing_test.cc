#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cicadaloft/routing/model_locations.h"
#include "cicadaloft/routing/poison_request_detector.h"
#include "cicadaloft/routing/retry_budget.h"
#include "cicadaloft/routing/target_choice.h"
#include "cicadaloft/routing/target_view.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow(seconds(100));
const ModelPath kModel{.model = ModelId("m")};
const ModelPath kAdapter{.model = ModelId("m"), .adapter = AdapterId("a1")};

TargetRecord MakeRecord(const std::string& id,
                        std::vector<ModelPath> loaded = {},
                        std::uint64_t instance = 1) {
  return TargetRecord{.id = TargetId(id),
                      .data_centre = DataCentreId("dc-" + id),
                      .slots = 10,
                      .instance = TargetInstance(instance),
                      .loaded = std::move(loaded)};
}

TargetView MakeView(const std::string& id) {
  return TargetView(std::make_shared<const TargetRecord>(MakeRecord(id)));
}

PlacementChange Load(const ModelPath& path, Duration ready_in) {
  return PlacementChange{.target = TargetId("t"),
                         .instance = TargetInstance(1),
                         .path = path,
                         .is_load = true,
                         .ready_in = ready_in};
}

BOOST_AUTO_TEST_CASE(EjectionDoublesUpToItsBound) {
  Ejection ejection;
  TimePoint now = kNow;
  Duration last{};
  for (int i = 0; i < 8; ++i) {
    ejection.OnFailure(now);
    ejection.OnFailure(now);
    const Duration back_off = ejection.until() - now;
    BOOST_TEST((back_off >= last));
    last = back_off;
    now += back_off;
    BOOST_TEST(!ejection.IsEjected(now));
  }
  BOOST_TEST((last == Ejection::kMaxBackoff));
}

BOOST_AUTO_TEST_CASE(OneFailureEjectsNobody) {
  Ejection ejection;
  ejection.OnFailure(kNow);
  BOOST_TEST(!ejection.IsEjected(kNow));
  ejection.OnSuccess();
  ejection.OnFailure(kNow + seconds(1));
  BOOST_TEST(!ejection.IsEjected(kNow + seconds(1)));
  ejection.OnFailure(kNow + seconds(1));
  BOOST_TEST(ejection.IsEjected(kNow + seconds(1)));
}

BOOST_AUTO_TEST_CASE(ASecondDeathBarsForATime) {
  PoisonRequestDetector list;
  const BrokenAttempt first{
      .fingerprint = 5, .target = TargetId("a"), .instance = TargetInstance(1)};
  BOOST_TEST(list.OnBrokenAttempt(first, kNow).empty());
  BOOST_TEST(list.IsSuspect(5, kNow));
  BOOST_TEST(!list.IsBlocked(5, kNow));
  const BrokenAttempt second{.fingerprint = 5, .target = TargetId("b")};
  BOOST_TEST(list.OnBrokenAttempt(second, kNow + seconds(1)).size() == 2);
  BOOST_TEST(list.IsBlocked(5, kNow + minutes(9)));
  BOOST_TEST(!list.IsBlocked(5, kNow + minutes(11)));
}

BOOST_AUTO_TEST_CASE(OneDyingTargetBarsNobody) {
  PoisonRequestDetector list;
  for (std::uint64_t fingerprint = 1; fingerprint < 9; ++fingerprint) {
    const BrokenAttempt run{.fingerprint = fingerprint,
                            .target = TargetId("a"),
                            .instance = TargetInstance(1)};
    list.OnBrokenAttempt(run, kNow);
    list.OnBrokenAttempt(run, kNow);
  }
  const auto deaths =
      list.OnTargetCrashed(TargetId("a"), TargetInstance(2), kNow + seconds(1));
  BOOST_TEST(deaths.size() == 8);
  list.OnCrashReport(deaths[0], kNow + seconds(1));
  for (std::uint64_t fingerprint = 1; fingerprint < 9; ++fingerprint) {
    BOOST_TEST(!list.IsBlocked(fingerprint, kNow + seconds(1)));
  }
}

BOOST_AUTO_TEST_CASE(CutAnswersWithoutADeathAreNoEvidence) {
  PoisonRequestDetector list;
  for (const char* target : {"a", "b", "c"}) {
    list.OnBrokenAttempt(BrokenAttempt{.fingerprint = 5,
                                       .target = TargetId(target),
                                       .had_response_started = true},
                         kNow);
  }
  BOOST_TEST(!list.IsBlocked(5, kNow));
  BOOST_TEST(!list.IsSuspect(5, kNow + PoisonRequestDetector::kEvidenceTtl));
}

BOOST_AUTO_TEST_CASE(AGoodAnswerClearsASuspect) {
  PoisonRequestDetector list;
  list.OnCrashReport(TargetCrash{.fingerprint = 5, .target = TargetId("a")},
                     kNow);
  BOOST_TEST(list.IsSuspect(5, kNow));
  list.OnSuccess(5);
  BOOST_TEST(!list.IsSuspect(5, kNow));
}

BOOST_AUTO_TEST_CASE(RetriesAreAPartOfTheRequests) {
  RetryBudget budget(true);
  budget.SetLimits(0.2, 2);
  BOOST_TEST(budget.TryAcquire());
  BOOST_TEST(budget.TryAcquire());
  BOOST_TEST(!budget.TryAcquire());
  for (int i = 0; i < 5; ++i) {
    budget.OnRequest();
  }
  BOOST_TEST(budget.TryAcquire());
  BOOST_TEST(!budget.TryAcquire());
}

// Found by trouble-2 of the second site: six hosts came back with a full
// budget each.
BOOST_AUTO_TEST_CASE(ABudgetThatBeginsAgainIsEmpty) {
  RetryBudget budget(false);
  budget.SetLimits(0.2, 2);
  BOOST_TEST(!budget.TryAcquire());
}

BOOST_AUTO_TEST_CASE(AnOrderedLoadCountsFromItsTimeOn) {
  ModelLocations whereabouts;
  whereabouts.Update(MakeRecord("t"), kNow);
  whereabouts.OnPlacementChange(Load(kModel, milliseconds(500)), kNow);
  BOOST_TEST(whereabouts.LoadedTargets(kModel, kNow).empty());
  BOOST_TEST(
      (whereabouts.ExpectedReadyAt(kModel, kNow) == kNow + milliseconds(500)));
  BOOST_TEST(whereabouts.LoadedTargets(kModel, kNow + seconds(1)).size() == 1);
  // A record from before the load's end does not take it back,
  whereabouts.Update(MakeRecord("t"), kNow + seconds(1));
  BOOST_TEST(whereabouts.LoadedTargets(kModel, kNow + seconds(1)).size() == 1);
  // but a load that never shows is given up.
  BOOST_TEST(whereabouts.LoadedTargets(kModel, kNow + seconds(5)).empty());
}

BOOST_AUTO_TEST_CASE(AnUnloadedModelTakesItsAdaptersWithIt) {
  ModelLocations whereabouts;
  whereabouts.Update(MakeRecord("t", {kModel, kAdapter}), kNow);
  PlacementChange unload = Load(kModel, Duration::zero());
  unload.is_load = false;
  whereabouts.OnPlacementChange(unload, kNow);
  BOOST_TEST(whereabouts.LoadedTargets(kModel, kNow).empty());
  BOOST_TEST(whereabouts.LoadedTargets(kAdapter, kNow).empty());
}

BOOST_AUTO_TEST_CASE(AnotherProcessHoldsWhatItsRecordSays) {
  ModelLocations whereabouts;
  whereabouts.Update(MakeRecord("t", {kModel}), kNow);
  whereabouts.OnPlacementChange(Load(kAdapter, Duration::zero()), kNow);
  whereabouts.Update(MakeRecord("t", {}, 2), kNow);
  BOOST_TEST(whereabouts.LoadedTargets(kModel, kNow).empty());
  BOOST_TEST(whereabouts.LoadedTargets(kAdapter, kNow).empty());
  // News of the process before are void.
  whereabouts.OnPlacementChange(Load(kAdapter, Duration::zero()), kNow);
  BOOST_TEST(whereabouts.LoadedTargets(kAdapter, kNow).empty());
}

BOOST_AUTO_TEST_CASE(ADenialHoldsForItsTerm) {
  ModelLocations whereabouts;
  whereabouts.Update(MakeRecord("t", {kModel}), kNow);
  whereabouts.OnDenial(TargetId("t"), kModel, milliseconds(700), kNow);
  BOOST_TEST(whereabouts.LoadedTargets(kModel, kNow).empty());
  BOOST_TEST(whereabouts.DenyingTargets(kModel, kNow).size() == 1);
  BOOST_TEST(whereabouts.LoadedTargets(kModel, kNow + seconds(1)).size() == 1);
}

BOOST_AUTO_TEST_CASE(AReportIsCorrectedByOwnSendsAndFades) {
  TargetView view = MakeView("t");
  view.OnDispatch();
  view.OnLoadReport(TargetLoad{.running = 4, .waiting = 1, .slots = 10}, kNow);
  view.OnDispatch();
  BOOST_TEST(view.EstimatedLoad(kNow) == 6);
  BOOST_TEST(view.EstimatedLoad(kNow + seconds(10)) < 2.1);
}

BOOST_AUTO_TEST_CASE(ATargetIsColdUntilItsRecordMustHaveToldOtherwise) {
  TargetView view = MakeView("t");
  TargetRecord record = MakeRecord("t");
  record.cold_remaining = seconds(3);
  view.Update(std::make_shared<const TargetRecord>(record), kNow);
  BOOST_TEST(view.IsCold(kNow + seconds(3)));
  BOOST_TEST(!view.IsCold(kNow + seconds(4)));
  const TimePoint later = kNow + seconds(10);
  view.PresumeCold(later);
  BOOST_TEST(view.IsCold(later + seconds(2)));
  BOOST_TEST(!view.IsCold(later + seconds(3)));
}

BOOST_AUTO_TEST_CASE(TheEmptiestTargetIsChosenUnlessItIsFarOrLacksThePrompt) {
  TargetView near = MakeView("near");
  TargetView far = MakeView("far");
  const std::vector<TargetView*> targets = {&far, &near};
  const TargetPreference wish{.local_data_centre = DataCentreId("dc-near")};
  const auto any = [](const TargetView&) { return true; };
  BOOST_TEST(ChooseTarget(targets, wish, kNow, any) == &near);
  near.OnDispatch();
  BOOST_TEST(ChooseTarget(targets, wish, kNow, any) == &far);
  const auto none = [](const TargetView&) { return false; };
  BOOST_TEST((ChooseTarget(targets, wish, kNow, none) == nullptr));
}

BOOST_AUTO_TEST_CASE(TheSamePromptGoesToTheSameTarget) {
  TargetView one = MakeView("one");
  TargetView two = MakeView("two");
  const std::vector<TargetView*> targets = {&one, &two};
  const auto any = [](const TargetView&) { return true; };
  const TargetView* first = nullptr;
  for (std::uint64_t draw = 0; draw < 10; ++draw) {
    const TargetPreference wish{.prompt_prefix_key = 77, .tie_breaker = draw};
    const TargetView* chosen = ChooseTarget(targets, wish, kNow, any);
    first = first == nullptr ? chosen : first;
    BOOST_TEST(chosen == first);
  }
}

}  // namespace
}  // namespace cicadaloft
