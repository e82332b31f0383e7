#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include <numeric>
#include <string>
#include <vector>

#include "cicadaloft/routing/permit_book.h"
#include "cicadaloft/routing/prefix_cache.h"
#include "cicadaloft/routing/retry_budget.h"
#include "cicadaloft/routing/suspect_list.h"
#include "cicadaloft/routing/target_choice.h"
#include "cicadaloft/routing/target_ramp.h"
#include "cicadaloft/routing/target_view.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow(seconds(100));

std::shared_ptr<const Target> MakeTarget() {
  return std::make_shared<const Target>(
      Target{.id = TargetId("t"), .max_concurrency = 8});
}

std::vector<HostId> MakeHosts(int count) {
  std::vector<HostId> hosts;
  hosts.reserve(count);
  for (int i = 0; i < count; ++i) {
    hosts.emplace_back("h" + std::to_string(i));
  }
  return hosts;
}

BOOST_AUTO_TEST_CASE(PartsAddUpAndShrinkWithMoreHosts) {
  for (int count = 1; count < 9; ++count) {
    const auto hosts = MakeHosts(count);
    const auto more = MakeHosts(count + 1);
    for (std::uint32_t total = 0; total < 20; ++total) {
      std::uint32_t sum = 0;
      for (const HostId& host : hosts) {
        const auto part = PartOf(total, TargetId("t"), hosts, host);
        sum += part;
        BOOST_TEST(PartOf(total, TargetId("t"), more, host) <= part);
        BOOST_TEST(part <= PartOf(total + 1, TargetId("t"), hosts, host));
      }
      BOOST_TEST(sum == total);
    }
  }
}

BOOST_AUTO_TEST_CASE(ARampGrowsByOneForALimitsWorthOfGoodAnswers) {
  TargetRamp ramp;
  ramp.SetBounds(RampBounds{.initial = 2, .most = 4});
  ramp.OnGoodAnswer();
  BOOST_TEST(ramp.limit() == 2);
  ramp.OnGoodAnswer();
  BOOST_TEST(ramp.limit() == 3);
  for (int i = 0; i < 50; ++i) {
    ramp.OnGoodAnswer();
  }
  BOOST_TEST(ramp.limit() == 4);
  ramp.Restart();
  BOOST_TEST(ramp.limit() == 2);
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
  BOOST_TEST((last == Ejection::kLongestBackOff));
}

BOOST_AUTO_TEST_CASE(OneFailureEjectsNobody) {
  Ejection ejection;
  ejection.OnFailure(kNow);
  BOOST_TEST(!ejection.IsEjected(kNow));
  ejection.OnGoodAnswer();
  ejection.OnFailure(kNow + seconds(1));
  BOOST_TEST(!ejection.IsEjected(kNow + seconds(1)));
  ejection.OnFailure(kNow + seconds(1));
  BOOST_TEST(ejection.IsEjected(kNow + seconds(1)));
}

BOOST_AUTO_TEST_CASE(ANewProcessStartsTheRampAgain) {
  TargetView view((TargetId("t")));
  view.Configure(MakeTarget(), RampBounds{.initial = 1, .most = 8});
  view.OnInstance(TargetInstance(1));
  for (int i = 0; i < 20; ++i) {
    view.OnGoodAnswer(milliseconds(10));
  }
  BOOST_TEST(view.limit() > 3U);
  view.OnInstance(TargetInstance(2));
  BOOST_TEST(view.limit() == 1U);
  view.OnInstance(TargetInstance(1));
  BOOST_TEST((view.instance() == TargetInstance(2)));
}

BOOST_AUTO_TEST_CASE(AReportIsCorrectedByWhatWasSentSince) {
  TargetView view((TargetId("t")));
  view.Configure(MakeTarget(), RampBounds{.initial = 8, .most = 8});
  const TargetReport report{.target = TargetId("t"), .running = 4};
  view.OnReport(report, kNow);
  const double before = view.ExpectedCompletion();
  view.OnDispatch();
  BOOST_TEST(view.ExpectedCompletion() > before);
  view.OnEnd();
  BOOST_TEST(view.ExpectedCompletion() == before);
}

BOOST_AUTO_TEST_CASE(ADenialOutlivesALaggingReport) {
  TargetView view((TargetId("t")));
  const TargetReport report{.target = TargetId("t")};
  view.OnNotLoaded(ModelId("m"), kNow);
  view.OnReport(report, kNow + milliseconds(100));
  BOOST_TEST(!view.SetHint(ModelId("m"), LoadHint::kLoaded));
  view.OnReport(report, kNow + seconds(2));
  BOOST_TEST(view.SetHint(ModelId("m"), LoadHint::kLoaded));
}

