#define BOOST_TEST_MODULE cold_target
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::seconds;

/// An entry of many hosts whose plain targets bear little while they are cold.
struct ManyHosts : Entry {
  ManyHosts() {
    this->Begin();
    Configuration configuration = MakeConfiguration(2)->value();
    for (Service& service : configuration.services) {
      service.cold_requests_per_second = 10;
    }
    this->Feed(ConfigurationChanged{
        .configuration =
            std::make_shared<const ActiveConfiguration>(configuration)});
    this->Feed(SharesChanged{.host_count = 76,
                             .default_share = 1,
                             .is_lease_holder_reachable = true});
  }

  /// The first so many plain targets have just started.
  void MakeCold(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->targets.at(i).cold_remaining = seconds(3);
    }
    this->TellFleet();
    this->effects.clear();
  }

  WarmupRequest Asked() const {
    const auto asked = this->All<WarmupRequest>();
    BOOST_REQUIRE(asked.size() == 1);
    return asked[0];
  }
};

BOOST_FIXTURE_TEST_CASE(AColdTargetGetsOnlyWhatTheHolderGrants, ManyHosts) {
  this->MakeCold(2);
  this->Ask("any");
  this->Ask("any");
  BOOST_TEST(this->All<Dispatch>().empty());
  const auto asked = this->All<WarmupRequest>();
  BOOST_REQUIRE(asked.size() == 2);
  // Two requests wait, and each of the targets is asked for one.
  BOOST_TEST((asked[0].target != asked[1].target));
  BOOST_TEST(asked[0].count == 1);
  this->Feed(WarmupGrant{.target = asked[0].target,
                         .request_number = asked[0].request_number,
                         .count = 1});
  BOOST_REQUIRE(this->All<Dispatch>().size() == 1);
  BOOST_TEST((this->All<Dispatch>()[0].target == asked[0].target));
}

BOOST_FIXTURE_TEST_CASE(WarmTargetsAreUsedWithoutAsking, ManyHosts) {
  this->MakeCold(1);
  this->Ask("any");
  BOOST_REQUIRE(this->All<Dispatch>().size() == 1);
  BOOST_TEST((this->All<Dispatch>()[0].target == TargetId("p2")));
  BOOST_TEST(this->All<WarmupRequest>().empty());
}

BOOST_FIXTURE_TEST_CASE(TheHolderIsAskedAgainWhenNoGrantCame, ManyHosts) {
  this->MakeCold(2);
  this->Ask("any");
  BOOST_TEST(this->Asked().count == 1);
  this->effects.clear();
  this->RunFor(kWarmupRequestTtl + kEntryTickInterval);
  BOOST_TEST(this->Asked().count == 1);
}

BOOST_FIXTURE_TEST_CASE(WithoutAHolderAColdTargetGetsNothing, ManyHosts) {
  this->Feed(SharesChanged{.host_count = 76, .default_share = 1});
  this->MakeCold(2);
  this->Ask("any");
  this->RunFor(seconds(3));
  BOOST_TEST(this->All<Dispatch>().empty());
  BOOST_TEST(this->All<WarmupRequest>().empty());
  BOOST_TEST((this->Refusal() == ErrorKind::kNoCapacity));
}

}  // namespace
}  // namespace cicadaloft
