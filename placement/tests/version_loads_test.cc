#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <string>

#include "simulated_placement.h"

namespace cicadaloft {
namespace {

const SoftwareVersion kV1("v1");
const SoftwareVersion kV2("v2");
const TargetId kTargetV1("t0");
const TargetId kTargetV2("t1");
const HostId kOtherHost("other");

/// Two targets of two versions. The memory of each holds one model and some
/// adapters.
class VersionedPlacement : public SimulatedPlacement {
 public:
  VersionedPlacement(const std::set<ModelPath>& loaded_v1,
                     const std::set<ModelPath>& loaded_v2)
      : SimulatedPlacement(2, 3, 103) {
    this->runners.at(kTargetV1).record.software = kV1;
    this->runners.at(kTargetV1).loaded = loaded_v1;
    this->runners.at(kTargetV2).record.software = kV2;
    this->runners.at(kTargetV2).loaded = loaded_v2;
    this->Begin();
    this->orders.clear();
    this->sent_changes.clear();
  }

  bool HasLoaded(const TargetId& target, const ModelPath& path) const {
    return this->runners.at(target).loaded.contains(path);
  }

  std::ptrdiff_t OrdersTo(const TargetId& target) const {
    return std::ranges::count(this->orders, target, &SendOrder::target);
  }

