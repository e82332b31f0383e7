#define BOOST_TEST_MODULE limit_draw
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An entry whose share of the customer's limit is less than the cost of one
/// request.
struct SmallShare : EntryFixture {
  SmallShare() {
    this->Start();
    this->Feed(SharesChanged{.host_count = 100,
                             .default_share = 0.001,
                             .is_lease_holder_reachable = true});
    this->effects.clear();
  }

  QuotaRequest OnlyQuotaRequest() const {
    const auto requests = this->EffectsOf<QuotaRequest>();
    BOOST_REQUIRE(requests.size() == 1);
    return requests[0];
  }
};

BOOST_FIXTURE_TEST_CASE(RequestIsDispatchedWhenQuotaIsGranted, SmallShare) {
  const RequestId id = this->SendRequest("any");
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  BOOST_TEST(this->OnlyQuotaRequest().cost == 10);
  this->Feed(QuotaReply{.request = id, .is_granted = true});
  BOOST_TEST(this->EffectsOf<Dispatch>().size() == 1);
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
}

BOOST_FIXTURE_TEST_CASE(RequestIsRefusedWithRetryAfterWhenQuotaIsDenied,
                        SmallShare) {
  const RequestId id = this->SendRequest("any");
  this->Feed(QuotaReply{.request = id, .retry_after = seconds(3)});
  BOOST_TEST((this->RefusalKind() == ErrorKind::kRateLimited));
  BOOST_TEST((this->EffectsOf<Refuse>()[0].retry_after == seconds(3)));
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
}

BOOST_FIXTURE_TEST_CASE(DeniedCostIsNotRequestedAgainImmediately, SmallShare) {
  const RequestId id = this->SendRequest("any");
  this->Feed(QuotaReply{.request = id, .retry_after = seconds(3)});
  this->effects.clear();
  this->SendRequest("any");
  BOOST_TEST((this->RefusalKind() == ErrorKind::kRateLimited));
  BOOST_TEST(this->EffectsOf<QuotaRequest>().empty());
  this->RunFor(milliseconds(300));
  this->SendRequest("any");
  BOOST_TEST(this->EffectsOf<QuotaRequest>().size() == 1);
}

BOOST_FIXTURE_TEST_CASE(RequestIsRefusedWhenQuotaReplyTimesOut, SmallShare) {
  const RequestId id = this->SendRequest("any");
  this->RunFor(milliseconds(500));
  BOOST_TEST((this->RefusalKind() == ErrorKind::kRateLimited));
  // A late reply has no effect.
  this->Feed(QuotaReply{.request = id, .is_granted = true});
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
}

// Guards against a Retry-After of a minute when no lease holder is reachable
// for a moment.
BOOST_FIXTURE_TEST_CASE(RetryAfterIsShortWithoutLeaseHolder, SmallShare) {
  this->Feed(SharesChanged{.host_count = 100, .default_share = 0});
  this->SendRequest("any");
  BOOST_TEST((this->RefusalKind() == ErrorKind::kRateLimited));
  BOOST_TEST((*this->EffectsOf<Refuse>()[0].retry_after <= seconds(2)));
  BOOST_TEST(this->EffectsOf<QuotaRequest>().empty());
}

BOOST_FIXTURE_TEST_CASE(QuotaReplyAfterCallerDisconnectHasNoEffect,
                        SmallShare) {
  const RequestId id = this->SendRequest("any");
  this->Feed(CallerDisconnected{.request = id});
  this->Feed(QuotaReply{.request = id, .is_granted = true});
  this->RunFor(seconds(1));
  BOOST_TEST(this->EffectsOf<Dispatch>().empty());
  BOOST_TEST(this->EffectsOf<Refuse>().empty());
}

}  // namespace
}  // namespace cicadaloft
