#define BOOST_TEST_MODULE crashes_at_once
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <cstdint>

#include "warm_targets.h"

namespace cicadaloft {
namespace {

// Guards against deadly requests that come in groups, whose crashes count as
// one.
BOOST_AUTO_TEST_CASE(DeadlyRequestsThatComeTogetherAreBlocked) {
  for (const std::size_t hosts : kHostCounts) {
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      WarmTargets warm(hosts);
      SimulatedTargets& targets = *warm.targets;
      for (std::uint64_t group = 0; group < 6; ++group) {
        for (std::uint64_t i = 0; i < 5; ++i) {
          targets.SendRequest(i % hosts, {600 + 10 * group + i,
                                          SimulatedTargets::kDeadlySegment});
        }
        targets.SendRequestsFor(seconds(6), kRequestsPerSecond, 0);
      }
      BOOST_TEST(targets.DeadlyArrivalsAfterFifthCrash(kStabilityWindow) <=
                 kMaxDeadlyArrivals);
      BOOST_TEST(targets.SoundRequestsBlocked() == 0U);
    }
  }
}

// Guards against blocking what targets were running when they lost power.
BOOST_AUTO_TEST_CASE(PowerFailuresBlockNoRequest) {
  for (const std::size_t hosts : kHostCounts) {
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      WarmTargets warm(hosts);
      SimulatedTargets& targets = *warm.targets;
      for (const std::size_t count : {kTargetCount / 3, kTargetCount}) {
        targets.CrashTogether(count);
        targets.SendRequestsFor(seconds(8), kRequestsPerSecond, 0);
      }
      BOOST_TEST(targets.SoundRequestsBlocked() == 0U);
    }
  }
}

}  // namespace
}  // namespace cicadaloft
