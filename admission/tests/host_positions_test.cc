#include "cicadaloft/admission/host_positions.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>

namespace cicadaloft {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

HostId MakeHost(int number) {
  return HostId("h" + std::to_string(number));
}

/// What the hosts have been told.
class ToldPositions {
 public:
  /// @return how many hosts were told.
  std::size_t Take(HostPositions& positions, TimePoint now) {
    const auto changed = positions.TakeChanged(now);
    for (const HostPosition& position : changed) {
      this->told.insert_or_assign(position.host, position);
    }
    return changed.size();
  }
  void CheckDistinct(std::size_t count) const {
    std::set<std::uint32_t> seen;
    for (const auto& [host, position] : this->told) {
      BOOST_TEST(position.count == count);
      BOOST_TEST(position.position < count);
      BOOST_TEST(seen.insert(position.position).second);
    }
    BOOST_TEST(seen.size() == count);
  }

  std::map<HostId, HostPosition> told;
};

// Guards against two hosts with the same position, and against hosts that move
// when another one joins.
BOOST_AUTO_TEST_CASE(HostsKeepTheirPositionsWhenOthersJoin) {
  HostPositions positions;
  positions.BeginTerm(false, kStart);
  ToldPositions hosts;
  for (int i = 0; i < 20; ++i) {
    positions.OnReport(MakeHost(i * 7 % 20), true, kStart);
    const auto before = hosts.told;
    hosts.Take(positions, kStart);
    hosts.CheckDistinct(static_cast<std::size_t>(i) + 1);
    for (const auto& [host, position] : before) {
      BOOST_TEST(hosts.told.at(host).position == position.position);
    }
  }
  BOOST_TEST(hosts.Take(positions, kStart) == 0U);
  // A host that has started anew is told again.
  positions.OnReport(MakeHost(3), true, kStart);
  BOOST_TEST(hosts.Take(positions, kStart) == 1U);
}

// Guards against positions that nobody has after a host has gone, and against
// more than one host that moves.
BOOST_AUTO_TEST_CASE(OneHostMovesWhenAnotherHasGone) {
  HostPositions positions;
  positions.BeginTerm(false, kStart);
  ToldPositions hosts;
  for (int i = 0; i < 9; ++i) {
    positions.OnReport(MakeHost(i), true, kStart);
  }
  hosts.Take(positions, kStart);
  const TimePoint later = kStart + HostPositions::kTimeout + seconds(1);
  for (int i = 0; i < 9; ++i) {
    if (i != 4) {
      positions.OnReport(MakeHost(i), false, later);
    }
  }
  const auto before = hosts.told;
  hosts.Take(positions, later);
  hosts.told.erase(MakeHost(4));
  hosts.CheckDistinct(8);
  const auto moved = std::ranges::count_if(hosts.told, [&](const auto& entry) {
    return before.at(entry.first).position != entry.second.position;
  });
  BOOST_TEST(moved <= 1);
}

// Guards against hosts that all get other positions when the lease holder
// changes.
BOOST_AUTO_TEST_CASE(NewHolderKeepsThePositionsThatHostsState) {
  HostPositions positions;
  positions.BeginTerm(true, kStart);
  ToldPositions hosts;
  for (int i = 0; i < 6; ++i) {
    positions.OnReport(MakeHost(i), false, kStart);
    positions.OnStatement({.host = MakeHost(i),
                           .position = static_cast<std::uint32_t>(5 - i),
                           .count = 6},
                          kStart);
  }
  positions.OnReport(MakeHost(6), true, kStart);
  BOOST_TEST(hosts.Take(positions, kStart) == 0U);
  hosts.Take(positions, kStart + HostPositions::kStatementTime);
  hosts.CheckDistinct(7);
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(hosts.told.at(MakeHost(i)).position ==
               static_cast<std::uint32_t>(5 - i));
  }
}

// Guards against two hosts that state the same position, and against an absurd
// one, which would leave parts that nobody has.
BOOST_AUTO_TEST_CASE(WrongStatementsAreCorrected) {
  HostPositions positions;
  positions.BeginTerm(true, kStart);
  for (int i = 0; i < 3; ++i) {
    positions.OnReport(MakeHost(i), false, kStart);
    positions.OnStatement(
        {.host = MakeHost(i), .position = i == 2 ? 4'000'000'000U : 1U},
        kStart);
  }
  ToldPositions hosts;
  hosts.Take(positions, kStart + HostPositions::kStatementTime);
  hosts.CheckDistinct(3);
}

}  // namespace
}  // namespace cicadaloft