  /// @return whether the host was told that the target has the path.
  bool IsTold(const HostId& host,
              const TargetId& target,
              const ModelPath& path) const {
    return std::ranges::any_of(
        this->sent_changes, [&](const SendPlacementChange& sent) {
          return sent.hosts.contains(host) && sent.change.is_load &&
                 sent.change.target == target && sent.change.path == path;
        });
  }
};

BOOST_AUTO_TEST_SUITE(version_loads)

// Guards against streams that can't go on since their model is loaded on
// targets of another version only.
BOOST_AUTO_TEST_CASE(ModelIsLoadedOnTheVersionEvenIfAnotherHasIt) {
  VersionedPlacement simulation({Path("m0")}, {Path("m1")});
  simulation.RequestModelOf(kV1, Path("m1"));
  simulation.RunFor(seconds(1));
  BOOST_TEST(simulation.HasLoaded(kTargetV1, Path("m1")));
  BOOST_TEST(simulation.HasLoaded(kTargetV2, Path("m1")));
  BOOST_TEST(simulation.OrdersTo(kTargetV2) == 0);
  BOOST_TEST(simulation.IsTold(kHost, kTargetV1, Path("m1")));
}

// Guards against loads on a target that may not serve the stream because it has
// a copy of the weights.
BOOST_AUTO_TEST_CASE(CopyOnAnotherVersionIsNotUsed) {
  VersionedPlacement simulation({Path("m0")}, {Path("m1")});
  Runner& without_copy = simulation.runners.at(kTargetV1);
  without_copy.disk = {ModelId("m0")};
  without_copy.record.on_disk = {ModelId("m0")};
  simulation.SendFleet();
  // Tokens for loads from the weight store.
  simulation.RunFor(seconds(2));
  for (int i = 0; i < 5; ++i) {
    simulation.RequestModelOf(kV1, Path("m2"));
    simulation.RunFor(milliseconds(400));
  }
  BOOST_TEST(simulation.HasLoaded(kTargetV1, Path("m2")));
  BOOST_TEST(simulation.OrdersTo(kTargetV2) == 0);
}

// Guards against adapters that are loaded where the stream may not go on, or
// that wait since only another version has their model.
BOOST_AUTO_TEST_CASE(AdapterIsLoadedOnTheVersion) {
  for (const ModelPath& loaded : {Path("m0"), Path("m1")}) {
    VersionedPlacement simulation({loaded}, {Path("m1"), Path("m1", "a")});
    for (int i = 0; i < 4; ++i) {
      simulation.RequestModelOf(kV1, Path("m1", "a"));
      simulation.RunFor(milliseconds(400));
    }
    BOOST_TEST(simulation.HasLoaded(kTargetV1, Path("m1")));
    BOOST_TEST(simulation.HasLoaded(kTargetV1, Path("m1", "a")));
    BOOST_TEST(simulation.OrdersTo(kTargetV2) == 0);
    BOOST_TEST(simulation.IsTold(kHost, kTargetV1, Path("m1", "a")));
  }
}

// Guards against models that are moved for a version which no target can serve,
// and against requests that wait for it though any version serves them.
BOOST_AUTO_TEST_CASE(VersionWithoutTargetsGetsNoOrders) {
  for (const bool is_draining : {true, false}) {
    VersionedPlacement simulation({Path("m0")}, {Path("m1")});
    simulation.runners.at(kTargetV1).record.is_draining = is_draining;
    simulation.SendFleet();
    const SoftwareVersion version = is_draining ? kV1 : SoftwareVersion("v0");
    for (int i = 0; i < 4; ++i) {
      simulation.RequestModelOf(version, Path("m2"));
      simulation.RequestModelOf(version, Path("m1", "a"));
      simulation.RunFor(milliseconds(400));
    }
    BOOST_TEST(simulation.orders.empty());
    BOOST_TEST(simulation.sent_changes.empty());
    simulation.RequestModelOf(std::nullopt, Path("m2"), kOtherHost);
    simulation.RequestModelOf(version, Path("m2"));
    simulation.RunFor(seconds(1));
    BOOST_TEST(simulation.IsLoaded(Path("m2")));
  }
}

// Guards against hosts that aren't told where a model is loaded while others
// wait for it on a version.
BOOST_AUTO_TEST_CASE(LoadedModelIsAnnouncedWhileAVersionIsWaitedFor) {
  VersionedPlacement simulation({Path("m0")}, {Path("m1")});
  simulation.runners.at(kTargetV1).running_until = simulation.now + seconds(1);
  simulation.RequestModelOf(kV1, Path("m1"));
  simulation.RequestModelOf(std::nullopt, Path("m1"), kOtherHost);
  BOOST_TEST(simulation.IsTold(kOtherHost, kTargetV2, Path("m1")));
  BOOST_TEST(!simulation.IsTold(kHost, kTargetV2, Path("m1")));
  const auto told = simulation.sent_changes.size();
  simulation.RunFor(milliseconds(400));
  // The announcement isn't repeated while the load is waited for.
  BOOST_TEST(simulation.sent_changes.size() == told);
  simulation.RequestModelOf(kV1, Path("m1"));
  simulation.RunFor(seconds(1));
  BOOST_TEST(simulation.IsTold(kHost, kTargetV1, Path("m1")));
}

// Guards against a second load of a model that is loaded for a version already.
BOOST_AUTO_TEST_CASE(LoadForAVersionServesRequestsForAnyVersion) {
  VersionedPlacement simulation({Path("m0")}, {Path("m1")});
  simulation.RequestModelOf(kV1, Path("m2"));
  simulation.RunFor(milliseconds(200));
  simulation.RequestModelOf(std::nullopt, Path("m2"), kOtherHost);
  simulation.RunFor(seconds(1));
  BOOST_TEST(simulation.IsTold(kOtherHost, kTargetV1, Path("m2")));
  BOOST_TEST(simulation.OrdersTo(kTargetV2) == 0);
}

// Guards against streams of one version that wait since those of another
// request the same model.
BOOST_AUTO_TEST_CASE(ModelIsLoadedOnEachRequestedVersion) {
  VersionedPlacement simulation({Path("m0")}, {Path("m1")});
  for (int i = 0; i < 3; ++i) {
    simulation.RequestModelOf(kV1, Path("m2"));
    simulation.RequestModelOf(kV2, Path("m2"), kOtherHost);
    simulation.RunFor(milliseconds(400));
  }
  BOOST_TEST(simulation.HasLoaded(kTargetV1, Path("m2")));
  BOOST_TEST(simulation.HasLoaded(kTargetV2, Path("m2")));
  BOOST_TEST(simulation.IsTold(kHost, kTargetV1, Path("m2")));
  BOOST_TEST(simulation.IsTold(kOtherHost, kTargetV2, Path("m2")));
}

// Guards against streams that wait for the answer to an order that doesn't
// serve them.
BOOST_AUTO_TEST_CASE(OrderToAnotherVersionIsNotWaitedFor) {
  VersionedPlacement simulation({Path("m0")}, {Path("m1")});
  simulation.runners.at(kTargetV2).loaded.clear();
  simulation.runners.at(kTargetV2).record.instance = TargetInstance(2);
  simulation.SendFleet();
  simulation.silent_targets = {kTargetV2};
  simulation.RunFor(milliseconds(40));
  simulation.RequestModelOf(kV2, Path("m2"), kOtherHost);
  BOOST_REQUIRE(simulation.OrdersTo(kTargetV2) == 1);
  BOOST_REQUIRE((simulation.orders.back().path == Path("m2")));
  simulation.RequestModelOf(kV1, Path("m2"));
  simulation.RunFor(milliseconds(300));
  BOOST_TEST(simulation.HasLoaded(kTargetV1, Path("m2")));
}

// Guards against a demand that keeps waiting for a target which frees memory
// for it but has been restarted with another version.
BOOST_AUTO_TEST_CASE(ReservedTargetMayChangeItsVersion) {
  VersionedPlacement simulation({Path("m0")}, {Path("m1")});
  Runner& first = simulation.runners.at(kTargetV1);
  first.running_until = simulation.now + seconds(5);
  simulation.RequestModelOf(kV1, Path("m2"));
  simulation.RunFor(milliseconds(200));
  BOOST_TEST(simulation.OrdersTo(kTargetV1) > 0);
  first.record.software = kV2;
  simulation.runners.at(kTargetV2).record.software = kV1;
  simulation.SendFleet();
  for (int i = 0; i < 3; ++i) {
    simulation.RequestModelOf(kV1, Path("m2"));
    simulation.RunFor(milliseconds(400));
  }
  BOOST_TEST(simulation.HasLoaded(kTargetV2, Path("m2")));
  BOOST_TEST(!simulation.HasLoaded(kTargetV1, Path("m2")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
