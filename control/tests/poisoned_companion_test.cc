#define BOOST_TEST_MODULE poisoned_companion
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "warm_targets.h"

namespace cicadaloft {
namespace {

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

}  // namespace
}  // namespace cicadaloft
