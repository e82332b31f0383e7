#define BOOST_TEST_MODULE poisoned_segment
#include <boost/test/unit_test.hpp>
#include <cstddef>

#include "warm_targets.h"

namespace cicadaloft {
namespace {

void CheckPoisonedSegment(std::size_t hosts, bool crashes_holder) {
  BOOST_TEST_CONTEXT(hosts << " hosts") {
    HostsSimulation simulation(
        hosts, SharedLimit{.rate_per_second = 4e6, .burst = 4e6});
    simulation.RunFor(seconds(10));
    SimulatedTargets targets(simulation, kTargetCount);
    simulation.RunFor(seconds(1));
    const TimePoint begin = simulation.Now();
    targets.SendRequestsFor(seconds(5), kRequestsPerSecond, 0);
    const double served_before = targets.ServedFraction(begin);
    while (targets.crashes.size() < 2) {
      targets.SendRequestsFor(milliseconds(10), kRequestsPerSecond,
                              kDeadlyFraction);
    }
    if (crashes_holder) {
      simulation.CrashHolder();
    }
    targets.SendRequestsFor(2 * kStabilityWindow, kRequestsPerSecond,
                            kDeadlyFraction);
    const TimePoint later = simulation.Now();
    targets.SendRequestsFor(seconds(12), kRequestsPerSecond, kDeadlyFraction);
    BOOST_TEST(targets.DeadlyArrivalsAfterFifthCrash(kStabilityWindow) <=
               kMaxDeadlyArrivals);
    BOOST_TEST(targets.ServedFraction(later) >=
               kMinServedRatio * served_before);
    BOOST_TEST(targets.SoundRequestsBlocked() == 0U);
  }
}

// Guards against a shared prompt segment that crashes one target after the
// other, because a request was only identified by its whole content.
BOOST_AUTO_TEST_CASE(SegmentThatCrashesTargetsIsBlockedOnAllHosts) {
  for (const std::size_t hosts : kHostCounts) {
    CheckPoisonedSegment(hosts, false);
  }
}

// Guards against losing what is known of such a segment with the lease holder.
BOOST_AUTO_TEST_CASE(SegmentIsBlockedAlthoughTheHolderCrashes) {
  for (const std::size_t hosts : kHostCounts) {
    CheckPoisonedSegment(hosts, true);
  }
}

// Guards against a segment that crashes targets after the first bytes of the
// response, which was taken for a sound one.
BOOST_AUTO_TEST_CASE(SegmentThatCrashesTargetsAfterTheFirstBytesIsBlocked) {
  for (const std::size_t hosts : kHostCounts) {
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      WarmTargets warm(hosts);
      warm.targets->is_deadly_after_bytes = true;
      warm.targets->SendRequestsFor(seconds(20), kRequestsPerSecond,
                                    kDeadlyFraction);
      BOOST_TEST(warm.targets->DeadlyArrivalsAfterFifthCrash(
                     kStabilityWindow) <= kMaxDeadlyArrivals);
      BOOST_TEST(warm.targets->SoundRequestsBlocked() == 0U);
    }
  }
}

}  // namespace
}  // namespace cicadaloft
