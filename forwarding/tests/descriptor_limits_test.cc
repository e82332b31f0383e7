#define BOOST_TEST_MODULE descriptor_limits
#include "cicadaloft/forwarding/descriptor_limits.h"

#include <boost/test/unit_test.hpp>
#include <limits>

namespace cicadaloft {
namespace {

// Guards against: callers take the last descriptor, so that the host answers no
// readiness probe and reaches neither targets nor the store.
BOOST_AUTO_TEST_CASE(CallersLeaveDescriptorsToTheHost) {
  for (const std::size_t listeners : {1U, 2U}) {
    for (std::size_t limit = 400 * listeners; limit < 6000; ++limit) {
      const std::size_t taken =
          listeners *
          (MaxCallerConnections(limit, listeners) + kMaxRejectedConnections);
      const std::size_t own = std::min<std::size_t>(1800, limit * 3 / 8);
      BOOST_TEST_REQUIRE(taken + own <= limit);
    }
  }
}

BOOST_AUTO_TEST_CASE(ManyDescriptorsChangeNothing) {
  BOOST_TEST(MaxCallerConnections(4100, 1) == kMaxCallerConnections);
  BOOST_TEST(MaxCallerConnections(std::numeric_limits<std::size_t>::max(), 2) ==
             kMaxCallerConnections);
}

BOOST_AUTO_TEST_CASE(FewDescriptorsStillServe) {
  BOOST_TEST(MaxCallerConnections(0, 1) == kMinCallerConnections);
  BOOST_TEST(MaxCallerConnections(256, 2) == kMinCallerConnections);
  BOOST_TEST(MaxCallerConnections(1024, 1) == 312U);
}

}  // namespace
}  // namespace cicadaloft
