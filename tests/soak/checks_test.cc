#define BOOST_TEST_MODULE soak_checks
#include "checks.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "schedule.h"
#include "stream_check.h"

namespace cicadaloft::soak {
namespace {

constexpr Millis kSentAt = 100000;

std::vector<std::string> RulesBroken(const Evidence& evidence) {
  std::vector<std::string> rules;
  for (const Violation& violation : CheckAll(evidence)) {
    rules.push_back(violation.rule);
  }
  return rules;
}

void ExpectBroken(const std::string& rule, const Evidence& evidence) {
  const std::vector<std::string> rules = RulesBroken(evidence);
  BOOST_TEST(rules.size() == 1U);
  BOOST_TEST(std::ranges::count(rules, rule) == 1);
}

void ExpectKept(const Evidence& evidence) {
  BOOST_TEST(RulesBroken(evidence).empty());
}

Call Closed(Millis after) {
  return {.id = "a",
          .host = 2,
          .sent_at = kSentAt,
          .ended_at = kSentAt + after,
          .deadline_at = kSentAt + 4000,
          .outcome = Outcome::kClosed};
}

Call Answered(int status) {
  Call call = Closed(50);
  call.outcome = Outcome::kAnswered;
  call.status = status;
  return call;
}

const Run kRun{.id = "a", .runner = 4, .at = kSentAt + 5};

// Evidence with a fault so late that RECOVER doesn't bind.
Evidence With(std::vector<Call> calls, std::vector<Run> runs) {
  return {.calls = std::move(calls),
          .runs = std::move(runs),
          .spans = {{.kind = SpanKind::kHostStop, .to = kSentAt}},
          .stopped_at = kSentAt + 60000,
          .ended_at = kSentAt + 60000};
}

Evidence With(const Life& life) {
  Evidence evidence = With({}, {});
  evidence.lives = {life};
  return evidence;
}

Evidence AddSpan(Evidence evidence, SpanKind kind, int index, Millis at) {
  evidence.spans.push_back(
      {.kind = kind, .index = index, .from = at, .to = at});
  return evidence;
}

Life Terminated(Millis after, int signal, int code) {
  return {.host = 2,
          .started_at = kSentAt,
          .ready_at = kSentAt + 100,
          .terminated_at = kSentAt + 20000,
          .ended_at = kSentAt + 20000 + after,
          .due = Due::kTerminated,
          .signal = signal,
          .code = code};
}

BOOST_AUTO_TEST_CASE(LostIfARunningRequestIsCutAtACalmHost) {
  ExpectBroken("LOST", With({Closed(50)}, {kRun}));
  ExpectKept(With({Answered(200)}, {kRun}));
}

BOOST_AUTO_TEST_CASE(LostIfCutLaterThanTheSlackThoughItNeverRan) {
  ExpectBroken("LOST", With({Closed(kLossSlack + 1)}, {}));
  ExpectKept(With({Closed(kLossSlack)}, {}));
}

BOOST_AUTO_TEST_CASE(LostIfThereIsNoAnswerByTheDeadline) {
  Call call = Closed(4500);
  call.outcome = Outcome::kTimedOut;
  ExpectBroken("LOST", With({call}, {}));
}

// A planned stop excuses nothing; a kill or freeze of this host does, from the
// stability window before the request.
BOOST_AUTO_TEST_CASE(LostIsExcusedOnlyByFaultsOfItsHost) {
  const Evidence lost = With({Closed(50)}, {kRun});
  ExpectBroken("LOST", AddSpan(lost, SpanKind::kHostStop, 2, kSentAt));
  ExpectBroken("LOST", AddSpan(lost, SpanKind::kHostFault, 1, kSentAt));
  ExpectBroken("LOST", AddSpan(lost, SpanKind::kHostFault, 2,
                               kSentAt - kStabilityWindow - 1));
  ExpectKept(
      AddSpan(lost, SpanKind::kHostFault, 2, kSentAt - kStabilityWindow));
  ExpectKept(AddSpan(lost, SpanKind::kHostFault, 2, kSentAt + 50));
}

// A host that got less than its share of the processor is slowed, which excuses
// late responses, but not connections that it closes.
BOOST_AUTO_TEST_CASE(LostIsExcusedByAStarvedHostOnlyIfLate) {
  Call call = Closed(4500);
  ExpectBroken("LOST", AddSpan(With({call}, {kRun}), SpanKind::kHostStarved, 2,
                               kSentAt));
  call.outcome = Outcome::kTimedOut;
  ExpectKept(AddSpan(With({call}, {kRun}), SpanKind::kHostStarved, 2, kSentAt));
  ExpectBroken("LOST", AddSpan(With({call}, {kRun}), SpanKind::kHostStarved, 1,
                               kSentAt));
}

BOOST_AUTO_TEST_CASE(LostIsExcusedByAFaultOfItsRunner) {
  const Evidence lost = With({Closed(50)}, {kRun});
  ExpectBroken("LOST", AddSpan(lost, SpanKind::kRunnerFault, 3, kSentAt));
  ExpectKept(AddSpan(lost, SpanKind::kRunnerFault, 4, kSentAt + 10));
}

BOOST_AUTO_TEST_CASE(TwiceIfANonIdempotentRequestRunsAgain) {
  Call call = Answered(200);
  ExpectBroken("TWICE", With({call}, {kRun, kRun}));
  call.may_run_twice = true;
  ExpectKept(With({call}, {kRun, kRun}));
}

BOOST_AUTO_TEST_CASE(RefusedIfARefusedRequestRan) {
  for (const int status : {408, 421, 429, 503}) {
    ExpectBroken("REFUSED", With({Answered(status)}, {kRun}));
    ExpectKept(With({Answered(status)}, {}));
  }
  ExpectKept(With({Answered(502)}, {kRun}));
}

// Guards against a soak that takes orders of a wrong holder for sound.
BOOST_AUTO_TEST_CASE(OneIfTokensGoDownAreSharedOrFollowTooSoon) {
  const auto with_orders = [](std::vector<Order> orders) {
    Evidence evidence = With({}, {});
    evidence.orders = std::move(orders);
    return evidence;
  };
  const Order first{.runner = 1, .at = kSentAt, .holder = "h1", .token = 7};
  Order next{.runner = 1, .at = kSentAt + 3000, .holder = "h2", .token = 9};
  ExpectKept(with_orders({first, next}));
  next.token = 6;
  ExpectBroken("ONE", with_orders({first, next}));
  next.runner = 2;
  ExpectKept(with_orders({first, next}));
  next.token = 7;
  ExpectBroken("ONE", with_orders({first, next}));
  next.token = 9;
  next.at = kSentAt + 2999;
  ExpectBroken("ONE", with_orders({first, next}));
}

BOOST_AUTO_TEST_CASE(RecoverIfNotServedLongAfterTheLastFault) {
  Evidence evidence = With({Answered(503)}, {});
  evidence.spans.front().to = kSentAt - kRecovery - 1;
  ExpectBroken("RECOVER", evidence);
  evidence.spans.front().to = kSentAt - kRecovery;
  ExpectKept(evidence);
  evidence.spans.front().to = kSentAt - kRecovery - 1;
  evidence.stopped_at = kSentAt;
  ExpectKept(evidence);
}

BOOST_AUTO_TEST_CASE(FaultIfAHostEndsByItself) {
  Life life{.host = 2,
            .started_at = kSentAt,
            .ready_at = kSentAt + 100,
            .ended_at = kSentAt + 500};
  ExpectBroken("FAULT", With(life));
  life.due = Due::kKilled;
  ExpectKept(With(life));
}

BOOST_AUTO_TEST_CASE(FaultIfSigtermEndsAHostOtherwiseThanWithCodeZero) {
  ExpectBroken("FAULT", With(Terminated(100, 15, 0)));
  ExpectBroken("FAULT", With(Terminated(100, 0, 2)));
  ExpectKept(With(Terminated(100, 0, 0)));
}

BOOST_AUTO_TEST_CASE(FaultIfAHostOutlivesItsGracePeriod) {
  const Evidence late = With(Terminated(kGracePeriod + 1, 9, 0));
  ExpectBroken("FAULT", late);
  ExpectKept(With(Terminated(kGracePeriod, 0, 0)));
  // A frozen process can't end.
  ExpectKept(AddSpan(late, SpanKind::kHostFault, 2, kSentAt + 21000));
}

BOOST_AUTO_TEST_CASE(FaultIfACalmHostIsNotReadyInTime) {
  Life life{.host = 2, .started_at = kSentAt};
  ExpectBroken("FAULT", With(life));
  life.ready_at = kSentAt + kReadyWithin + 1;
  ExpectBroken("FAULT", With(life));
  ExpectKept(AddSpan(With(life), SpanKind::kStoreFault, 0, kSentAt + 1000));
  life.ready_at = kSentAt + kReadyWithin;
  ExpectKept(With(life));
}

BOOST_AUTO_TEST_CASE(FaultIfAHostExceedsItsMemory) {
  Life life = Terminated(100, 0, 0);
  life.peak_mb = kMemoryMb + 1;
  ExpectBroken("FAULT", With(life));
  life.peak_mb = kMemoryMb;
  ExpectKept(With(life));
}

BOOST_AUTO_TEST_CASE(MixedIfAResponseBelongsToAnotherRequest) {
  const ResponseParts own{.id = "a", .stamp = "s", .body = R"({"ran":"a"})"};
  BOOST_TEST(CheckPlain("a", own) == "");
  BOOST_TEST(CheckPlain("b", own).starts_with("MIXED"));
  BOOST_TEST(
      CheckPlain("a", {.id = "a", .stamp = "s", .body = R"({"ran":"b"})"})
          .starts_with("MIXED"));
  BOOST_TEST(CheckPlain("a", {.id = "a", .stamp = "", .body = own.body})
                 .starts_with("MIXED"));
  Call call = Answered(200);
  call.fault = "MIXED: response to b";
  ExpectBroken("MIXED", With({call}, {kRun}));
}

BOOST_AUTO_TEST_CASE(OrderIfAStreamIsNotWholeOrOutOfOrder) {
  const auto check = [](const std::string& body) {
    return CheckStream("a", {.id = "a", .stamp = "s", .body = body});
  };
  const std::string end = "data: [DONE]\n\n";
  BOOST_TEST(check("id: 1\ndata: t\n\nid: 2\n\n" + end) == "");
  BOOST_TEST(check("id: 1\n\nid: 3\n\n" + end).starts_with("ORDER"));
  BOOST_TEST(check("id: 1\n\nid: 1\n\n" + end).starts_with("ORDER"));
  BOOST_TEST(check("id: 1\n\n" + end + "id: 2\n\n").starts_with("ORDER"));
  BOOST_TEST(check("id: 1\n\n").starts_with("ORDER"));
}

BOOST_AUTO_TEST_CASE(ASeedGivesTheSameScheduleAgain) {
  const ScheduleSettings settings{
      .seed = 7, .length = 60000, .hosts = 6, .spares = 3, .runners = 21};
  const std::vector<Fault> faults = MakeSchedule(settings);
  BOOST_TEST((faults == MakeSchedule(settings)));
  ScheduleSettings other = settings;
  other.seed = 8;
  BOOST_TEST((faults != MakeSchedule(other)));
  BOOST_TEST(std::ranges::is_sorted(faults, {}, &Fault::at));
  BOOST_TEST(std::ranges::count(faults, FaultKind::kAddHost, &Fault::kind) <=
             3);
}

}  // namespace
}  // namespace cicadaloft::soak
