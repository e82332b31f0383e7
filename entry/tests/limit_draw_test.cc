#define BOOST_TEST_MODULE limit_draw
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "entry_fixture.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An entry whose share of the customer's limit holds less than one request.
struct SmallShare : Entry {
  SmallShare() {
    this->Begin();
    this->Feed(SharesChanged{.host_count = 100,
                             .default_share = 0.001,
                             .is_lease_holder_reachable = true});
    this->effects.clear();
  }

  QuotaRequest Asked() const {
    const auto asked = this->All<QuotaRequest>();
    BOOST_REQUIRE(asked.size() == 1);
    return asked[0];
  }
};

BOOST_FIXTURE_TEST_CASE(ARequestGoesOnWhenItsCostIsDrawn, SmallShare) {
  const RequestId id = this->Ask("any");
  BOOST_TEST(this->All<Dispatch>().empty());
  BOOST_TEST(this->Asked().cost == 10);
  this->Feed(QuotaReply{.request = id, .is_granted = true});
  BOOST_TEST(this->All<Dispatch>().size() == 1);
  BOOST_TEST(this->All<Refuse>().empty());
}

BOOST_FIXTURE_TEST_CASE(ARefusedDrawTellsWhenToComeBack, SmallShare) {
  const RequestId id = this->Ask("any");
  this->Feed(QuotaReply{.request = id, .retry_after = seconds(3)});
  BOOST_TEST((this->Refusal() == ErrorKind::kRateLimited));
  BOOST_TEST((this->All<Refuse>()[0].retry_after == seconds(3)));
  BOOST_TEST(this->All<Dispatch>().empty());
}

BOOST_FIXTURE_TEST_CASE(TheHolderIsNotAskedAgainAtOnceForWhatItRefused,
                        SmallShare) {
  const RequestId id = this->Ask("any");
  this->Feed(QuotaReply{.request = id, .retry_after = seconds(3)});
  this->effects.clear();
  this->Ask("any");
  BOOST_TEST((this->Refusal() == ErrorKind::kRateLimited));
  BOOST_TEST(this->All<QuotaRequest>().empty());
  this->RunFor(milliseconds(300));
  this->Ask("any");
  BOOST_TEST(this->All<QuotaRequest>().size() == 1);
}

BOOST_FIXTURE_TEST_CASE(ADrawWithoutAnAnswerIsRefusedSoon, SmallShare) {
  const RequestId id = this->Ask("any");
  this->RunFor(milliseconds(500));
  BOOST_TEST((this->Refusal() == ErrorKind::kRateLimited));
  // What comes later changes nothing.
  this->Feed(QuotaReply{.request = id, .is_granted = true});
  BOOST_TEST(this->All<Dispatch>().empty());
}

// Guards against callers that are told to come back after a minute since no
// holder was there for a moment.
BOOST_FIXTURE_TEST_CASE(WithoutAHolderCallersComeBackWhenOneMayBeThere,
                        SmallShare) {
  this->Feed(SharesChanged{.host_count = 100, .default_share = 0});
  this->Ask("any");
  BOOST_TEST((this->Refusal() == ErrorKind::kRateLimited));
  BOOST_TEST((*this->All<Refuse>()[0].retry_after <= seconds(2)));
  BOOST_TEST(this->All<QuotaRequest>().empty());
}

BOOST_FIXTURE_TEST_CASE(ACallerThatLeavesDuringADrawLeavesNothing, SmallShare) {
  const RequestId id = this->Ask("any");
  this->Feed(CallerDisconnected{.request = id});
  this->Feed(QuotaReply{.request = id, .is_granted = true});
  this->RunFor(seconds(1));
  BOOST_TEST(this->All<Dispatch>().empty());
  BOOST_TEST(this->All<Refuse>().empty());
}

}  // namespace
}  // namespace cicadaloft
