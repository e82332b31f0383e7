#define BOOST_TEST_MODULE steward_claims
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "steward_bench.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ClaimKey kKey{.customer = CustomerId("c"), .idempotency_key = "k"};

/// Stewards whose entries ask for one key.
struct ClaimBench : StewardBench {
  explicit ClaimBench(const std::vector<std::string>& hosts)
      : StewardBench(hosts) {
    this->Run(seconds(2));
  }

  void Ask(const std::string& host, const std::string& request) {
    this->FromEntry(
        host, ClaimAsk{.claim = ClaimRecord{
                           .key = kKey,
                           .request = RequestId(request),
                           .runner = Member{.host = HostId(host),
                                            .incarnation = Incarnation(1)}}});
  }
  void Finish(const std::string& host,
              const std::string& request,
              ClaimOutcome outcome) {
    this->FromEntry(host, ClaimFinished{.outcome = ClaimOutcomeRecord{
                                            .key = kKey,
                                            .request = RequestId(request),
                                            .outcome = outcome,
                                            .http_status = 201}});
  }
  std::size_t CountVerdicts(ClaimVerdict verdict) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->to_entries, [&](const auto& entry) {
          const auto* reply = std::get_if<ClaimReply>(&entry.second);
          return reply != nullptr && reply->verdict == verdict;
        }));
  }
  std::string Owner() {
    const MemberTable& members = this->nodes_begin().ledger().members();
    const DutyId duty = *members.ClaimsDutyOf(TextOf(kKey));
    return members.FindDuty(duty)->owner.host.value();
  }
  StewardState& nodes_begin() {
    return this->at(this->hosts().begin()->value());
  }
  std::string Other(const std::string& host) {
    const std::set<HostId> all = this->hosts();
    const auto found = std::ranges::find_if(
        all, [&](const HostId& h) { return h != HostId(host); });
    return found->value();
  }
};

BOOST_AUTO_TEST_CASE(OneOfTwoAskersIsGranted) {
  ClaimBench bench({"h1", "h2", "h3"});
  bench.Ask("h1", "r1");
  bench.Ask("h2", "r2");
  bench.Run(seconds(1));
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kGranted) == 1);
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kRunning) == 1);
}

BOOST_AUTO_TEST_CASE(ALaterAskerHearsTheOutcome) {
  ClaimBench bench({"h1", "h2"});
  bench.Ask("h1", "r1");
  bench.Run(seconds(1));
  bench.Finish("h1", "r1", ClaimOutcome::kRan);
  bench.Run(seconds(1));
  bench.Ask("h2", "r2");
  bench.Run(seconds(1));
  const auto reply = bench.LastToEntry<ClaimReply>("h2");
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->verdict == ClaimVerdict::kFinished));
  BOOST_TEST(reply->http_status == 201);
}

BOOST_AUTO_TEST_CASE(AKeyThatWasNotRunIsFreeAgain) {
  ClaimBench bench({"h1", "h2"});
  bench.Ask("h1", "r1");
  bench.Run(seconds(1));
  bench.Finish("h1", "r1", ClaimOutcome::kNotRun);
  bench.Ask("h2", "r2");
  bench.Run(seconds(1));
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kGranted) == 2);
}

BOOST_AUTO_TEST_CASE(InAnOutageAClaimIsGrantedOnceTheMatesHoldIt) {
  ClaimBench bench({"h1", "h2", "h3"});
  bench.is_log_up = false;
  bench.Run(seconds(1));
  bench.Ask("h1", "r1");
  bench.Ask("h2", "r2");
  bench.Run(seconds(1));
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kGranted) == 1);
  bench.is_log_up = true;
  bench.Run(seconds(2));
  bench.Ask("h3", "r3");
  bench.Run(seconds(1));
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kGranted) == 1);
  BOOST_TEST(bench.at("h3").ledger().claims().Find(kKey) != nullptr);
}

BOOST_AUTO_TEST_CASE(InAnOutageALoneOwnerGrantsNothing) {
  ClaimBench bench({"h1", "h2"});
  bench.is_log_up = false;
  bench.Link("h1", "h2", false);
  bench.Run(seconds(1));
  bench.Ask(bench.Owner(), "r1");
  bench.Run(seconds(8));
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kGranted) == 0);
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kUnavailable) > 0U);
}

BOOST_AUTO_TEST_CASE(ASuccessorKnowsWhatWasGrantedInTheOutage) {
  ClaimBench bench({"h1", "h2", "h3"});
  bench.is_log_up = false;
  bench.Run(seconds(1));
  const std::string owner = bench.Owner();
  const std::string runner = bench.Other(owner);
  bench.Ask(runner, "r1");
  bench.Run(seconds(1));
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kGranted) == 1);
  bench.Kill(owner);
  bench.is_log_up = true;
  bench.Add(owner, "dc", 2);
  bench.Run(seconds(4));
  BOOST_TEST(bench.Owner() != owner);
  bench.Ask(owner, "r2");
  bench.Run(seconds(2));
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kGranted) == 1);
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kRunning) == 1);
}

BOOST_AUTO_TEST_CASE(AClaimOfADepartedRunnerIsUnknown) {
  ClaimBench bench({"h1", "h2"});
  const std::string runner = bench.Other(bench.Owner());
  bench.Ask(runner, "r1");
  bench.Run(seconds(1));
  bench.Kill(runner);
  bench.Add(runner, "dc", 2);
  bench.Run(seconds(8));
  bench.Ask(runner, "r2");
  bench.Run(seconds(1));
  BOOST_TEST(bench.CountVerdicts(ClaimVerdict::kUnknown) == 1);
}

}  // namespace
}  // namespace cicadaloft
