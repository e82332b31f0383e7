#define BOOST_TEST_MODULE steward_member
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "steward_bench.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const DataCentreId kDataCentre("dc");

ClaimAsk MakeAsk(const std::string& host, const std::string& key) {
  return ClaimAsk{
      .claim = ClaimRecord{
          .key = ClaimKey{.customer = CustomerId("c"), .idempotency_key = key},
          .request = RequestId("of-" + key),
          .runner =
              Member{.host = HostId(host), .incarnation = Incarnation(1)}}};
}

BOOST_AUTO_TEST_CASE(DutiesMoveToJoinersWithoutARefusal) {
  StewardBench bench({"h1"});
  bench.Run(seconds(2));
  bench.Add("h2", "dc");
  bench.Add("h3", "dc");
  for (int i = 0; i < 300; ++i) {
    bench.FromEntry("h1", MakeAsk("h1", std::to_string(i)));
    bench.Run(milliseconds(100));
  }
  const MemberTable& members = bench.at("h1").ledger().members();
  for (const DutyId& duty : DutiesOf(kDataCentre)) {
    BOOST_TEST((members.FindDuty(duty)->owner ==
                members.PreferredOwnerOf(duty)->member));
  }
  const auto granted =
      std::ranges::count_if(bench.to_entries, [](const auto& entry) {
        const auto* reply = std::get_if<ClaimReply>(&entry.second);
        return reply != nullptr && reply->verdict == ClaimVerdict::kGranted;
      });
  BOOST_TEST(granted == 300);
}

BOOST_AUTO_TEST_CASE(AFreshHostStartsFromACheckpoint) {
  StewardBench bench({});
  bench.checkpoint_records = 20;
  bench.Add("h1", "dc");
  bench.Add("h2", "dc");
  bench.Run(seconds(60));
  const auto is_checkpoint = [](const PlacedRecord& placed) {
    return std::holds_alternative<CheckpointRecord>(placed.record.body);
  };
  const auto count = std::ranges::count_if(bench.log, is_checkpoint);
  BOOST_TEST(count >= 2);
  BOOST_TEST(count <= 6);
  const auto last =
      std::ranges::find_if(bench.log.rbegin(), bench.log.rend(), is_checkpoint);
  bench.first_kept = LogOffset(last->offset.value() - 5);
  bench.Kill("h1");
  bench.Kill("h2");
  bench.Add("h3", "dc");
  bench.Run(seconds(3));
  BOOST_TEST(bench.at("h3").Status().is_member);
  BOOST_TEST(bench.at("h3").ledger().next().value() == bench.log.size());
}

BOOST_AUTO_TEST_CASE(AFreshHostWithoutTheLogStartsFromAPeer) {
  StewardBench bench({"h1", "h2"});
  bench.Run(seconds(2));
  bench.is_log_up = false;
  bench.Add("h3", "dc");
  bench.Run(seconds(3));
  BOOST_TEST((bench.at("h3").ledger() == bench.at("h1").ledger()));
  BOOST_TEST(!bench.at("h3").Status().is_member);
}

BOOST_AUTO_TEST_CASE(AHostCutOffFromAllKeepsItsShareAndLosesItsDuties) {
  StewardBench bench({"h1", "h2"});
  bench.Run(seconds(2));
  bench.cut_from_log.insert(HostId("h1"));
  bench.Link("h1", "h2", false);
  bench.Run(seconds(8));
  BOOST_TEST(!bench.at("h1").Status().may_use_rights);
  BOOST_TEST(bench.LastToEntry<ShareLease>("h1")->usable);
  BOOST_TEST(bench.at("h2").Status().may_use_rights);
}

BOOST_AUTO_TEST_CASE(AMessageGoesByOneHop) {
  StewardBench bench({"h1", "h2"});
  bench.Add("x1", "other");
  bench.Add("x2", "other");
  bench.Run(seconds(2));
  bench.Link("h1", "x1", false);
  bench.Run(seconds(1));
  const BorrowTokens borrow{.borrower = HostId("h1"),
                            .customer = CustomerId("c"),
                            .wanted_requests = 1};
  bench.Put("h1", StewardLinkReceived{.envelope = {.from = HostId("h1"),
                                                   .to = HostId("x1"),
                                                   .message = borrow},
                                      .from_entry = true});
  BOOST_TEST(bench.LastToEntry<BorrowTokens>("x1").has_value());
  BOOST_TEST(!bench.LastToEntry<BorrowTokens>("x2").has_value());
}

}  // namespace
}  // namespace cicadaloft
