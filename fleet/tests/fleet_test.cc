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

bool Holds(const FleetTracker& fleet, const std::string& id) {
  return fleet.fleet()->targets.contains(TargetId(id));
}

// A register whose registry has been reachable for long.
FleetTracker SettledRegister() {
  FleetTracker fleet;
  fleet.Apply(RegistryReachability{.is_reachable = true}, kNow - seconds(60));
  fleet.Apply(TargetUpdated{.record = Record("t")}, kNow - seconds(50));
  return fleet;
}

BOOST_AUTO_TEST_CASE(ARemovedTargetIsGoneAtOnce) {
  FleetTracker fleet = SettledRegister();
  BOOST_TEST(fleet.Apply(TargetRemoved{.target = TargetId("t")}, kNow));
  BOOST_TEST(!Holds(fleet, "t"));
}

BOOST_AUTO_TEST_CASE(WhatIsMissingFromAWholeReadingIsGone) {
  FleetTracker fleet = SettledRegister();
  BOOST_TEST(fleet.Apply(RegistryRead{.records = {Record("u")}}, kNow));
  BOOST_TEST(!Holds(fleet, "t"));
  BOOST_TEST(Holds(fleet, "u"));
}

BOOST_AUTO_TEST_CASE(RemovalsByAnOutageAreWithdrawnByTheTargetsReturn) {
  FleetTracker fleet = SettledRegister();
  fleet.Apply(RegistryReachability{.is_reachable = false}, kNow);
  fleet.Apply(RegistryReachability{.is_reachable = true}, kNow + seconds(5));
  fleet.Apply(RegistryRead{}, kNow + seconds(5));
  BOOST_TEST(Holds(fleet, "t"));
  fleet.Apply(TargetUpdated{.record = Record("t")}, kNow + seconds(6));
  BOOST_TEST(!fleet.Tick(kNow + seconds(9)));
  BOOST_TEST(Holds(fleet, "t"));
}

BOOST_AUTO_TEST_CASE(WhoIsNotBackAfterAnOutageIsGone) {
  FleetTracker fleet = SettledRegister();
  fleet.Apply(RegistryReachability{.is_reachable = false}, kNow);
  fleet.Apply(RegistryReachability{.is_reachable = true}, kNow + seconds(5));
  fleet.Apply(TargetRemoved{.target = TargetId("t")}, kNow + seconds(5));
  BOOST_TEST(!fleet.Tick(kNow + seconds(7)));
  BOOST_TEST(fleet.Tick(kNow + seconds(8)));
  BOOST_TEST(!Holds(fleet, "t"));
}

BOOST_AUTO_TEST_CASE(LeavingIsFinalForAProcess) {
  FleetTracker fleet = SettledRegister();
  fleet.Apply(TargetUpdated{.record = Record("t", 1, true)}, kNow);
  fleet.Apply(TargetUpdated{.record = Record("t", 1, false)}, kNow);
  BOOST_TEST(fleet.fleet()->targets.at(TargetId("t"))->is_draining);
  fleet.Apply(TargetUpdated{.record = Record("t", 2, false)}, kNow);
  BOOST_TEST(!fleet.fleet()->targets.at(TargetId("t"))->is_draining);
}

BOOST_AUTO_TEST_CASE(ARecordOfAnEarlierProcessIsIgnored) {
  FleetTracker fleet = SettledRegister();
  fleet.Apply(TargetUpdated{.record = Record("t", 5)}, kNow);
  BOOST_TEST(!fleet.Apply(TargetUpdated{.record = Record("t", 4)}, kNow));
}

}  // namespace
}  // namespace cicadaloft