BOOST_AUTO_TEST_CASE(TheLeastLoadedTargetIsChosenUnlessThePrefixIsWorthMore) {
  TargetView first((TargetId("a")));
  TargetView second((TargetId("b")));
  first.Configure(MakeTarget(), RampBounds{.initial = 8, .most = 8});
  second.Configure(MakeTarget(), RampBounds{.initial = 8, .most = 8});
  const std::vector<TargetView*> targets = {&first, &second};
  const auto any = [](const TargetView&) { return true; };
  first.OnDispatch();
  first.OnDispatch();
  BOOST_TEST(ChooseTarget(targets, "r", nullptr, any) == &second);
  second.OnDispatch();
  BOOST_TEST(ChooseTarget(targets, "r", &first, any) == &first);
  const auto none = [](const TargetView&) { return false; };
  BOOST_TEST(ChooseTarget(targets, "r", &first, none) == nullptr);
}

BOOST_AUTO_TEST_CASE(RetriesAreAPartOfTheRequests) {
  RetryBudget budget;
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    granted += budget.TryTake(kNow) ? 1 : 0;
  }
  BOOST_TEST(granted >= 200);
  BOOST_TEST(granted <= 215);
}

BOOST_AUTO_TEST_CASE(ASecondDeathBarsForATime) {
  SuspectList list;
  const BrokenRun first{
      .fingerprint = 5, .target = TargetId("a"), .instance = TargetInstance(1)};
  BOOST_TEST(list.OnBrokenRun(first, kNow).empty());
  BOOST_TEST(list.IsSuspect(5, kNow));
  BOOST_TEST(!list.IsBarred(5, kNow));
  const BrokenRun second{.fingerprint = 5, .target = TargetId("b")};
  BOOST_TEST(list.OnBrokenRun(second, kNow + seconds(1)).size() == 2);
  BOOST_TEST(list.IsBarred(5, kNow + minutes(9)));
  BOOST_TEST(!list.IsBarred(5, kNow + minutes(11)));
}

BOOST_AUTO_TEST_CASE(OneDyingTargetBarsNobody) {
  SuspectList list;
  for (std::uint64_t fingerprint = 1; fingerprint < 9; ++fingerprint) {
    const BrokenRun run{.fingerprint = fingerprint,
                        .target = TargetId("a"),
                        .instance = TargetInstance(1)};
    list.OnBrokenRun(run, kNow);
    list.OnBrokenRun(run, kNow);
  }
  const auto deaths =
      list.OnTargetDied(TargetId("a"), TargetInstance(2), kNow + seconds(1));
  BOOST_TEST(deaths.size() == 8);
  list.OnNotice(deaths[0], kNow + seconds(1));
  for (std::uint64_t fingerprint = 1; fingerprint < 9; ++fingerprint) {
    BOOST_TEST(!list.IsBarred(fingerprint, kNow + seconds(1)));
  }
}

BOOST_AUTO_TEST_CASE(CutAnswersWithoutADeathAreNoEvidence) {
  SuspectList list;
  for (const char* target : {"a", "b", "c"}) {
    list.OnBrokenRun(
        BrokenRun{
            .fingerprint = 5, .target = TargetId(target), .had_started = true},
        kNow);
  }
  BOOST_TEST(!list.IsBarred(5, kNow));
  BOOST_TEST(!list.IsSuspect(5, kNow + SuspectList::kEvidenceTerm));
}

BOOST_AUTO_TEST_CASE(AGoodAnswerClearsASuspect) {
  SuspectList list;
  list.OnNotice(TargetDeath{.fingerprint = 5, .target = TargetId("a")}, kNow);
  BOOST_TEST(list.IsSuspect(5, kNow));
  list.OnGoodAnswer(5);
  BOOST_TEST(!list.IsSuspect(5, kNow));
}

BOOST_AUTO_TEST_CASE(PermitsComeBackOnceOrLapse) {
  LentPermits permits;
  const LentPermit lent{.borrower = HostId("h2"),
                        .target = TargetId("t"),
                        .ends = kNow + seconds(5)};
  const auto first = permits.Add(lent, kNow);
  permits.Add(lent, kNow);
  BOOST_TEST(!permits.TakeBack(first, HostId("h3")).has_value());
  BOOST_TEST(permits.TakeBack(first, HostId("h2")).has_value());
  BOOST_TEST(!permits.TakeBack(first, HostId("h2")).has_value());
  BOOST_TEST(permits.TakeEnded(kNow + seconds(4)).empty());
  BOOST_TEST(permits.TakeEnded(kNow + seconds(5)).size() == 1);
  BOOST_TEST(permits.size() == 0);
}

BOOST_AUTO_TEST_CASE(ThePrefixCacheForgetsTheOldest) {
  PrefixCache cache(2);
  TargetView view((TargetId("t")));
  for (std::uint64_t hash = 1; hash < 4; ++hash) {
    cache.Remember(PromptPrefix{.model = ModelId("m"), .hash = hash}, &view);
  }
  BOOST_TEST(cache.size() == 2);
  BOOST_TEST(cache.Find(PromptPrefix{.model = ModelId("m"), .hash = 1}) ==
             nullptr);
  BOOST_TEST(cache.Find(PromptPrefix{.model = ModelId("m"), .hash = 3}) ==
             &view);
}

}  // namespace
}  // namespace cicadaloft
