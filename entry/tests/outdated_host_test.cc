#define BOOST_TEST_MODULE outdated_host
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

/// A host that takes requests of others; its configuration is version 1.
class OutdatedHostFixture : public DetourFixture {
 public:
  RequestId Forward(std::optional<std::uint64_t> admitted_by,
                    const std::string& key = "key") {
    const RequestId id("f" + std::to_string(++this->request_count));
    this->Feed(RequestArrived{
        .request = id,
        .caller_request_id = id,
        .credential = key,
        .destination = ByHostAndPath{.host = "h", .path = "/once/x"},
        .timeout = seconds(4),
        .forwarded_by = HostId("d"),
        .admitted_by = admitted_by
                           ? std::optional(ConfigurationVersion(*admitted_by))
                           : std::nullopt});
    return id;
  }
  void Adopt(std::uint64_t version, const std::vector<std::string>& keys) {
    this->Feed(ConfigurationChanged{.configuration =
                                        MakeConfiguration(version, keys)});
  }
  std::vector<ErrorKind> RefusalKinds() const {
    std::vector<ErrorKind> kinds;
    for (const Refuse& refusal : this->EffectsOf<Refuse>()) {
      kinds.push_back(refusal.error.kind);
    }
    return kinds;
  }
};

// Guards against a 401 for a key that the forwarding host's newer configuration
// has.
BOOST_FIXTURE_TEST_CASE(RequestOfANewerConfigurationWaitsForIt,
                        OutdatedHostFixture) {
  const RequestId id = this->Forward(2, "new-key");
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  const auto heard = this->EffectsOf<ConfigurationHeard>();
  BOOST_REQUIRE(heard.size() == 1U);
  BOOST_TEST((heard[0].version == ConfigurationVersion(2)));
  this->RunFor(milliseconds(100));
  this->Adopt(2, {"new-key"});
  BOOST_REQUIRE(this->EffectsOf<Dispatch>().size() == 1U);
  const Dispatch dispatch = this->LastDispatch();
  BOOST_TEST((dispatch.request == id));
  BOOST_TEST((dispatch.configuration == ConfigurationVersion(2)));
  // The wait is part of the time that the caller has.
  BOOST_TEST((dispatch.response_timeout == milliseconds(3900)));
}

// Guards against a run with a key that has been withdrawn, by an older
// configuration.
BOOST_FIXTURE_TEST_CASE(WithdrawnKeyIsRefusedByTheNewerConfiguration,
                        OutdatedHostFixture) {
  this->Forward(2);
  this->Adopt(2, {"new-key"});
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  BOOST_TEST((this->RefusalKinds() ==
              std::vector<ErrorKind>{ErrorKind::kUnauthenticated}));
  BOOST_TEST(
      (this->EffectsOf<Refuse>()[0].configuration == ConfigurationVersion(2)));
}

// Guards against requests that wait at a host which can't read the store: the
// forwarding host has to try another one.
BOOST_FIXTURE_TEST_CASE(HostThatStaysBehindRefusesAtOnce, OutdatedHostFixture) {
  this->Forward(2);
  this->RunFor(milliseconds(510));
  BOOST_TEST((this->RefusalKinds() ==
              std::vector<ErrorKind>{ErrorKind::kOutdatedConfiguration}));
  this->Forward(3);
  const auto refusals = this->EffectsOf<Refuse>();
  BOOST_REQUIRE(refusals.size() == 2U);
  BOOST_TEST((refusals[1].error.kind == ErrorKind::kOutdatedConfiguration));
  BOOST_TEST((refusals[1].run_state == RunState::kNotRun));
  BOOST_TEST((refusals[1].configuration == ConfigurationVersion(1)));
  BOOST_TEST(refusals[1].retry_after.has_value());
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
}

// Guards against requests of hosts of the earlier version, which don't state a
// configuration, at a host that knows of a newer one.
BOOST_FIXTURE_TEST_CASE(RequestWithoutAVersionNeedsTheNewestOneKnown,
                        OutdatedHostFixture) {
  this->Forward(std::nullopt);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1U);
  this->Feed(ConfigurationHeard{.version = ConfigurationVersion(2)});
  this->Forward(std::nullopt);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1U);
  this->RunFor(milliseconds(510));
  BOOST_TEST((this->RefusalKinds() ==
              std::vector<ErrorKind>{ErrorKind::kOutdatedConfiguration}));
  // The version that has admitted a request suffices for it.
  this->Forward(1);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 2U);
}

// Guards against requests of hosts of the earlier version, which don't state a
// configuration, at a host that has lost the store and so knows of no newer one
// than its own.
BOOST_FIXTURE_TEST_CASE(HostWithoutTheStoreDecidesNoRequestWithoutAVersion,
                        OutdatedHostFixture) {
  this->Feed(ConfigurationFollowed{.is_followed = false});
  this->Forward(std::nullopt);
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  BOOST_TEST((this->RefusalKinds() ==
              std::vector<ErrorKind>{ErrorKind::kOutdatedConfiguration}));
  // What states its version, and this host's own callers, are served.
  this->Forward(1);
  this->SendRequest("once");
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 2U);
  this->Feed(ConfigurationFollowed{.is_followed = true});
  this->Forward(std::nullopt);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 3U);
}

