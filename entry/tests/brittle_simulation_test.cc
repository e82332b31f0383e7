#define BOOST_TEST_MODULE brittle_simulation
#include <boost/test/unit_test.hpp>
#include <cstddef>

#include "brittle_simulation.h"

namespace cicadaloft {
namespace {

/// Crashes that the users' rule allows.
int AllowedCrashes(const BrittleCase& simulated) {
  return static_cast<int>(2 + simulated.targets / 10);
}

BrittleOutcome Simulate(const BrittleCase& simulated) {
  const BrittleOutcome outcome = BrittleSimulation(simulated).Run();
  BOOST_TEST_MESSAGE(simulated.hosts
                     << " hosts, " << simulated.targets << " targets, "
                     << simulated.slots << " slots, limit "
                     << simulated.rejection_limit << ": " << outcome.crashes
                     << " crashes of " << AllowedCrashes(simulated) << ", "
                     << outcome.rejections << " rejections, used room "
                     << outcome.used_room << ", " << outcome.unserved_hosts
                     << " hosts not served");
  return outcome;
}

BrittleCase MakeCase(std::size_t hosts,
                     std::uint32_t slots,
                     std::uint32_t limit) {
  const std::size_t targets = hosts <= 6 ? 8 : slots > 16 ? 20 : 40;
  return {.hosts = hosts,
          .targets = targets,
          .slots = slots,
          .rejection_limit = limit};
}

// Guards against targets that crash since all hosts together send more than
// they have room for, and against hosts that leave the room unused. Half of the
// hosts start late, so that at most 5/6 of the room can be used.
BOOST_AUTO_TEST_CASE(HostsTogetherStayBelowTheLimitOfEachTarget) {
  for (const std::size_t hosts : {6, 76, 195}) {
    for (const std::uint32_t slots : {4, 16, 64}) {
      for (const std::uint32_t limit : {2, 6, 20}) {
        const BrittleCase simulated = MakeCase(hosts, slots, limit);
        const BrittleOutcome outcome = Simulate(simulated);
        BOOST_TEST(outcome.crashes <= AllowedCrashes(simulated));
        BOOST_TEST(outcome.used_room > 0.6);
      }
    }
  }
}

// Guards against targets that crash when many hosts are new, while the hosts
// before them still use what becomes the new ones' part.
BOOST_AUTO_TEST_CASE(NewHostsTakeUpTheirPartsLate) {
  for (const std::size_t hosts : {6, 76, 195}) {
    for (const std::uint32_t slots : {4, 16, 64}) {
      BrittleCase simulated = MakeCase(hosts, slots, 6);
      simulated.are_late_hosts_new = true;
      const BrittleOutcome outcome = Simulate(simulated);
      BOOST_TEST(outcome.crashes <= AllowedCrashes(simulated));
      BOOST_TEST(outcome.used_room > 0.6);
    }
  }
}

// Guards against a simulation that passes with hosts that don't know of the
// limit: these have the rule for all other targets.
BOOST_AUTO_TEST_CASE(TargetsCrashWhereTheLimitIsNotHeard) {
  for (const std::size_t hosts : {6, 76, 195}) {
    for (const std::uint32_t limit : {2, 6, 20}) {
      BrittleCase simulated = MakeCase(hosts, 4, limit);
      simulated.are_notices_heard = false;
      BOOST_TEST(Simulate(simulated).crashes > AllowedCrashes(simulated));
    }
  }
}

}  // namespace
}  // namespace cicadaloft
