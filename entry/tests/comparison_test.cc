#define BOOST_TEST_MODULE comparison
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/entry/event_names.h"
#include "detour_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A host that takes requests of hosts "d" and "e"; its configuration is
/// version 1.
class ComparisonFixture : public DetourFixture {
 public:
  RequestId Forward(std::uint64_t admitted_by,
                    const std::string& key = "key",
                    const std::string& host = "d") {
    const RequestId id("f" + std::to_string(++this->request_count));
    this->Feed(RequestArrived{
        .request = id,
        .caller_request_id = id,
        .credential = key,
        .destination = ByHostAndPath{.host = "h", .path = "/any/x"},
        .timeout = seconds(4),
        .forwarded_by = HostId(host),
        .admitted_by = ConfigurationVersion(admitted_by),
        .forwarder_address = host + ":1"});
    return id;
  }
  void EndComparison(const std::string& host,
                     std::optional<std::uint64_t> version,
                     const ActiveConfigurationPtr& newer = nullptr) {
    this->Feed(ConfigurationsCompared{
        .host = HostId(host),
        .version = version ? std::optional(ConfigurationVersion(*version))
                           : std::nullopt,
        .newer = newer});
  }
  void Adopt(std::uint64_t version) {
    this->Feed(
        ConfigurationChanged{.configuration = MakeConfiguration(version)});
  }
  std::vector<CompareConfigurations> Comparisons() const {
    return this->EffectsOf<CompareConfigurations>();
  }
};

// Guards against requests that are refused, or wait for the store, although the
// host that they come from has the configuration that this host lacks.
BOOST_FIXTURE_TEST_CASE(MissingConfigurationIsTakenFromTheForwardingHost,
                        ComparisonFixture) {
  this->Forward(2, "new-key");
  this->Forward(2, "new-key");
  BOOST_REQUIRE(this->Comparisons().size() == 1U);
  BOOST_TEST((this->Comparisons()[0].host == HostId("d")));
  BOOST_TEST(this->Comparisons()[0].address == "d:1");
  BOOST_TEST((this->Comparisons()[0].version == ConfigurationVersion(1)));
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  const auto newer = MakeConfiguration(2, {"new-key"});
  this->EndComparison("d", 2, newer);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 2U);
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
  // The control task adopts it as well.
  const auto received = this->EffectsOf<ConfigurationReceived>();
  BOOST_REQUIRE(received.size() == 1U);
  BOOST_TEST((received[0].configuration == newer));
  BOOST_TEST(this->CountLogged(event_names::kConfigurationReceived) == 1U);
}

// Guards against a host that has been behind for long, and refuses at once what
// it could serve after a comparison.
BOOST_FIXTURE_TEST_CASE(HostThatIsBehindForLongStillCompares,
                        ComparisonFixture) {
  this->Feed(ConfigurationHeard{.version = ConfigurationVersion(2)});
  this->RunFor(seconds(5));
  this->Forward(2);
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
  this->EndComparison("d", 2, MakeConfiguration(2));
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1U);
}

// Guards against requests that wait after their comparison has failed, and
// against a host that asks no other one.
BOOST_FIXTURE_TEST_CASE(AfterAFailureAnotherHostIsAsked, ComparisonFixture) {
  this->Feed(ConfigurationHeard{.version = ConfigurationVersion(2)});
  this->RunFor(seconds(5));
  this->Forward(2);
  this->Forward(2, "key", "e");
  BOOST_TEST(this->Comparisons().size() == 1U);
  this->EndComparison("d", std::nullopt);
  BOOST_REQUIRE(this->Comparisons().size() == 2U);
  BOOST_TEST((this->Comparisons()[1].host == HostId("e")));
  this->EndComparison("e", std::nullopt);
  const auto refusals = this->EffectsOf<Refuse>();
  BOOST_REQUIRE(refusals.size() == 2U);
  BOOST_TEST((refusals[0].error.kind == ErrorKind::kOutdatedConfiguration));
  BOOST_TEST((refusals[0].run_state == RunState::kNotRun));
  // Neither is asked again for a while.
  this->Forward(2);
  BOOST_TEST(this->Comparisons().size() == 2U);
  BOOST_TEST(this->EffectsOf<Refuse>().size() == 3U);
}

// Guards against requests that wait without end for comparisons.
BOOST_FIXTURE_TEST_CASE(RequestsWaitForComparisonsForALimitedTime,
                        ComparisonFixture) {
  this->Forward(2);
  this->RunFor(milliseconds(490));
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
  this->RunFor(milliseconds(30));
  BOOST_TEST(this->EffectsOf<Refuse>().size() == 1U);
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
}

// Guards against a host that goes back to its older configuration after a
// target has run a request of its callers by this host's newer one.
BOOST_FIXTURE_TEST_CASE(ForwardingHostHasTheConfigurationBeforeATargetSeesIt,
                        ComparisonFixture) {
  this->Adopt(2);
  this->Forward(1);
  this->Forward(1);
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  BOOST_REQUIRE(this->Comparisons().size() == 1U);
  BOOST_TEST((this->Comparisons()[0].version == ConfigurationVersion(2)));
  BOOST_REQUIRE(this->Comparisons()[0].configuration != nullptr);
  BOOST_TEST((this->Comparisons()[0].configuration->version() ==
              ConfigurationVersion(2)));
  this->EndComparison("d", 2);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 2U);
  // Requests that were admitted before, and are sent over later.
  this->Forward(1);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 3U);
  // Another host has to get it as well.
  this->Forward(1, "key", "e");
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 3U);
  BOOST_TEST(this->Comparisons().size() == 2U);
}