// Guards against a refusal of callers of this host, and of requests by a
// helping host that is ahead.
BOOST_FIXTURE_TEST_CASE(OwnCallersAndOlderVersionsDontWait,
                        OutdatedHostFixture) {
  this->Feed(ConfigurationHeard{.version = ConfigurationVersion(9)});
  this->SendRequest("once");
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1U);
  this->Adopt(10, {"key"});
  this->Forward(2);
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 2U);
}

// Guards against a 401 or 404 by an older configuration than callers have seen,
// at a host that knows of a newer one and can't get it.
BOOST_FIXTURE_TEST_CASE(HostThatIsBehindDeniesNoRouteOrKey,
                        OutdatedHostFixture) {
  this->SendRequest("unknown");
  BOOST_TEST((this->RefusalKinds() ==
              std::vector<ErrorKind>{ErrorKind::kUnknownRoute}));
  this->effects.clear();
  this->Feed(ConfigurationHeard{.version = ConfigurationVersion(9)});
  this->SendRequest("unknown");
  this->Forward(1, "new-key");
  BOOST_TEST((this->RefusalKinds() ==
              std::vector<ErrorKind>(2, ErrorKind::kOutdatedConfiguration)));
  for (const Refuse& refusal : this->EffectsOf<Refuse>()) {
    BOOST_TEST((refusal.run_state == RunState::kNotRun));
    BOOST_TEST(refusal.retry_after.has_value());
  }
  this->Adopt(9, {"key"});
  this->effects.clear();
  this->SendRequest("unknown");
  this->Forward(1, "new-key");
  BOOST_TEST((this->RefusalKinds() ==
              std::vector<ErrorKind>{ErrorKind::kUnknownRoute,
                                     ErrorKind::kUnauthenticated}));
}

// Guards against held requests whose caller has left, or whose host loses its
// targets meanwhile.
BOOST_FIXTURE_TEST_CASE(HeldRequestsEndWithTheirCallersAndTargets,
                        OutdatedHostFixture) {
  const RequestId left = this->Forward(2);
  this->Feed(CallerDisconnected{.request = left});
  this->LoseTargets();
  this->Adopt(2, {"key"});
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  this->Forward(3);
  BOOST_TEST(
      (this->RefusalKinds() == std::vector<ErrorKind>{ErrorKind::kNoCapacity}));
}

// Guards against held requests beyond the number that a host takes.
BOOST_FIXTURE_TEST_CASE(HeldRequestsCountAsForwarded, OutdatedHostFixture) {
  for (int i = 0; i < 70; ++i) {
    this->Forward(2);
  }
  BOOST_TEST(this->EffectsOf<Refuse>().size() == 6U);
  BOOST_TEST((this->RefusalKinds()[0] == ErrorKind::kQueueFull));
}

// Guards against the refusal of an outdated host that reaches the caller, and
// against its cost in the retry budget: no target has seen the request.
BOOST_FIXTURE_TEST_CASE(OutdatedHostIsReplacedByAnother, OutdatedHostFixture) {
  this->LoseTargets();
  for (int i = 0; i < 50; ++i) {
    this->RunFor(seconds(2));
    this->effects.clear();
    this->SendRequest("any");
    const Dispatch first = this->LastDispatch();
    BOOST_TEST((first.configuration == ConfigurationVersion(1)));
    this->EndAttempt(first, AttemptOutcome::kOutdatedHost, 503);
    BOOST_REQUIRE(this->EffectsOf<Dispatch>().size() == 2U);
    BOOST_TEST((this->LastDispatch().via_host != first.via_host));
    this->EndAttempt(this->LastDispatch(), AttemptOutcome::kCompleted, 200);
  }
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
}

// Guards against a 401 or 404 for the caller where all hosts that could help
// are outdated.
BOOST_FIXTURE_TEST_CASE(WithoutAnotherHostTheCallerIsToldToComeBack,
                        OutdatedHostFixture) {
  this->LoseTargets();
  this->SendRequest("once");
  this->EndAttempt(this->LastDispatch(), AttemptOutcome::kOutdatedHost, 401);
  this->EndAttempt(this->LastDispatch(), AttemptOutcome::kOutdatedHost, 404);
  const auto refusals = this->EffectsOf<Refuse>();
  BOOST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST(GetErrorInfo(refusals[0].error.kind).http_status == 503);
  BOOST_TEST((refusals[0].run_state == RunState::kNotRun));
  BOOST_TEST(refusals[0].retry_after.has_value());
}

}  // namespace
}  // namespace cicadaloft
