#include <boost/test/unit_test.hpp>
#include <chrono>

#include "resumption_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Names = std::vector<std::string>;

const TargetRecord kTarget1 = MakeVersionedTarget("p1", "plain", "v1");
const TargetRecord kTarget2 = MakeVersionedTarget("p2", "plain", "v1");

/// An entry whose only service has had one version, for no time yet, or as its
/// first one.
class SoleOriginFixture : public ResumptionFixture {
 public:
  explicit SoleOriginFixture(bool is_first_version = false) {
    this->targets = {kTarget1, kTarget2};
    if (!is_first_version) {
      this->targets = {MakeVersionedTarget("p1", "plain", "v0")};
    }
    this->Start();
    this->SetTargets({kTarget1, kTarget2});
  }

  /// @return whether a take-up without a record goes on.
  bool GoesOn(const std::string& route = "stream") {
    this->effects.clear();
    const RequestId id = this->SendTakeUp("first", route);
    this->NotRecorded(id);
    const bool is_sent = this->EffectsOf<Dispatch>().size() == 1;
    if (is_sent) {
      this->EndAttempt(this->LastDispatchOf(id), AttemptOutcome::kCompleted,
                       200);
    } else {
      BOOST_TEST((this->RefusalKind() == ErrorKind::kStreamOriginUnknown));
      BOOST_TEST(!this->EffectsOf<Refuse>()[0].retry_after.has_value());
    }
    return is_sent;
  }
};

BOOST_AUTO_TEST_SUITE(sole_origin)

// Guards against guesses of the version while there are two.
BOOST_AUTO_TEST_CASE(UnknownOriginWithTwoVersionsIsRefused) {
  SoleOriginFixture entry;
  entry.SetTargets({kTarget1, MakeVersionedTarget("p2", "plain", "v2")});
  entry.Wait(seconds(500));
  BOOST_TEST(!entry.GoesOn());
  BOOST_TEST(entry.LastOutcome() == "stream_origin_unknown");
}

// Guards against streams of the version before that are joined to those of the
// present one.
BOOST_AUTO_TEST_CASE(SoleVersionMustHaveLastedLongerThanAStream) {
  SoleOriginFixture entry;
  entry.Wait(seconds(60));
  BOOST_TEST(!entry.GoesOn());
  entry.Wait(milliseconds(10));
  BOOST_TEST(entry.GoesOn());
  BOOST_TEST(entry.LastOutcome() == "pinned");
  BOOST_TEST(entry.Logged(event_names::kStreamResume, "known_from") ==
             Names{"sole_version"});
  // Twice the time limit of the route.
  BOOST_TEST(!entry.GoesOn("slow"));
  entry.Wait(seconds(20));
  BOOST_TEST(entry.GoesOn("slow"));
}

// Guards against refusals after the first start of all hosts, before which no
// stream can have begun, and against taking a later version for the first one.
BOOST_AUTO_TEST_CASE(FirstVersionAfterTheFirstStartHasAlwaysBeen) {
  SoleOriginFixture entry(true);
  BOOST_TEST(entry.GoesOn());
  entry.SetTargets({kTarget1, MakeVersionedTarget("p2", "plain", "v2")});
  BOOST_TEST(!entry.GoesOn());
  entry.SetTargets({MakeVersionedTarget("p2", "plain", "v2")});
  BOOST_TEST(!entry.GoesOn());
  entry.SetTargets({kTarget1});
  BOOST_TEST(!entry.GoesOn());
  entry.Wait(seconds(61));
  BOOST_TEST(entry.GoesOn());
}

// Guards against take-ups that are refused although they name no first request
// and all targets are alike, and against their retry at a newer version.
BOOST_AUTO_TEST_CASE(TakeUpThatNamesNoFirstRequestIsPinnedToTheSoleVersion) {
  SoleOriginFixture entry;
  entry.NotRecorded(entry.SendTakeUp(""));
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kStreamOriginUnknown));
  entry.Wait(seconds(61));
  entry.effects.clear();
  const RequestId id = entry.SendTakeUp("");
  BOOST_TEST(entry.EffectsOf<LookUpOrigin>().size() == 1);
  entry.NotRecorded(id);
  BOOST_REQUIRE(entry.TargetsOf(id).size() == 1);
  entry.SetTargets({MakeVersionedTarget("p3", "plain", "v2")});
  entry.EndAttempt(entry.LastDispatchOf(id), AttemptOutcome::kNotSent);
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kStreamVersionGone));
}

// Guards against a host that is cut off from the store, whose registry may lack
// another version, and that takes the one it knows for the only one.
BOOST_AUTO_TEST_CASE(SoleVersionDoesNotCountWhileTheLogIsUnreachable) {
  for (const std::string first_request : {"", "first"}) {
    SoleOriginFixture entry;
    entry.Wait(seconds(61));
    const RequestId id = entry.SendTakeUp(first_request);
    entry.Feed(OriginLookedUp{.request = id, .result = OriginLogUnreachable{}});
    BOOST_TEST(entry.EffectsOf<Dispatch>().empty());
    BOOST_TEST((entry.RefusalKind() == ErrorKind::kStreamOriginUnreachable));
  }
}

