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

// Guards against forwarded requests that take the descriptors of callers, or
// most of those that the host needs for its targets.
BOOST_AUTO_TEST_CASE(ForwardedRequestsTakeAQuarterOfTheHostsOwnSockets) {
  for (std::size_t limit = 0; limit < 6000; ++limit) {
    const std::size_t own = OwnSockets(SocketDescriptors(limit));
    const std::size_t served = MaxForwardedConnections(limit);
    BOOST_TEST_REQUIRE(
        (served == 0 || served + kMaxRejectedForwardedConnections <= own / 4));
  }
  BOOST_TEST(MaxForwardedConnections(4100) == 430U);
  BOOST_TEST(MaxForwardedConnections(1'000'000) == 430U);
  BOOST_TEST(MaxForwardedRequests(4100) == 215U);
  BOOST_TEST(MaxForwardedRequests(1024) == 41U);
  BOOST_TEST(MaxForwardedConnections(1024) == 83U);
  BOOST_TEST(MaxForwardedConnections(0) == 0U);
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
