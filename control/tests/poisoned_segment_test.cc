#define BOOST_TEST_MODULE poisoned_segment
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "hosts_simulation.h"
#include "simulated_targets.h"

namespace cicadaloft {
namespace {

/// Host counts of the smallest site, of a grown site and of the planned one.
constexpr std::size_t kHostCounts[] = {6, 76, 360};
constexpr std::size_t kTargetCount = 40;
constexpr double kRequestsPerSecond = 200;
constexpr double kDeadlyFraction = 0.03;

/// The shortest stability window of the sites.
constexpr Duration kStabilityWindow = seconds(3);
/// Deadly requests that may reach targets later than that after the fifth
/// crash.
constexpr std::size_t kMaxDeadlyArrivals = 3;
/// Sound requests must be served at least half as often as without crashes.
constexpr double kMinServedRatio = 0.5;

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

/// Hosts with targets that have served requests for some seconds.
struct WarmTargets {
  explicit WarmTargets(std::size_t hosts)
      : simulation(hosts, SharedLimit{.rate_per_second = 4e6, .burst = 4e6}) {
    this->simulation.RunFor(seconds(10));
    this->targets.emplace(this->simulation, kTargetCount);
    this->simulation.RunFor(seconds(1));
    this->targets->SendRequestsFor(seconds(5), kRequestsPerSecond, 0);
  }

  HostsSimulation simulation;
  std::optional<SimulatedTargets> targets;
};

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

// Guards against refusing the sound segment that all deadly requests begin
// with, because its hash is the lower one.
BOOST_AUTO_TEST_CASE(SegmentThatAccompaniesTheDeadlyOneGoesOnBeingServed) {
  for (const std::size_t hosts : kHostCounts) {
    for (const std::uint64_t companion :
         {std::uint64_t{50}, SimulatedTargets::kDeadlySegment + 1}) {
      BOOST_TEST_CONTEXT(hosts << " hosts, companion " << companion) {
        WarmTargets warm(hosts);
        SimulatedTargets& targets = *warm.targets;
        const auto send_batch = [&] {
          std::vector<RequestId> batch;
          for (std::uint64_t i = 0; i < 30; ++i) {
            batch.push_back(
                targets.SendRequest(i % hosts, {companion, 500 + i}));
            targets.SendRequestsFor(milliseconds(200), kRequestsPerSecond, 0);
          }
          return std::ranges::count_if(
              batch, [&](const auto& id) { return targets.HasBegun(id); });
        };
        const auto begun_before = send_batch();
        targets.SendRequestsFor(seconds(3), kRequestsPerSecond, 0);
        for (std::uint64_t i = 0; i < 10; ++i) {
          targets.SendRequest(i % hosts,
                              {companion, SimulatedTargets::kDeadlySegment});
          targets.SendRequestsFor(seconds(3), kRequestsPerSecond, 0);
        }
        BOOST_TEST(targets.crashes.size() <= 4U);
        BOOST_TEST(2 * send_batch() >= begun_before);
        BOOST_TEST(targets.SoundRequestsBlocked() == 0U);
      }
    }
  }
}

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

// Guards against blocking what targets with a fault of their own happen to run.
BOOST_AUTO_TEST_CASE(FaultyTargetsAloneGetNothingBlocked) {
  for (const std::size_t hosts : kHostCounts) {
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      WarmTargets warm(hosts);
      SimulatedTargets& targets = *warm.targets;
      for (int i = 0; i < 10; ++i) {
        targets.CrashTogether(1 + static_cast<std::size_t>(i % 3));
        targets.SendRequestsFor(milliseconds(3300), kRequestsPerSecond, 0);
      }
      BOOST_TEST(targets.SoundRequestsBlocked() == 0U);
    }
  }
}

}  // namespace
}  // namespace cicadaloft
