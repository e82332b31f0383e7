#define BOOST_TEST_MODULE host_positions
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>

#include "hosts_simulation.h"

namespace cicadaloft {
namespace {

using std::chrono::seconds;

using SharesByHost = std::map<HostId, SharesChanged>;

void CheckDistinct(const SharesByHost& shares, std::size_t count) {
  std::set<std::uint32_t> positions;
  for (const auto& [host, share] : shares) {
    BOOST_REQUIRE(share.host_position.has_value());
    BOOST_TEST(share.position_count == count);
    BOOST_TEST(*share.host_position < count);
    BOOST_TEST(positions.insert(*share.host_position).second);
  }
}

// Guards against hosts that divide the slots of brittle targets by positions
// which others have as well, or by none.
BOOST_AUTO_TEST_CASE(EachHostIsToldItsOwnPosition) {
  HostsSimulation simulation(9);
  simulation.RunFor(seconds(8));
  CheckDistinct(simulation.Shares(), 9);
}

// Guards against parts that all move when the lease holder changes, and against
// hosts that lose their positions by a restart.
BOOST_AUTO_TEST_CASE(PositionsOutliveTheHolderAndRestarts) {
  HostsSimulation simulation(9);
  simulation.RunFor(seconds(8));
  const SharesByHost before = simulation.Shares();
  const auto check = [&] {
    const SharesByHost after = simulation.Shares();
    CheckDistinct(after, 9);
    for (const auto& [host, share] : after) {
      BOOST_TEST((share.host_position == before.at(host).host_position));
    }
  };
  simulation.RestartAll(true);
  simulation.RunFor(seconds(8));
  check();
  simulation.CrashHolder();
  simulation.RunFor(seconds(12));
  CheckDistinct(simulation.Shares(), 8);
}

}  // namespace
}  // namespace cicadaloft
