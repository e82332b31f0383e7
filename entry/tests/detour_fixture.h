#ifndef CICADALOFT_ENTRY_TESTS_DETOUR_FIXTURE_H_
#define CICADALOFT_ENTRY_TESTS_DETOUR_FIXTURE_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "entry_fixture.h"

namespace cicadaloft {

/// An entry that knows hosts "b" and "c", which take requests for it.
class DetourFixture : public EntryFixture {
 public:
  DetourFixture() {
    this->Start();
    this->SetHosts({"b", "c"});
    this->answers_probes = false;
  }

  void SetHosts(const std::vector<std::string>& names) {
    std::vector<DetourHost> hosts;
    std::ranges::transform(
        names, std::back_inserter(hosts), [](const std::string& name) {
          return DetourHost{.host = HostId(name), .address = name + ":1"};
        });
    this->Feed(DetourHostsChanged{.hosts = std::move(hosts)});
  }

  /// Two requests can't be sent to any target: the links are suspected.
  void SuspectLinks() {
    this->SendRequest("once");
    this->EndAttempt(this->LastDispatch(), AttemptOutcome::kNotSent);
    this->EndAttempt(this->LastDispatch(), AttemptOutcome::kNotSent);
    BOOST_REQUIRE(!this->probes.empty());
  }
  /// All probes fail, those that follow too, until targets are lost.
  void FailProbes() {
    while (!this->probes.empty()) {
      this->AnswerProbes(false);
    }
  }
  /// Loses the links; what was sent before has ended, or is on a detour.
  void LoseTargets() {
    this->SuspectLinks();
    this->FailProbes();
    BOOST_REQUIRE(!this->ReportedReach().empty());
    BOOST_REQUIRE(!this->ReportedReach().back());
    for (const Dispatch& dispatch : this->EffectsOf<Dispatch>()) {
      if (dispatch.via_host) {
        this->EndAttempt(dispatch, AttemptOutcome::kCompleted, 200);
      }
    }
    this->effects.clear();
  }
  /// Probes succeed until targets are reached.
  void RegainTargets() {
    for (int i = 0; i < 100 && !this->HasRegained(); ++i) {
      this->RunFor(std::chrono::milliseconds(10));
      this->AnswerProbes(true);
    }
    BOOST_REQUIRE(this->HasRegained());
  }

  Dispatch LastDispatch() const { return this->EffectsOf<Dispatch>().back(); }
  std::vector<bool> ReportedReach() const {
    std::vector<bool> reached;
    for (const auto& change : this->EffectsOf<TargetReachabilityChanged>()) {
      reached.push_back(change.reaches_targets);
    }
    return reached;
  }
  /// @return how often the event was logged.
  std::size_t CountLogged(const std::string& event) const {
    const auto records = this->EffectsOf<DecisionRecord>();
    return static_cast<std::size_t>(
        std::ranges::count(records, event, &DecisionRecord::event));
  }
  /// A request that another host has forwarded.
  RequestId ForwardRequest(const std::string& route = "any") {
    const RequestId id("f" + std::to_string(++this->request_count));
    this->Feed(RequestArrived{
        .request = id,
        .caller_request_id = id,
        .credential = "key",
        .destination = ByHostAndPath{.host = "h", .path = "/" + route + "/x"},
        .timeout = std::chrono::seconds(4),
        .forwarded_by = HostId("d")});
    return id;
  }

 private:
  bool HasRegained() const {
    const auto reached = this->ReportedReach();
    return !reached.empty() && reached.back();
  }
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_TESTS_DETOUR_FIXTURE_H_
