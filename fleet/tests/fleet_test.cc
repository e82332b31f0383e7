#define BOOST_TEST_MODULE fleet
#include "cicadaloft/fleet/fleet_tracker.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace cicadaloft {
namespace {

using std::chrono::seconds;

const TimePoint kNow(seconds(100));

TargetRecordPtr Record(const std::string& id,
                       std::uint64_t instance = 1,
                       bool is_draining = false) {
  return std::make_shared<const TargetRecord>(
      TargetRecord{.id = TargetId(id),
                   .is_draining = is_draining,
                   .instance = TargetInstance(instance)});
}

bool Contains(const FleetTracker& tracker, const std::string& id) {
  return tracker.fleet()->targets.contains(TargetId(id));
}

// A tracker whose registry has been reachable for a minute.
FleetTracker TrackerWithReachableRegistry() {
  FleetTracker tracker;
  tracker.Apply(RegistryReachability{.is_reachable = true}, kNow - seconds(60));
  tracker.Apply(TargetUpdated{.record = Record("t")}, kNow - seconds(50));
  return tracker;
}

BOOST_AUTO_TEST_CASE(RemovedTargetLeavesFleetImmediately) {
  FleetTracker tracker = TrackerWithReachableRegistry();
  BOOST_TEST(tracker.Apply(TargetRemoved{.target = TargetId("t")}, kNow));
  BOOST_TEST(!Contains(tracker, "t"));
}

BOOST_AUTO_TEST_CASE(TargetMissingInFullReadIsRemoved) {
  FleetTracker tracker = TrackerWithReachableRegistry();
  BOOST_TEST(tracker.Apply(RegistryRead{.records = {Record("u")}}, kNow));
  BOOST_TEST(!Contains(tracker, "t"));
  BOOST_TEST(Contains(tracker, "u"));
}

// Guards against targets that hosts drop because the registry has come back
// from a copy in which they were not yet registered.
BOOST_AUTO_TEST_CASE(TargetsThatARestoredRegistryLacksHaveTimeToReappear) {
  FleetTracker tracker = TrackerWithReachableRegistry();
  tracker.Apply(TargetUpdated{.record = Record("gone")}, kNow - seconds(1));
  const RegistryRead restored{.records = {Record("u")}, .is_restored = true};
  tracker.Apply(restored, kNow);
  // Read again for some other reason.
  tracker.Apply(RegistryRead{.records = {Record("u")}}, kNow + seconds(1));
  BOOST_TEST(Contains(tracker, "t"));
  BOOST_TEST(Contains(tracker, "gone"));
  BOOST_TEST(Contains(tracker, "u"));
  tracker.Apply(TargetUpdated{.record = Record("t")}, kNow + seconds(2));
  BOOST_TEST(!tracker.Tick(kNow + seconds(2)));
  BOOST_TEST(tracker.Tick(kNow + FleetTracker::kRemovalGracePeriod));
  BOOST_TEST(Contains(tracker, "t"));
  BOOST_TEST(!Contains(tracker, "gone"));
}

bool IsDraining(const FleetTracker& tracker, const std::string& id) {
  return tracker.fleet()->targets.at(TargetId(id))->is_draining;
}

// Guards against requests to a target that leaves while its record still says
// ready, also after the record was away.
BOOST_AUTO_TEST_CASE(TargetThatSaidItLeavesStaysDrainingUntilNewProcess) {
  FleetTracker tracker = TrackerWithReachableRegistry();
  BOOST_TEST(tracker.Apply(
      TargetSaidLeaving{.target = TargetId("t"), .instance = TargetInstance(1)},
      kNow));
  BOOST_TEST(IsDraining(tracker, "t"));
  tracker.Apply(TargetUpdated{.record = Record("t")}, kNow + seconds(1));
  BOOST_TEST(IsDraining(tracker, "t"));
  tracker.Apply(TargetRemoved{.target = TargetId("t")}, kNow + seconds(2));
  tracker.Apply(RegistryRead{.records = {Record("t")}}, kNow + seconds(3));
  BOOST_TEST(IsDraining(tracker, "t"));
  tracker.Apply(TargetUpdated{.record = Record("t", 2)}, kNow + seconds(4));
  BOOST_TEST(!IsDraining(tracker, "t"));
  // Late news of the earlier process.
  tracker.Apply(
      TargetSaidLeaving{.target = TargetId("t"), .instance = TargetInstance(1)},
      kNow + seconds(5));
  BOOST_TEST(!IsDraining(tracker, "t"));
}

BOOST_AUTO_TEST_CASE(LeavingReportWithoutInstanceMeansTheKnownProcess) {
  FleetTracker tracker = TrackerWithReachableRegistry();
  tracker.Apply(TargetSaidLeaving{.target = TargetId("t")}, kNow);
  BOOST_TEST(IsDraining(tracker, "t"));
  tracker.Apply(TargetSaidLeaving{.target = TargetId("unknown")}, kNow);
  BOOST_TEST(!Contains(tracker, "unknown"));
}

BOOST_AUTO_TEST_CASE(RemovalByOutageIsWithdrawnWhenTargetReappears) {
  FleetTracker tracker = TrackerWithReachableRegistry();
  tracker.Apply(RegistryReachability{.is_reachable = false}, kNow);
  tracker.Apply(RegistryReachability{.is_reachable = true}, kNow + seconds(5));
  tracker.Apply(RegistryRead{}, kNow + seconds(5));
  BOOST_TEST(Contains(tracker, "t"));
  tracker.Apply(TargetUpdated{.record = Record("t")}, kNow + seconds(6));
  BOOST_TEST(!tracker.Tick(kNow + seconds(9)));
  BOOST_TEST(Contains(tracker, "t"));
}

BOOST_AUTO_TEST_CASE(TargetAbsentAfterOutageIsRemovedAfterGracePeriod) {
  FleetTracker tracker = TrackerWithReachableRegistry();
  tracker.Apply(RegistryReachability{.is_reachable = false}, kNow);
  tracker.Apply(RegistryReachability{.is_reachable = true}, kNow + seconds(5));
  tracker.Apply(TargetRemoved{.target = TargetId("t")}, kNow + seconds(5));
  BOOST_TEST(!tracker.Tick(kNow + seconds(7)));
  BOOST_TEST(tracker.Tick(kNow + seconds(8)));
  BOOST_TEST(!Contains(tracker, "t"));
}

BOOST_AUTO_TEST_CASE(DrainingIsFinalForAProcess) {
  FleetTracker tracker = TrackerWithReachableRegistry();
  tracker.Apply(TargetUpdated{.record = Record("t", 1, true)}, kNow);
  tracker.Apply(TargetUpdated{.record = Record("t", 1, false)}, kNow);
  BOOST_TEST(tracker.fleet()->targets.at(TargetId("t"))->is_draining);
  tracker.Apply(TargetUpdated{.record = Record("t", 2, false)}, kNow);
  BOOST_TEST(!tracker.fleet()->targets.at(TargetId("t"))->is_draining);
}

// Guards against streams that go on at a target whose software was replaced, as
// the entry task still has the record of the version before.
BOOST_AUTO_TEST_CASE(ChangeOfTheSoftwareVersionChangesTheFleet) {
  const auto update = [](std::uint64_t instance, const std::string& software) {
    return TargetUpdated{.record =
                             std::make_shared<const TargetRecord>(TargetRecord{
                                 .id = TargetId("t"),
                                 .instance = TargetInstance(instance),
                                 .software = SoftwareVersion(software)})};
  };
  const auto software_of = [](const FleetTracker& tracker) {
    return tracker.fleet()->targets.at(TargetId("t"))->software.value();
  };
  FleetTracker tracker = TrackerWithReachableRegistry();
  BOOST_TEST(tracker.Apply(update(2, "v1"), kNow));
  BOOST_TEST(software_of(tracker) == "v1");
  BOOST_TEST(!tracker.Apply(update(2, "v1"), kNow));
  BOOST_TEST(tracker.Apply(update(3, "v2"), kNow));
  BOOST_TEST(software_of(tracker) == "v2");
  BOOST_TEST(!tracker.Apply(update(2, "v1"), kNow));
  BOOST_TEST(software_of(tracker) == "v2");
  // Targets that don't number their processes.
  BOOST_TEST(tracker.Apply(update(3, "v3"), kNow));
  BOOST_TEST(software_of(tracker) == "v3");
}

BOOST_AUTO_TEST_CASE(RecordOfEarlierProcessIsIgnored) {
  FleetTracker tracker = TrackerWithReachableRegistry();
  tracker.Apply(TargetUpdated{.record = Record("t", 5)}, kNow);
  BOOST_TEST(!tracker.Apply(TargetUpdated{.record = Record("t", 4)}, kNow));
}

// Guards against requests to a process that has drained or ended, whose record
// from before comes back with a restored registry.
BOOST_AUTO_TEST_CASE(RestoredRecordOfADrainedProcessDoesNotMakeItUsable) {
  for (const bool is_removed : {false, true}) {
    FleetTracker tracker = TrackerWithReachableRegistry();
    tracker.Apply(TargetUpdated{.record = Record("t", 1, true)}, kNow);
    if (is_removed) {
      tracker.Apply(TargetRemoved{.target = TargetId("t")}, kNow);
      BOOST_TEST(!Contains(tracker, "t"));
    }
    tracker.Apply(RegistryRead{.records = {Record("t")}, .is_restored = true},
                  kNow + seconds(1));
    BOOST_TEST(IsDraining(tracker, "t"));
    tracker.Apply(TargetUpdated{.record = Record("t", 2)}, kNow + seconds(2));
    BOOST_TEST(!IsDraining(tracker, "t"));
  }
}

}  // namespace
}  // namespace cicadaloft
