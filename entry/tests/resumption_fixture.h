#ifndef CICADALOFT_ENTRY_TESTS_RESUMPTION_FIXTURE_H_
#define CICADALOFT_ENTRY_TESTS_RESUMPTION_FIXTURE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/entry/event_names.h"
#include "entry_fixture.h"

namespace cicadaloft {

inline ActiveConfigurationPtr MakeStreamConfiguration(
    std::uint64_t version,
    const std::string& service = "plain") {
  Engine engine;
  engine.models.push_back(Model{.id = ModelId("m")});
  Route split = MakeRoute("split", "plain", RetryPolicy::kResumable);
  split.services.push_back({.service = ServiceId("other")});
  Route slow = MakeRoute("slow", "plain", RetryPolicy::kResumable);
  slow.timeout = std::chrono::seconds(40);
  const auto make_customer = [](const std::string& name) {
    return Customer{.id = CustomerId(name),
                    .keys = {"key-" + name},
                    .is_limited_by_tokens = true,
                    .default_tokens = 10,
                    .rate_per_second = 1000,
                    .burst = 1000};
  };
  return std::make_shared<const ActiveConfiguration>(Configuration{
      .version = ConfigurationVersion(version),
      .routes = {MakeRoute("any", "plain", RetryPolicy::kIdempotent),
                 MakeRoute("stream", service, RetryPolicy::kResumable),
                 MakeRoute("chat", "engine", RetryPolicy::kResumable), split,
                 slow},
      .services = {{.id = ServiceId("plain")},
                   {.id = ServiceId("other")},
                   {.id = ServiceId("engine"), .engine = engine}},
      .customers = {make_customer("c"), make_customer("d")}});
}

inline TargetRecord MakeVersionedTarget(const std::string& id,
                                        const std::string& service,
                                        const std::string& software) {
  TargetRecord target = MakeTarget(id, service);
  target.software = SoftwareVersion(software);
  return target;
}

/// One entry with routes whose streams may be resumed, and targets of two
/// versions.
class ResumptionFixture : public EntryFixture {
 public:
  ResumptionFixture() {
    this->targets = {MakeVersionedTarget("p1", "plain", "v1"),
                     MakeVersionedTarget("p2", "plain", "v2"),
                     MakeVersionedTarget("o1", "other", "v1")};
  }

  void Start() {
    this->Feed(
        ConfigurationChanged{.configuration = MakeStreamConfiguration(1)});
    this->UpdateFleet();
    this->Feed(SharesChanged{.host_count = 1, .default_share = 1});
  }

  /// Leaves only these targets.
  void SetTargets(std::vector<TargetRecord> records) {
    this->targets = std::move(records);
    this->UpdateFleet();
  }

  void Wait(Duration time) {
    this->now += time;
    this->Feed(EntryTick{});
  }

  RequestId SendTakeUp(const std::string& first_request,
                       const std::string& route = "stream",
                       const std::string& customer = "c",
                       std::optional<ModelPath> model = std::nullopt,
                       double tokens = 10) {
    const RequestId id("t" + std::to_string(++this->request_count));
    this->Feed(RequestArrived{
        .request = id,
        .caller_request_id = RequestId("caller-" + id.value()),
        .credential = "key-" + customer,
        .destination = ByHostAndPath{.host = "h", .path = "/" + route + "/x"},
        .model = std::move(model),
        .tokens = tokens,
        .timeout = std::chrono::seconds(4),
        .resumption =
            StreamResumption{.first_request = RequestId(first_request)}});
    return id;
  }

  RequestId SendNew(const std::string& route) {
    return this->SendRequest(route, std::nullopt, "key-c");
  }

  void Found(const RequestId& request,
             const std::string& software,
             const std::string& service = "plain") {
    this->Feed(OriginLookedUp{
        .request = request,
        .result = OriginFound{.origin = {.service = ServiceId(service),
                                         .software = SoftwareVersion(software)},
                              .source = OriginSource::kLog,
                              .age = std::chrono::milliseconds(70)}});
  }

  /// The log has been read since the request came, but not yet the registry.
  void NotInLog(const RequestId& request) {
    this->Feed(
        OriginLookedUp{.request = request, .result = OriginNotRecorded{}});
  }

  /// The log and the registry have been read since the request came.
  void NotRecorded(const RequestId& request) {
    this->NotInLog(request);
    this->Feed(RegistryCaughtUp{.at = this->now});
  }

  /// Sends a take-up of a stream that began at the version.
  RequestId TakeUpAt(const std::string& software,
                     const std::string& route = "stream") {
    const RequestId id = this->SendTakeUp("first", route);
    this->Found(id, software);
    return id;
  }

  /// @return where the request was sent, in order.
  std::vector<std::string> TargetsOf(const RequestId& request) const {
    std::vector<std::string> names;
    for (const Dispatch& dispatch : this->EffectsOf<Dispatch>()) {
      if (dispatch.request == request) {
        names.push_back(dispatch.target.value());
      }
    }
    return names;
  }

  Dispatch LastDispatchOf(const RequestId& request) const {
    std::optional<std::size_t> last;
    const auto dispatches = this->EffectsOf<Dispatch>();
    for (std::size_t i = 0; i < dispatches.size(); ++i) {
      last = dispatches[i].request == request ? i : last;
    }
    BOOST_REQUIRE(last.has_value());
    return dispatches[*last];
  }

  /// @return the values of a field of the log lines with this event name.
  std::vector<std::string> Logged(const std::string& event,
                                  const std::string& field) const {
    std::vector<std::string> values;
    for (const DecisionRecord& record : this->EffectsOf<DecisionRecord>()) {
      const auto found =
          std::ranges::find(record.fields, field, &LogField::name);
      if (record.event == event && found != record.fields.end()) {
        values.push_back(found->value);
      }
    }
    return values;
  }

  std::string LastOutcome() const {
    const auto outcomes = this->Logged(event_names::kStreamResume, "outcome");
    return outcomes.empty() ? "" : outcomes.back();
  }
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_TESTS_RESUMPTION_FIXTURE_H_
