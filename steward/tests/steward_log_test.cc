#define BOOST_TEST_MODULE steward_log
#include <boost/test/unit_test.hpp>

#include "steward_bench.h"

namespace cicadaloft {
namespace {

using std::chrono::seconds;

Ticket CustomerTicket(std::uint64_t number, double rate = 1) {
  return Ticket{.number = TicketNumber(number),
                .author = "a",
                .items = {Customer{.id = CustomerId("c"),
                                   .requests_per_second = rate,
                                   .burst_requests = 1}}};
}

BOOST_AUTO_TEST_CASE(StewardsJoinAndAgree) {
  StewardBench bench({"h1", "h2", "h3"});
  bench.Run(seconds(2));
  BOOST_TEST(bench.at("h1").Status().is_member);
  BOOST_TEST(bench.at("h3").Status().may_use_rights);
  BOOST_TEST((bench.at("h1").ledger() == bench.at("h2").ledger()));
}

BOOST_AUTO_TEST_CASE(ATicketIsAnsweredOnceItStandsInTheLog) {
  StewardBench bench({"h1", "h2"});
  bench.Run(seconds(1));
  bench.Submit("h1", CustomerTicket(1));
  bench.Run(seconds(1));
  BOOST_REQUIRE(bench.answers.size() == 1);
  BOOST_REQUIRE(IsOk(bench.answers[0].outcome));
  BOOST_TEST(ValueOf(bench.answers[0].outcome).accepted());
  BOOST_TEST(bench.at("h2").ledger().config().Find<Customer>("c") != nullptr);
}

BOOST_AUTO_TEST_CASE(ALostAppendAnswerDoesNotDouble) {
  StewardBench bench({"h1", "h2"});
  bench.Run(seconds(1));
  bench.is_answer_lost = true;
  bench.Submit("h1", CustomerTicket(1));
  bench.Run(seconds(3));
  BOOST_REQUIRE(bench.answers.size() == 1);
  BOOST_TEST(ValueOf(bench.answers[0].outcome).accepted());
  BOOST_TEST((bench.at("h1").ledger() == bench.at("h2").ledger()));
}

BOOST_AUTO_TEST_CASE(ARepeatedTicketHearsItsFirstOutcome) {
  StewardBench bench({"h1", "h2"});
  bench.Run(seconds(1));
  bench.Submit("h1", CustomerTicket(1));
  bench.Run(seconds(1));
  bench.Submit("h2", CustomerTicket(1));
  bench.Submit("h2", CustomerTicket(1, 2));
  bench.Run(seconds(1));
  BOOST_REQUIRE(bench.answers.size() == 3);
  BOOST_TEST((bench.answers[1].outcome == bench.answers[0].outcome));
  BOOST_TEST(!ValueOf(bench.answers[2].outcome).accepted());
}

BOOST_AUTO_TEST_CASE(ATicketHearsThatTheLogIsOut) {
  StewardBench bench({"h1"});
  bench.Run(seconds(1));
  bench.is_log_up = false;
  bench.Submit("h1", CustomerTicket(1));
  bench.Run(seconds(14));
  BOOST_TEST(bench.answers.empty());
  bench.Run(seconds(2));
  BOOST_REQUIRE(bench.answers.size() == 1);
  BOOST_TEST(
      (ErrorOf(bench.answers[0].outcome).kind == ErrorKind::kLogUnavailable));
}

BOOST_AUTO_TEST_CASE(AHostCutOffFromTheLogFollowsAndAppendsByAMate) {
  StewardBench bench({"h1", "h2"});
  bench.Run(seconds(1));
  bench.cut_from_log.insert(HostId("h2"));
  bench.Run(seconds(1));
  bench.Submit("h2", CustomerTicket(1));
  bench.Run(seconds(8));
  BOOST_REQUIRE(bench.answers.size() == 1);
  BOOST_TEST(IsOk(bench.answers[0].outcome));
  BOOST_TEST(bench.at("h2").Status().may_use_rights);
  BOOST_TEST(bench.at("h2").ledger().next().value() + 5 >= bench.log.size());
}

BOOST_AUTO_TEST_CASE(AJoinersShareSettlesWithinASecond) {
  StewardBench bench({"h1"});
  bench.Submit("h1", Ticket{.number = TicketNumber(1),
                            .author = "a",
                            .items = {DataCentre{.id = DataCentreId("dc"),
                                                 .region = RegionId("r")}}});
  bench.Run(seconds(3));
  bench.Add("h2", "dc");
  bench.Run(seconds(1));
  const ShareTable& shares = bench.at("h1").ledger().shares();
  BOOST_TEST(shares.FractionOf(HostId("h2")) == 0.5);
}

BOOST_AUTO_TEST_CASE(AStopGivesThePlaceBack) {
  StewardBench bench({"h1", "h2"});
  bench.Run(seconds(1));
  bench.Put("h1", StewardStopRequested{});
  bench.Run(seconds(1));
  BOOST_TEST(bench.stopped.empty());
  bench.Put("h1", PeerChanged{.peer = HostId("h1"), .is_up = false});
  bench.Run(seconds(1));
  BOOST_TEST(bench.stopped.contains(HostId("h1")));
  BOOST_TEST(bench.at("h2").ledger().members().members().size() == 1);
}

BOOST_AUTO_TEST_CASE(AMateIsEvictedOnlyOnceTheHostListHasDroppedIt) {
  StewardBench bench({"h1", "h2"});
  bench.Run(seconds(1));
  bench.Kill("h1");
  const auto list = [&](const std::vector<std::string>& names) {
    std::vector<HostListEntry> hosts;
    std::ranges::transform(
        names, std::back_inserter(hosts), [](const std::string& name) {
          return HostListEntry{.host = HostId(name),
                               .data_centre = DataCentreId("dc"),
                               .peer_address = "127.0.0.1:1"};
        });
    bench.Put("h2", HostListRead{.hosts = hosts});
  };
  list({"h1", "h2"});
  bench.Run(seconds(20));
  BOOST_TEST(bench.at("h2").ledger().members().members().size() == 2);
  list({"h2"});
  bench.Run(seconds(3));
  BOOST_TEST(bench.at("h2").ledger().members().members().size() == 1);
}

BOOST_AUTO_TEST_CASE(ASuspendedHostHasNoRightsUntilItHasRenewed) {
  StewardBench bench({"h1", "h2"});
  bench.Run(seconds(1));
  bench.RunWithout("h1", seconds(3));
  bench.is_log_up = false;
  bench.Put("h1", StewardTick{});
  BOOST_TEST(!bench.at("h1").Status().may_use_rights);
  bench.is_log_up = true;
  bench.Run(seconds(2));
  BOOST_TEST(bench.at("h1").Status().may_use_rights);
}

}  // namespace
}  // namespace cicadaloft
