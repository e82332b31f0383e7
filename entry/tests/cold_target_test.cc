#define BOOST_TEST_MODULE cold_target
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::seconds;

/// The entry of one of many hosts. Targets have a limited request rate while
/// they are cold.
struct ManyHosts : EntryFixture {
  ManyHosts() {
    this->Start();
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

  /// Marks the first `count` plain targets as just started.
  void MakeCold(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->targets.at(i).cold_remaining = seconds(3);
    }
    this->UpdateFleet();
    this->effects.clear();
  }

  WarmupRequest OnlyWarmupRequest() const {
    const auto requests = this->EffectsOf<WarmupRequest>();
    BOOST_REQUIRE(requests.size() == 1);
    return requests[0];
  }
};

BOOST_FIXTURE_TEST_CASE(ColdTargetReceivesOnlyGrantedRequests, ManyHosts) {
  this->MakeCold(2);
  this->SendRequest("any");
  this->SendRequest("any");
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  const auto requests = this->EffectsOf<WarmupRequest>();
  BOOST_REQUIRE(requests.size() == 2);
  // Two requests wait; one permit is requested for each of the targets.
  BOOST_TEST((requests[0].target != requests[1].target));
  BOOST_TEST(requests[0].count == 1);
  this->Feed(WarmupGrant{.target = requests[0].target,
                         .request_number = requests[0].request_number,
                         .count = 1});
  BOOST_REQUIRE(this->EffectsOf<Dispatch>().size() == 1);
  BOOST_TEST((this->EffectsOf<Dispatch>()[0].target == requests[0].target));
}

BOOST_FIXTURE_TEST_CASE(WarmTargetIsUsedWithoutPermit, ManyHosts) {
  this->MakeCold(1);
  this->SendRequest("any");
  BOOST_REQUIRE(this->EffectsOf<Dispatch>().size() == 1);
  BOOST_TEST((this->EffectsOf<Dispatch>()[0].target == TargetId("p2")));
  BOOST_TEST(this->EffectsOf<WarmupRequest>().empty());
}

BOOST_FIXTURE_TEST_CASE(WarmupRequestIsRepeatedWhenNoGrantArrives, ManyHosts) {
  this->MakeCold(2);
  this->SendRequest("any");
  BOOST_TEST(this->OnlyWarmupRequest().count == 1);
  this->effects.clear();
  this->RunFor(kWarmupRequestTtl + kEntryTickInterval);
  BOOST_TEST(this->OnlyWarmupRequest().count == 1);
}

BOOST_FIXTURE_TEST_CASE(ColdTargetReceivesNothingWithoutLeaseHolder,
                        ManyHosts) {
  this->Feed(SharesChanged{.host_count = 76, .default_share = 1});
  this->MakeCold(2);
  this->SendRequest("any");
  this->RunFor(seconds(3));
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  BOOST_TEST(this->EffectsOf<WarmupRequest>().empty());
  BOOST_TEST((this->RefusalKind() == ErrorKind::kNoCapacity));
}

}  // namespace
}  // namespace cicadaloft
