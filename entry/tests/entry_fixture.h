#ifndef CICADALOFT_ENTRY_TESTS_ENTRY_FIXTURE_H_
#define CICADALOFT_ENTRY_TESTS_ENTRY_FIXTURE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/entry/entry_state.h"

namespace cicadaloft {

inline const TimePoint kStart(std::chrono::seconds(1000));
inline const ModelPath kModel{.model = ModelId("m")};

inline Route MakeRoute(const std::string& name,
                       const std::string& service,
                       RetryPolicy retry_policy) {
  return Route{.id = RouteId(name),
               .hostname = "h",
               .path_prefix = "/" + name + "/",
               .retry_policy = retry_policy,
               .max_runs = retry_policy == RetryPolicy::kAtMostOnce ? 1U : 2U,
               .timeout = std::chrono::seconds(4),
               .latency_objective = std::chrono::milliseconds(250),
               .caller_timeout = std::chrono::seconds(2),
               .services = {{.service = ServiceId(service)}}};
}

inline ActiveConfigurationPtr MakeConfiguration(
    std::uint64_t version,
    std::vector<std::string> keys = {"key"}) {
  Engine engine;
  engine.models.push_back(Model{.id = ModelId("m")});
  return std::make_shared<const ActiveConfiguration>(Configuration{
      .version = ConfigurationVersion(version),
      .routes = {MakeRoute("once", "plain", RetryPolicy::kAtMostOnce),
                 MakeRoute("any", "plain", RetryPolicy::kIdempotent),
                 MakeRoute("chat", "engine", RetryPolicy::kAtMostOnce)},
      .services = {{.id = ServiceId("plain")},
                   {.id = ServiceId("engine"), .engine = engine}},
      .customers = {{.id = CustomerId("c"),
                     .keys = std::move(keys),
                     .is_limited_by_tokens = true,
                     .default_tokens = 10,
                     .rate_per_second = 1000,
                     .burst = 1000}}});
}

inline TargetRecord MakeTarget(const std::string& id,
                               const std::string& service) {
  return TargetRecord{.id = TargetId(id),
                      .service = ServiceId(service),
                      .address = "10.0.0.1:1",
                      .data_centre = DataCentreId("dc-" + id),
                      .slots = 2,
                      .instance = TargetInstance(1)};
}

/// One entry with two plain targets and one engine target.
class EntryFixture {
 public:
  EntryFixture()
      : state(EntrySettings{.host = HostId("a"),
                            .data_centre = DataCentreId("dc-p1"),
                            .retry_ratio = 0.2,
                            .retry_slack = 10,
                            .is_first_start = true}),
        targets({MakeTarget("p1", "plain"), MakeTarget("p2", "plain"),
                 MakeTarget("e1", "engine")}) {}

  void Start() {
    this->Feed(ConfigurationChanged{.configuration = MakeConfiguration(1)});
    this->UpdateFleet();
    this->Feed(SharesChanged{.host_count = 1, .default_share = 1});
  }

  void UpdateFleet() {
    Fleet fleet;
    for (const TargetRecord& target : this->targets) {
      fleet.targets[target.id] = std::make_shared<const TargetRecord>(target);
    }
    this->Feed(FleetChanged{.fleet = std::make_shared<const Fleet>(fleet)});
  }

  void Feed(const EntryEvent& event) {
    auto step = Decide(std::move(this->state), event, this->now);
    this->state = std::move(step.state);
    for (EntryEffect& effect : step.effects) {
      if (const auto* probe = std::get_if<ProbeTarget>(&effect)) {
        this->probes.push_back(*probe);
      }
      this->effects.push_back(std::move(effect));
    }
    if (this->answers_probes) {
      this->AnswerProbes(true);
    }
  }

  /// Ends all probes that have been requested.
  void AnswerProbes(bool is_reached) {
    for (const ProbeTarget& probe : std::exchange(this->probes, {})) {
      this->Feed(
          TargetProbed{.target = probe.target, .is_reached = is_reached});
    }
  }

  RequestId SendRequest(const std::string& route,
                        std::optional<ModelPath> model = std::nullopt,
                        const std::string& key = "key") {
    const RequestId id("r" + std::to_string(++this->request_count));
    this->Feed(RequestArrived{
        .request = id,
        .caller_request_id = id,
        .credential = key,
        .destination = ByHostAndPath{.host = "h", .path = "/" + route + "/x"},
        .model = std::move(model),
        .timeout = std::chrono::seconds(4),
        .fingerprint = 7});
    return id;
  }

  void EndAttempt(const Dispatch& dispatch,
                  AttemptOutcome outcome,
                  int status = 0,
                  bool takes_other_requests = false) {
    this->Feed(AttemptEnded{.request = dispatch.request,
                            .attempt = dispatch.attempt,
                            .outcome = outcome,
                            .http_status = status,
                            .takes_other_requests = takes_other_requests});
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += std::chrono::milliseconds(10);
      this->Feed(EntryTick{});
    }
  }

  template <typename E>
  std::vector<E> EffectsOf() const {
    std::vector<E> found;
    for (const EntryEffect& effect : this->effects) {
      if (const auto* match = std::get_if<E>(&effect)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  /// @return the error kind of the only refusal.
  ErrorKind RefusalKind() const {
    const auto refusals = this->EffectsOf<Refuse>();
    BOOST_REQUIRE(refusals.size() == 1);
    return refusals[0].error.kind;
  }

  TimePoint now = kStart;
  EntryState state;
  std::vector<TargetRecord> targets;
  std::vector<EntryEffect> effects;
  int request_count = 0;
  std::vector<ProbeTarget> probes;  ///< Not ended yet.
  /// All targets can be connected to.
  bool answers_probes = true;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_TESTS_ENTRY_FIXTURE_H_