// Guards against a host that was paused, or cut off from the others and the
// store, while targets of a new version joined: the stream began at one of
// them, its record was not appended, and the host went by the version that it
// knew.
BOOST_AUTO_TEST_CASE(HostThatIsOutOfStepReadsTheRegistryBeforeItGoesOn) {
  for (const bool has_second_version : {true, false}) {
    SoleOriginFixture entry;
    entry.Wait(seconds(61));
    entry.Feed(RegistryCaughtUp{.at = entry.now - milliseconds(1)});
    const RequestId id = entry.SendTakeUp("first");
    entry.NotInLog(id);
    entry.Feed(RegistryCaughtUp{.at = entry.now - milliseconds(1)});
    BOOST_TEST(entry.EffectsOf<Dispatch>().empty());
    BOOST_TEST(entry.EffectsOf<Refuse>().empty());
    if (has_second_version) {
      entry.SetTargets(
          {kTarget1, kTarget2, MakeVersionedTarget("p3", "plain", "v2")});
    }
    entry.Feed(RegistryCaughtUp{.at = entry.now});
    BOOST_TEST(entry.TargetsOf(id).size() == (has_second_version ? 0 : 1));
    if (has_second_version) {
      BOOST_TEST((entry.RefusalKind() == ErrorKind::kStreamOriginUnknown));
    }
  }
}

// Guards against take-ups that wait for a registry that can't be read until
// their time is over, and against a reply that comes after the refusal.
BOOST_AUTO_TEST_CASE(TakeUpIsRefusedWhileTheRegistryCannotBeRead) {
  SoleOriginFixture entry;
  entry.Wait(seconds(61));
  const RequestId id = entry.SendTakeUp("first");
  entry.NotInLog(id);
  entry.Wait(milliseconds(1500));
  BOOST_TEST((entry.RefusalKind() == ErrorKind::kStreamOriginUnreachable));
  BOOST_TEST(entry.EffectsOf<Refuse>()[0].retry_after.has_value());
  entry.Feed(RegistryCaughtUp{.at = entry.now});
  BOOST_TEST(entry.EffectsOf<Dispatch>().empty());
}

// Guards against streams whose records and whose targets' entries were both
// lost when the store came back from an older copy during a release.
BOOST_AUTO_TEST_CASE(RestoredStoreEndsTheSoleVersion) {
  SoleOriginFixture entry(true);
  entry.Feed(RegistryCaughtUp{.at = entry.now, .era = StoreEra(1)});
  const auto goes_on = [&entry](std::uint64_t era) {
    entry.Wait(milliseconds(1));
    const RequestId id = entry.SendTakeUp("first");
    entry.NotInLog(id);
    entry.Feed(RegistryCaughtUp{.at = entry.now, .era = StoreEra(era)});
    return entry.TargetsOf(id).size() == 1;
  };
  BOOST_TEST(goes_on(1));
  BOOST_TEST(!goes_on(2));
  entry.Wait(seconds(61));
  BOOST_TEST(goes_on(2));
}

// Guards against a sole version that lasts through others, however short.
BOOST_AUTO_TEST_CASE(OtherOrUnknownVersionEndsTheSoleVersion) {
  for (const std::string version : {"v2", ""}) {
    SoleOriginFixture entry;
    entry.Wait(seconds(100));
    BOOST_TEST(entry.GoesOn());
    entry.SetTargets(
        {kTarget1, kTarget2, MakeVersionedTarget("p3", "plain", version)});
    BOOST_TEST(!entry.GoesOn());
    entry.SetTargets({kTarget1, kTarget2});
    BOOST_TEST(!entry.GoesOn());
    entry.Wait(seconds(61));
    BOOST_TEST(entry.GoesOn());
  }
}

// Guards against targets of other services that end the sole version, and
// against those of no known version that are taken for one.
BOOST_AUTO_TEST_CASE(OnlyTheTargetsOfTheServiceCount) {
  SoleOriginFixture entry;
  entry.SetTargets(
      {kTarget1, kTarget2, MakeVersionedTarget("o1", "other", "v2")});
  entry.Wait(seconds(61));
  BOOST_TEST(entry.GoesOn());
  entry.SetTargets({MakeVersionedTarget("p1", "plain", ""),
                    MakeVersionedTarget("p2", "plain", "")});
  entry.Wait(seconds(200));
  BOOST_TEST(!entry.GoesOn());
}

// Guards against refusals after a moment without targets, in which no stream
// can have begun.
BOOST_AUTO_TEST_CASE(ServiceWithoutTargetsKeepsItsVersion) {
  SoleOriginFixture entry;
  entry.Wait(seconds(61));
  entry.SetTargets({});
  entry.SetTargets({kTarget1});
  BOOST_TEST(entry.GoesOn());
  entry.SetTargets({});
  entry.SetTargets({MakeVersionedTarget("p1", "plain", "v2")});
  BOOST_TEST(!entry.GoesOn());
}

// Guards against streams of one service that go on at another one.
BOOST_AUTO_TEST_CASE(RouteWithSeveralServicesHasNoSoleOrigin) {
  SoleOriginFixture entry;
  entry.SetTargets(
      {kTarget1, kTarget2, MakeVersionedTarget("o1", "other", "v1")});
  entry.Wait(seconds(500));
  BOOST_TEST(!entry.GoesOn("split"));
  BOOST_TEST(entry.GoesOn("stream"));
}

// Guards against streams that began before the route led to another service.
BOOST_AUTO_TEST_CASE(RouteMustHaveLedToItsServiceForAsLong) {
  SoleOriginFixture entry;
  entry.SetTargets({kTarget1, MakeVersionedTarget("o1", "other", "v1")});
  entry.Wait(seconds(500));
  entry.Feed(ConfigurationChanged{.configuration =
                                      MakeStreamConfiguration(2, "other")});
  BOOST_TEST(!entry.GoesOn());
  entry.Wait(seconds(61));
  // A change that leaves the route as it is.
  entry.Feed(ConfigurationChanged{.configuration =
                                      MakeStreamConfiguration(3, "other")});
  BOOST_TEST(entry.GoesOn());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
