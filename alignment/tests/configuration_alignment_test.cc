#define BOOST_TEST_MODULE configuration_alignment
#include "cicadaloft/alignment/configuration_alignment.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace cicadaloft {
namespace {

const TimePoint kNow(std::chrono::seconds(1000));
const HostId kHost("a");

// Guards against a comparison for each request that waits for the same one.
BOOST_AUTO_TEST_CASE(OneComparisonWithAHostRunsAtATime) {
  ConfigurationAlignment alignment;
  BOOST_TEST(alignment.MayBegin(kHost, kNow));
  BOOST_TEST(!alignment.IsRunning(kHost));
  alignment.OnBegun(kHost, ConfigurationVersion(7));
  BOOST_TEST(!alignment.MayBegin(kHost, kNow));
  BOOST_TEST(alignment.IsRunning(kHost));
  BOOST_TEST(alignment.MayBegin(HostId("b"), kNow));
  BOOST_TEST(alignment.IsExpecting(ConfigurationVersion(7)));
  BOOST_TEST(!alignment.IsExpecting(ConfigurationVersion(8)));
  alignment.OnEnded(kHost, ConfigurationVersion(8), kNow);
  BOOST_TEST(alignment.MayBegin(kHost, kNow));
  BOOST_TEST(!alignment.IsExpecting(ConfigurationVersion(7)));
  BOOST_TEST((alignment.KnownVersion(kHost) == ConfigurationVersion(8)));
}

// Guards against requests that wait again and again for a host that can't be
// reached, or is of an earlier version.
BOOST_AUTO_TEST_CASE(HostThatDoesNotAnswerIsLeftAloneForAWhile) {
  ConfigurationAlignment alignment;
  alignment.OnBegun(kHost, ConfigurationVersion(7));
  alignment.OnEnded(kHost, std::nullopt, kNow);
  BOOST_TEST(!alignment.IsRunning(kHost));
  BOOST_TEST(!alignment.MayBegin(
      kHost, kNow + ConfigurationAlignment::kBackoff - Duration(1)));
  BOOST_TEST(
      alignment.MayBegin(kHost, kNow + ConfigurationAlignment::kBackoff));
  BOOST_TEST((alignment.KnownVersion(kHost) == ConfigurationVersion()));
}

// Guards against a configuration that is sent again and again to a host which
// doesn't adopt it.
BOOST_AUTO_TEST_CASE(HostThatDoesNotAdoptIsLeftAloneForAWhile) {
  ConfigurationAlignment alignment;
  alignment.OnBegun(kHost, ConfigurationVersion(7), ConfigurationVersion(8));
  alignment.OnEnded(kHost, ConfigurationVersion(7), kNow);
  BOOST_TEST(!alignment.MayBegin(kHost, kNow));
  BOOST_TEST(
      alignment.MayBegin(kHost, kNow + ConfigurationAlignment::kBackoff));
  alignment.OnBegun(kHost, ConfigurationVersion(7), ConfigurationVersion(8));
  alignment.OnEnded(kHost, ConfigurationVersion(8), kNow);
  BOOST_TEST(
      alignment.MayBegin(kHost, kNow + ConfigurationAlignment::kBackoff));
}

// Guards against memory that grows with the names that other hosts state.
BOOST_AUTO_TEST_CASE(NumberOfHostsIsBounded) {
  ConfigurationAlignment alignment;
  for (std::size_t i = 0; i < ConfigurationAlignment::kMaxHosts; ++i) {
    alignment.OnBegun(HostId("h" + std::to_string(i)), ConfigurationVersion(1));
  }
  BOOST_TEST(!alignment.MayBegin(kHost, kNow));
}

}  // namespace
}  // namespace cicadaloft