// Guards against requests that wait for good for a host which takes no
// configuration, and against a wait of each of them.
BOOST_FIXTURE_TEST_CASE(ForwardingHostThatDoesNotAnswerHoldsNothingUp,
                        ComparisonFixture) {
  this->Adopt(2);
  this->Forward(1);
  this->EndComparison("d", std::nullopt);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1U);
  this->Forward(1);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 2U);
  this->RunFor(seconds(2));
  this->Forward(1);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 2U);
  this->RunFor(milliseconds(520));
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 3U);
}

// Guards against a configuration that comes while the one before is sent, and
// reaches the other host only after its effect.
BOOST_FIXTURE_TEST_CASE(ConfigurationThatComesMeanwhileIsSentAsWell,
                        ComparisonFixture) {
  this->Adopt(2);
  this->Forward(1);
  this->Adopt(3);
  this->EndComparison("d", 2);
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  BOOST_REQUIRE(this->Comparisons().size() == 2U);
  BOOST_TEST((this->Comparisons()[1].version == ConfigurationVersion(3)));
  this->EndComparison("d", 3);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1U);
}

// Guards against callers that nobody serves after a change of the lease holder,
// which lists no host that doesn't reach the store.
BOOST_FIXTURE_TEST_CASE(HostsOfAnEarlierListAreAskedAndUsed,
                        ComparisonFixture) {
  this->SetHosts({});
  BOOST_TEST(this->Comparisons().empty());
  this->SuspectLinks();
  this->FailProbes();
  const auto comparisons = this->Comparisons();
  BOOST_REQUIRE(comparisons.size() == 2U);
  BOOST_TEST((comparisons[0].host == HostId("b")));
  BOOST_TEST(comparisons[0].address == "b:1");
  BOOST_TEST((comparisons[1].host == HostId("c")));
  this->EndComparison("b", std::nullopt);
  this->EndComparison("c", 1);
  this->SendRequest("any");
  BOOST_TEST((this->LastDispatch().via_host == HostId("c")));
}

// Guards against hosts that reach no target and are asked for help all the
// same.
BOOST_FIXTURE_TEST_CASE(HostWithoutTargetsSaysSoAndIsNotAsked,
                        ComparisonFixture) {
  this->SetHosts({"b"});
  this->SuspectLinks();
  this->FailProbes();
  this->Feed(ComparisonArrived{.request = RequestId("c1"),
                               .host = HostId("b"),
                               .version = ConfigurationVersion(1)});
  BOOST_REQUIRE(this->EffectsOf<AnswerComparison>().size() == 1U);
  BOOST_TEST(!this->EffectsOf<AnswerComparison>()[0].reaches_targets);
  // Host "c" of the earlier list reaches none either.
  this->Feed(ConfigurationsCompared{.host = HostId("c"),
                                    .version = ConfigurationVersion(1),
                                    .reaches_targets = false});
  this->SendRequest("any");
  const Dispatch dispatch = this->LastDispatch();
  BOOST_TEST((dispatch.via_host == HostId("b")));
  // There is no other host, so the refusal of "b" is for the caller.
  BOOST_TEST(!dispatch.withholds_error_response);
}

// Guards against a configuration that is sent to a host which has it, is kept
// from one that lacks it, or replaces a newer one.
BOOST_FIXTURE_TEST_CASE(AnswerHasTheNewerConfiguration, ComparisonFixture) {
  this->Adopt(5);
  this->Feed(ComparisonArrived{.request = RequestId("c1"),
                               .host = HostId("d"),
                               .version = ConfigurationVersion(4)});
  this->Feed(ComparisonArrived{.request = RequestId("c2"),
                               .host = HostId("d"),
                               .version = ConfigurationVersion(5)});
  this->Feed(ComparisonArrived{.request = RequestId("c3"),
                               .host = HostId("d"),
                               .version = ConfigurationVersion(4),
                               .configuration = MakeConfiguration(4)});
  this->Feed(ComparisonArrived{.request = RequestId("c4"),
                               .host = HostId("d"),
                               .version = ConfigurationVersion(6),
                               .configuration = MakeConfiguration(6)});
  const auto answers = this->EffectsOf<AnswerComparison>();
  BOOST_REQUIRE(answers.size() == 4U);
  BOOST_REQUIRE(answers[0].newer != nullptr);
  BOOST_TEST((answers[0].newer->version() == ConfigurationVersion(5)));
  BOOST_TEST((answers[1].newer == nullptr));
  BOOST_TEST((answers[1].version == ConfigurationVersion(5)));
  BOOST_TEST((answers[2].version == ConfigurationVersion(5)));
  BOOST_TEST((answers[3].version == ConfigurationVersion(6)));
  BOOST_TEST(this->EffectsOf<ConfigurationReceived>().size() == 1U);
}

}  // namespace
}  // namespace cicadaloft
