#define BOOST_TEST_MODULE detour_ledger
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "cicadaloft/detour/detour_ledger.h"

namespace cicadaloft {
namespace {

/// A ledger with offers of many hosts, and the lists that they were told.
struct Offers {
  void Offer(std::size_t index, bool reaches_targets = true) {
    this->ledger.OnOffer(
        DetourOffer{.host = HostId("host-" + std::to_string(index)),
                    .address = "10.0.0." + std::to_string(index) + ":8080",
                    .reaches_targets = reaches_targets});
  }
  /// @return the number of changed lists.
  std::size_t Tell() {
    this->now += DetourLedger::kListInterval;
    const auto changes = this->ledger.TakeChanges(this->now);
    for (const HostDetours& change : changes) {
      this->lists[change.host] = change.helping;
    }
    return changes.size();
  }

  DetourLedger ledger;
  TimePoint now{std::chrono::seconds(1000)};
  std::map<HostId, std::vector<DetourHost>> lists;
};

// Guards against lists that grow with the number of hosts, and against hosts
// that would carry the requests of many others.
BOOST_FIXTURE_TEST_CASE(ListsAreBoundedAndSpread, Offers) {
  constexpr std::size_t kHosts = 195;
  for (std::size_t i = 0; i < kHosts; ++i) {
    this->Offer(i);
  }
  BOOST_TEST(this->Tell() == kHosts);
  std::map<HostId, std::size_t> helped;
  for (const auto& [host, list] : this->lists) {
    BOOST_TEST(list.size() == DetourLedger::kMaxHelpingHosts);
    for (const DetourHost& helping : list) {
      BOOST_TEST((helping.host != host));
      ++helped[helping.host];
    }
  }
  for (const auto& [host, count] : helped) {
    BOOST_TEST(count <= 3 * DetourLedger::kMaxHelpingHosts);
  }
}

// Guards against requests at hosts that don't learn of new configurations, also
// of earlier versions, which would decide by the one that they have.
BOOST_FIXTURE_TEST_CASE(OutdatedHostsAreInNoList, Offers) {
  constexpr std::size_t kHosts = 4;
  const auto report = [&](std::size_t index, std::uint64_t version) {
    this->ledger.OnConfiguration(HostId("host-" + std::to_string(index)),
                                 ConfigurationVersion(version), this->now);
  };
  const auto is_listed = [&](std::size_t index) {
    return std::ranges::any_of(
        this->lists.at(HostId("host-0")), [&](const DetourHost& host) {
          return host.host == HostId("host-" + std::to_string(index));
        });
  };
  for (std::size_t i = 0; i < kHosts; ++i) {
    this->Offer(i);
    report(i, 1);
  }
  this->Tell();
  report(0, 2);
  this->now += DetourLedger::kMaxConfigurationAge / 2;
  this->Tell();
  BOOST_TEST(is_listed(1));
  report(1, 2);
  this->now += DetourLedger::kMaxConfigurationAge;
  this->Tell();
  BOOST_TEST(is_listed(1));
  BOOST_TEST(!is_listed(2));
  BOOST_TEST(!is_listed(3));
  // A host that is a version behind in a series of changes keeps its place.
  report(2, 2);
  for (std::uint64_t version = 3; version < 12; ++version) {
    report(0, version);
    this->now += std::chrono::milliseconds(500);
    report(1, version - 1);
    this->Tell();
    BOOST_TEST(is_listed(1));
  }
  BOOST_TEST(!is_listed(2));
  report(2, 11);
  this->Tell();
  BOOST_TEST(is_listed(2));
}

// Guards against hosts without targets that have no host to turn to, because
// all others are behind for a moment in a series of changes.
BOOST_FIXTURE_TEST_CASE(HostsThatCheckVersionsMayBeBehind, Offers) {
  for (std::size_t i = 0; i < 3; ++i) {
    this->Offer(i);
    this->ledger.OnConfiguration(HostId("host-" + std::to_string(i)),
                                 ConfigurationVersion(1), this->now);
  }
  this->ledger.OnVersionCheck(HostId("host-1"));
  this->ledger.OnConfiguration(HostId("host-0"), ConfigurationVersion(2),
                               this->now);
  this->now += 2 * DetourLedger::kMaxConfigurationAge;
  this->Tell();
  const auto& list = this->lists.at(HostId("host-0"));
  BOOST_REQUIRE(list.size() == 1U);
  BOOST_TEST((list[0].host == HostId("host-1")));
  // After a restart it may be of another version.
  this->ledger.OnLinkDown(HostId("host-1"));
  this->Offer(1);
  this->ledger.OnConfiguration(HostId("host-1"), ConfigurationVersion(1),
                               this->now);
  this->Tell();
  BOOST_TEST(this->lists.at(HostId("host-0")).empty());
}

// Guards against requests at hosts that are cut off themselves.
BOOST_FIXTURE_TEST_CASE(HostsWithoutTargetsAreInNoList, Offers) {
  for (std::size_t i = 0; i < 6; ++i) {
    this->Offer(i);
  }
  this->Tell();
  this->Offer(0, false);
  this->Offer(1, false);
  BOOST_TEST(this->Tell() == 6);
  for (const auto& [host, list] : this->lists) {
    BOOST_TEST(std::ranges::none_of(list, [](const DetourHost& helping) {
      return helping.host == HostId("host-0") ||
             helping.host == HostId("host-1");
    }));
  }
  this->Offer(1, true);
  this->Tell();
  // All but itself.
  BOOST_TEST(this->lists[HostId("host-0")].size() == 5);
}

// Guards against messages on calm days: offers are repeated every 5 s.
BOOST_FIXTURE_TEST_CASE(RepeatedOfferChangesNoList, Offers) {
  for (std::size_t i = 0; i < 20; ++i) {
    this->Offer(i);
  }
  this->Tell();
  for (std::size_t i = 0; i < 20; ++i) {
    this->Offer(i);
  }
  BOOST_TEST(this->Tell() == 0);
}

// Guards against a host that doesn't learn whether the lease holder knows
// detours: its first offer is answered, also by an empty list.
BOOST_FIXTURE_TEST_CASE(FirstOfferOfALinkIsAnswered, Offers) {
  this->Offer(0);
  BOOST_TEST(this->Tell() == 1);
  BOOST_TEST(this->lists.at(HostId("host-0")).empty());
  this->ledger.OnLinkDown(HostId("host-0"));
  this->Tell();
  this->Offer(0);
  BOOST_TEST(this->Tell() == 1);
}

// Guards against lists with hosts that have gone.
BOOST_FIXTURE_TEST_CASE(HostWhoseLinkIsDownIsInNoList, Offers) {
  this->Offer(0);
  this->Offer(1);
  this->Tell();
  BOOST_TEST(this->lists.at(HostId("host-0")).size() == 1);
  this->ledger.OnLinkDown(HostId("host-1"));
  BOOST_TEST(this->Tell() == 1);
  BOOST_TEST(this->lists.at(HostId("host-0")).empty());
}

}  // namespace
}  // namespace cicadaloft
