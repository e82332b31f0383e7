#define BOOST_TEST_MODULE target_estimate
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <set>
#include <string>

#include "cicadaloft/core/rendezvous.h"
#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 4;

/// Two targets with the model.
struct TwoTargets : EntryFixture {
  TwoTargets() {
    for (const std::string id : {"e1", "e2"}) {
      TargetRecord target = MakeTarget(id, "engine");
      target.data_centre = DataCentreId("dc-p1");
      target.slots = kSlots;
      target.loaded = {kModel};
      std::erase_if(this->targets, [&](const TargetRecord& other) {
        return other.id == target.id;
      });
      this->targets.push_back(target);
    }
    this->Start();
    Configuration configuration = MakeConfiguration(2)->value();
    configuration.routes.at(2).is_stream = true;
    configuration.routes.at(2).event_interval_objective = milliseconds(200);
    configuration.services.at(1).engine->memory_tokens = 60'000;
    configuration.customers.at(0).rate_per_second = 0;
    this->Feed(ConfigurationChanged{
        .configuration =
            std::make_shared<const ActiveConfiguration>(configuration)});
  }

  /// Runs one stream with this shared part and a part of its own, at targets of
  /// the same speed.
  std::string RunPrompt(std::uint64_t shared) {
    this->effects.clear();
    const RequestId id("p" + std::to_string(++this->request_count));
    this->Feed(RequestArrived{
        .request = id,
        .caller_request_id = id,
        .credential = "key",
        .destination = ByHostAndPath{.host = "h", .path = "/chat/x"},
        .model = kModel,
        .prompt_tokens = 3000,
        .prompt_parts = {{.hash = shared, .tokens = 2000},
                         {.hash = StableHash(id.value()), .tokens = 1000}},
        .timeout = seconds(4)});
    const auto dispatches = this->EffectsOf<Dispatch>();
    BOOST_REQUIRE(dispatches.size() == 1);
    this->Begin(dispatches.at(0), {.slots = kSlots, .work_time_percent = 100});
    this->now += milliseconds(500);
    this->Feed(AttemptEnded{.request = dispatches.at(0).request,
                            .attempt = dispatches.at(0).attempt,
                            .outcome = AttemptOutcome::kCompleted,
                            .http_status = 200,
                            .response_events = 11});
    return dispatches.at(0).target.value();
  }

  /// @return the target of a new request; empty if it waits.
  std::string Send() {
    this->effects.clear();
    this->SendRequest("chat", kModel);
    const auto dispatches = this->EffectsOf<Dispatch>();
    return dispatches.empty() ? "" : dispatches.at(0).target.value();
  }

  void Begin(const Dispatch& dispatch, const TargetLoad& load) {
    this->Feed(ResponseStarted{.request = dispatch.request,
                               .attempt = dispatch.attempt,
                               .load = load});
  }

  /// Runs one stream whose events come with the interval of its target.
  std::string RunStream(Duration on_first, Duration on_second) {
    const std::string target = this->Send();
    const auto dispatches = this->EffectsOf<Dispatch>();
    BOOST_REQUIRE(dispatches.size() == 1);
    this->now += milliseconds(40);
    this->Begin(dispatches.at(0), {.slots = kSlots, .work_time_percent = 100});
    constexpr int kEvents = 11;
    this->now += (kEvents - 1) * (target == "e1" ? on_first : on_second);
    this->Feed(AttemptEnded{.request = dispatches.at(0).request,
                            .attempt = dispatches.at(0).attempt,
                            .outcome = AttemptOutcome::kCompleted,
                            .http_status = 200,
                            .response_events = kEvents});
    return target;
  }
};

// Guards against equal shares for a slow target, and against none.
BOOST_FIXTURE_TEST_CASE(SlowTargetGetsLessButNotNothing, TwoTargets) {
  int slow = 0;
  for (int i = 0; i < 200; ++i) {
    slow += this->RunStream(milliseconds(30), milliseconds(90)) == "e2" ? 1 : 0;
  }
  BOOST_TEST(slow > 0);
  BOOST_TEST(slow < 60);
}

// Guards against preempted streams: a request waits for a free slot, but not
// for so long that it becomes late.
BOOST_FIXTURE_TEST_CASE(RequestWaitsForAFreeSlotForAPartOfItsObjective,
                        TwoTargets) {
  this->Send();
  const Dispatch first = this->EffectsOf<Dispatch>().at(0);
  this->Begin(first, {.running = 1, .slots = kSlots, .work_time_percent = 100});
  int sent = 1;
  while (!this->Send().empty()) {
    ++sent;
  }
  BOOST_TEST(sent == 2 * static_cast<int>(kSlots));
  this->RunFor(milliseconds(50));
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  this->RunFor(milliseconds(20));
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1U);
}

