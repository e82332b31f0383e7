#define BOOST_TEST_MODULE faulty_targets
#include <boost/test/unit_test.hpp>
#include <cstddef>

#include "warm_targets.h"

namespace cicadaloft {
namespace {

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
