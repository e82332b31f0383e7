#define BOOST_TEST_MODULE claims
#include <boost/test/unit_test.hpp>

#include "cicadaloft/claims/claim_table.h"

namespace cicadaloft {
namespace {

const ClaimKey kKey{.customer = CustomerId("c"), .idempotency_key = "k"};

ClaimRecord Ask(const std::string& request, std::uint64_t fingerprint = 1) {
  return ClaimRecord{
      .key = kKey,
      .fingerprint = fingerprint,
      .request = RequestId(request),
      .runner = Member{.host = HostId("h"), .incarnation = Incarnation(1)}};
}

ClaimOutcomeRecord End(const std::string& request, ClaimOutcome outcome) {
  return ClaimOutcomeRecord{.key = kKey,
                            .request = RequestId(request),
                            .outcome = outcome,
                            .http_status = 201};
}

BOOST_AUTO_TEST_CASE(TheFirstClaimWins) {
  ClaimTable table;
  BOOST_TEST(!table.Take(Ask("r1"), LogOffset(0)));
  BOOST_TEST(table.Take(Ask("r2"), LogOffset(1)).has_value());
  const Claim& claim = *table.Find(kKey);
  BOOST_TEST((VerdictFor(claim, Ask("r1")) == ClaimVerdict::kGranted));
  BOOST_TEST((VerdictFor(claim, Ask("r2")) == ClaimVerdict::kRunning));
  BOOST_TEST((VerdictFor(claim, Ask("r2", 2)) == ClaimVerdict::kMismatch));
}

BOOST_AUTO_TEST_CASE(AnEndedClaimKeepsItsOutcome) {
  ClaimTable table;
  BOOST_TEST(!table.Take(Ask("r1"), LogOffset(0)));
  BOOST_TEST(table.Take(End("r2", ClaimOutcome::kNotRun)).has_value());
  BOOST_TEST(!table.Take(End("r1", ClaimOutcome::kRan)));
  BOOST_TEST(table.Take(End("r1", ClaimOutcome::kNotRun)).has_value());
  const Claim& claim = *table.Find(kKey);
  BOOST_TEST((VerdictFor(claim, Ask("r2")) == ClaimVerdict::kFinished));
  BOOST_TEST(claim.http_status == 201);
}

BOOST_AUTO_TEST_CASE(AKeyIsFreeAgainOnlyIfNothingWasRun) {
  ClaimTable table;
  BOOST_TEST(!table.Take(Ask("r1"), LogOffset(0)));
  BOOST_TEST(!table.Take(End("r1", ClaimOutcome::kNotRun)));
  BOOST_TEST(!VerdictFor(*table.Find(kKey), Ask("r2")).has_value());
  BOOST_TEST(!table.Take(Ask("r2"), LogOffset(2)));
  BOOST_TEST(!table.Take(End("r2", ClaimOutcome::kUnknown)));
  BOOST_TEST(table.Take(Ask("r3"), LogOffset(4)).has_value());
}

}  // namespace
}  // namespace cicadaloft