// Guards against requests that wait for a free slot until they are refused.
BOOST_FIXTURE_TEST_CASE(StoppingHostHoldsNoRequestBackUntilItsEnd, TwoTargets) {
  Configuration configuration = MakeConfiguration(3)->value();
  configuration.routes.at(2).latency_objective = seconds(8);
  configuration.customers.at(0).rate_per_second = 0;
  this->Feed(ConfigurationChanged{
      .configuration =
          std::make_shared<const ActiveConfiguration>(configuration)});
  this->Send();
  this->Begin(this->EffectsOf<Dispatch>().at(0),
              {.running = 1, .slots = kSlots, .work_time_percent = 100});
  while (!this->Send().empty()) {
  }
  this->Feed(EntryStopRequested{.grace_period = seconds(1)});
  this->RunFor(milliseconds(600));
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1U);
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
}

// Guards against a change for deployments whose targets don't state it.
BOOST_FIXTURE_TEST_CASE(TargetsWithoutWorkTimeAreChosenByTheirLoad,
                        TwoTargets) {
  this->Send();
  const Dispatch first = this->EffectsOf<Dispatch>().at(0);
  this->Begin(first, {.running = 1, .slots = kSlots});
  int sent = 1;
  while (!this->Send().empty()) {
    ++sent;
  }
  BOOST_TEST(sent == 2 * 5);
  for (const auto& record : this->EffectsOf<DecisionRecord>()) {
    for (const LogField& field : record.fields) {
      BOOST_TEST(field.name != "estimated_first_token_ms");
    }
  }
}

// Guards against the load of a response's head that is counted again as new
// when the response ends.
BOOST_FIXTURE_TEST_CASE(LoadOfTheHeadIsNotRepeatedAtTheEnd, TwoTargets) {
  const std::string target = this->Send();
  const Dispatch first = this->EffectsOf<Dispatch>().at(0);
  const TargetLoad full{
      .running = kSlots + 1, .slots = kSlots, .work_time_percent = 100};
  this->Begin(first, full);
  this->now += seconds(30);
  this->Feed(AttemptEnded{.request = first.request,
                          .attempt = first.attempt,
                          .outcome = AttemptOutcome::kCompleted,
                          .http_status = 200,
                          .response_events = 2,
                          .load = full});
  int to_first = 0;
  std::string next = this->Send();
  while (!next.empty()) {
    to_first += next == target ? 1 : 0;
    next = this->Send();
  }
  BOOST_TEST(to_first > 0);
}

// Guards against prompts that are prefilled although a target has kept their
// first part.
BOOST_FIXTURE_TEST_CASE(RequestsGoWhereTheirPromptIsKept, TwoTargets) {
  this->RunPrompt(1);
  const std::string target = this->RunPrompt(1);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(this->RunPrompt(1) == target);
  }
}

// Guards against hosts that each have another target compute a shared part.
BOOST_AUTO_TEST_CASE(HostsAgreeOnTheTargetOfASharedPart) {
  std::set<std::string> agreed;
  for (std::uint64_t shared = 1; shared < 20; ++shared) {
    std::set<std::string> chosen;
    for (int host = 0; host < 8; ++host) {
      TwoTargets entry;
      // Another request, with another draw, on each host.
      entry.request_count = 10 * host;
      entry.Feed(SharesChanged{.host_count = 86, .default_share = 1});
      entry.RunPrompt(1000);
      entry.RunFor(seconds(30));
      chosen.insert(entry.RunPrompt(shared));
    }
    BOOST_TEST(chosen.size() == 1U);
    agreed.insert(*chosen.begin());
  }
  BOOST_TEST(agreed.size() == 2U);
}

// Guards against an estimate whose errors nobody sees.
BOOST_FIXTURE_TEST_CASE(EstimateIsMeasuredAgainstTheRun, TwoTargets) {
  for (int i = 0; i < 20; ++i) {
    this->RunStream(milliseconds(40), milliseconds(40));
  }
  const auto runs = this->EffectsOf<RunMeasured>();
  BOOST_REQUIRE(runs.size() == 1);
  BOOST_TEST((runs[0].first_token == milliseconds(40)));
  BOOST_TEST((runs[0].interval == milliseconds(40)));
  BOOST_TEST((runs[0].estimated_first_token > Duration::zero()));
  BOOST_TEST((runs[0].estimated_interval > milliseconds(30)));
  BOOST_TEST((runs[0].estimated_interval < milliseconds(50)));
}

BOOST_FIXTURE_TEST_CASE(EstimateIsLogged, TwoTargets) {
  this->RunStream(milliseconds(40), milliseconds(40));
  this->Send();
  const auto records = this->EffectsOf<DecisionRecord>();
  const auto has_estimate = [](const DecisionRecord& record) {
    return std::ranges::any_of(record.fields, [](const LogField& field) {
      return field.name == "estimated_interval_ms" && field.value != "0";
    });
  };
  BOOST_TEST(std::ranges::any_of(records, has_estimate));
}

}  // namespace
}  // namespace cicadaloft
