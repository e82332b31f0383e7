#define BOOST_TEST_MODULE steward_placement
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "steward_bench.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TargetId kTarget("r1");
const DutyId kDuty{.kind = DutyKind::kPlacement,
                   .data_centre = DataCentreId("dc")};

ModelRoute Model(const std::string& name,
                 std::uint64_t mib,
                 std::optional<ModelId> base = std::nullopt) {
  return ModelRoute{.model = ModelId(name),
                    .back_end = BackEndId("b"),
                    .base = base,
                    .memory_mib = mib,
                    .max_replicas = 1};
}

Ticket FirstTicket(bool checks_fencing) {
  return Ticket{
      .number = TicketNumber(1),
      .author = "a",
      .items = {DataCentre{.id = DataCentreId("dc"), .region = RegionId("r")},
                BackEnd{.id = BackEndId("b"), .checks_fencing = checks_fencing},
                Target{.id = kTarget,
                       .back_end = BackEndId("b"),
                       .data_centre = DataCentreId("dc"),
                       .address = "127.0.0.1:1",
                       .memory_mib = 100},
                Model("big", 60), Model("other", 50),
                Model("adapter", 10, ModelId("big"))}};
}

/// Stewards before one target.
struct PlacementBench : StewardBench {
  explicit PlacementBench(const std::vector<std::string>& hosts,
                          bool checks_fencing = true)
      : StewardBench(hosts) {
    this->reports.emplace(kTarget, TargetReport{.target = kTarget,
                                                .instance = TargetInstance(7)});
    this->Run(seconds(1));
    this->Submit(hosts.front(), FirstTicket(checks_fencing));
    this->Run(seconds(1));
  }

  std::string Owner() {
    for (const auto& line : {"h1", "h2", "h3"}) {
      if (this->Has(line) &&
          std::ranges::count(this->at(line).Status().duties, kDuty) > 0) {
        return line;
      }
    }
    return "";
  }
  bool Has(const std::string& host) {
    return this->hosts().contains(HostId(host));
  }
  void Want(const std::string& host, const std::string& model) {
    this->FromEntry(host, DemandReport{.host = HostId(host),
                                       .demands = {ModelDemand{
                                           .model = ModelId(model),
                                           .waiting_interactive = 1,
                                           .oldest_wait = milliseconds(10)}}});
  }
  const Reservation* Held(const std::string& host, const std::string& model) {
    return this->at(host).ledger().placements().Find(kTarget, ModelId(model));
  }
};

BOOST_AUTO_TEST_CASE(ABurstOnAColdModelIsOneLoad) {
  PlacementBench bench({"h1", "h2", "h3"});
  for (const std::string host : {"h1", "h2", "h3", "h1"}) {
    bench.Want(host, "big");
  }
  bench.Run(seconds(1));
  BOOST_TEST(bench.orders.size() == 1);
  const auto replicas =
      bench.at("h3").ledger().placements().ReplicasOf(ModelId("big"));
  BOOST_TEST(replicas.size() == 1);
}

BOOST_AUTO_TEST_CASE(AnAdapterGetsItsBaseFirst) {
  PlacementBench bench({"h1", "h2"});
  bench.Want("h1", "adapter");
  bench.Run(seconds(1));
  BOOST_REQUIRE(bench.orders.size() == 2);
  BOOST_TEST((bench.orders[0].second.model == ModelId("big")));
  BOOST_TEST((bench.orders[1].second.base == ModelId("big")));
}

BOOST_AUTO_TEST_CASE(AnIdleModelMakesRoom) {
  PlacementBench bench({"h1", "h2"});
  bench.Want("h1", "big");
  bench.Run(seconds(10));
  bench.Want("h1", "other");
  bench.Run(seconds(1));
  BOOST_REQUIRE(bench.orders.size() == 3);
  BOOST_TEST((bench.orders[1].second.action == PlacementAction::kUnload));
  BOOST_TEST((bench.orders[2].second.model == ModelId("other")));
  BOOST_TEST(bench.Held("h2", "big") == nullptr);
}

BOOST_AUTO_TEST_CASE(AModelInUseIsNotUnloadedAndCallersHearIt) {
  PlacementBench bench({"h1"});
  bench.Want("h1", "big");
  bench.Run(seconds(7));
  for (int i = 0; i < 8; ++i) {
    bench.FromEntry(
        "h1", DemandReport{.host = HostId("h1"),
                           .demands = {ModelDemand{.model = ModelId("big"),
                                                   .running = 1}}});
    bench.Want("h1", "other");
    bench.Run(milliseconds(250));
  }
  BOOST_TEST(bench.orders.size() == 1);
  BOOST_TEST(bench.LastToEntry<NoCapacityNotice>("h1").has_value());
}

BOOST_AUTO_TEST_CASE(MemoryStaysReservedWhileAnOutcomeIsUnknown) {
  PlacementBench bench({"h1"});
  bench.order_outcomes["big"] = OrderOutcome::kUnknown;
  bench.Want("h1", "big");
  for (int i = 0; i < 20; ++i) {
    bench.Want("h1", "other");
    bench.Run(seconds(1));
  }
  BOOST_TEST(bench.orders.size() == 1);
  BOOST_TEST((bench.Held("h1", "big")->state == ReservationState::kLoading));
  bench.Run(seconds(15));
  BOOST_TEST(bench.Held("h1", "big") == nullptr);
}

BOOST_AUTO_TEST_CASE(AFailedLoadIsNotTriedInALoop) {
  PlacementBench bench({"h1"});
  bench.order_outcomes["big"] = OrderOutcome::kFailed;
  for (int i = 0; i < 10; ++i) {
    bench.Want("h1", "big");
    bench.Run(seconds(1));
  }
  BOOST_TEST(bench.orders.size() > 1U);
  BOOST_TEST(bench.orders.size() < 8U);
  BOOST_TEST(bench.Held("h1", "big") == nullptr);
}

BOOST_AUTO_TEST_CASE(ASuspendedOwnerGivesNoOrder) {
  PlacementBench bench({"h1", "h2"});
  const std::string owner = bench.Owner();
  bench.RunWithout(owner, seconds(3));
  bench.is_log_up = false;
  bench.Want(owner, "big");
  bench.Run(milliseconds(100));
  BOOST_TEST(bench.orders.empty());
}

BOOST_AUTO_TEST_CASE(ATargetThatWentColdIsLoadedAgain) {
  PlacementBench bench({"h1"});
  bench.Want("h1", "big");
  bench.Run(seconds(4));
  bench.reports.erase(kTarget);
  bench.reports.emplace(
      kTarget, TargetReport{.target = kTarget, .instance = TargetInstance(8)});
  bench.Run(seconds(1));
  BOOST_TEST(bench.Held("h1", "big") == nullptr);
  bench.Want("h1", "big");
  bench.Run(seconds(1));
  BOOST_TEST(bench.orders.size() == 2);
  BOOST_TEST((bench.orders[1].second.instance == TargetInstance(8)));
}

BOOST_AUTO_TEST_CASE(ATakeoverWaitsWhereTargetsCheckNoToken) {
  PlacementBench bench({"h1", "h2"}, false);
  const std::string owner = bench.Owner();
  bench.order_outcomes["big"] = OrderOutcome::kUnknown;
  bench.Want(owner, "big");
  bench.Run(seconds(1));
  BOOST_REQUIRE(bench.orders.size() == 1);
  bench.Kill(owner);
  bench.Add(owner, "dc", 2);
  bench.Run(seconds(2));
  const std::string next = bench.Owner();
  BOOST_TEST(next != "");
  for (int i = 0; i < 24; ++i) {
    bench.Want(next, "adapter");
    bench.Run(seconds(1));
  }
  BOOST_TEST(bench.orders.size() == 1);
}

BOOST_AUTO_TEST_CASE(ACutOffDataCentreMirrorsBeforeItOrders) {
  PlacementBench bench({"h1", "h2"});
  bench.is_log_up = false;
  bench.Run(seconds(1));
  const std::string owner = bench.Owner();
  bench.Want(owner, "big");
  bench.Run(seconds(1));
  BOOST_TEST(bench.orders.size() == 1);
  BOOST_TEST(bench.Held(owner, "big") == nullptr);
  bench.is_log_up = true;
  bench.Run(seconds(2));
  BOOST_TEST((bench.Held(owner, "big")->state == ReservationState::kLoaded));
}

BOOST_AUTO_TEST_CASE(AnOwnerCutOffFromAllMatesStops) {
  PlacementBench bench({"h1", "h2"});
  bench.is_log_up = false;
  bench.Link("h1", "h2", false);
  bench.Run(seconds(8));
  const std::string owner = bench.Owner();
  bench.Want(owner, "big");
  bench.Run(seconds(1));
  BOOST_TEST(bench.orders.empty());
}

Target RemoteTarget(const std::string& name, std::uint64_t memory_mib) {
  return Target{.id = TargetId(name),
                .back_end = BackEndId("b"),
                .data_centre = DataCentreId("far"),
                .address = "127.0.0.1:1",
                .memory_mib = memory_mib};
}

BOOST_AUTO_TEST_CASE(WhatFindsNoRoomHereIsLoadedElsewhere) {
  PlacementBench bench({"h1"});
  bench.Add("x1", "far");
  bench.reports.emplace(
      TargetId("far1"),
      TargetReport{.target = TargetId("far1"), .instance = TargetInstance(3)});
  bench.Submit(
      "h1", Ticket{.number = TicketNumber(2),
                   .author = "a",
                   .items = {DataCentre{.id = DataCentreId("far"),
                                        .region = RegionId("r")},
                             RemoteTarget("far1", 500), Model("huge", 300)}});
  bench.Run(seconds(2));
  for (int i = 0; i < 4; ++i) {
    bench.Want("h1", "huge");
    bench.Run(seconds(1));
  }
  BOOST_REQUIRE(bench.orders.size() == 1);
  BOOST_TEST((bench.orders[0].first == HostId("x1")));
  BOOST_TEST(!bench.LastToEntry<NoCapacityNotice>("h1").has_value());
}

BOOST_AUTO_TEST_CASE(TwoDataCentresLoadOneReplica) {
  PlacementBench bench({"h1"});
  bench.Add("x1", "far");
  bench.reports.emplace(
      TargetId("far1"),
      TargetReport{.target = TargetId("far1"), .instance = TargetInstance(3)});
  bench.Submit("h1", Ticket{.number = TicketNumber(2),
                            .author = "a",
                            .items = {DataCentre{.id = DataCentreId("far"),
                                                 .region = RegionId("r")},
                                      RemoteTarget("far1", 100)}});
  bench.Run(seconds(2));
  const DemandReport demand{.host = HostId("h1"),
                            .demands = {ModelDemand{.model = ModelId("big"),
                                                    .waiting_interactive = 1}}};
  // Both owners are asked, as when their views of the members differ.
  for (const std::string host : {"h1", "x1"}) {
    bench.Put(host, StewardLinkReceived{.envelope = {.from = HostId("y"),
                                                     .to = HostId(host),
                                                     .message = demand}});
  }
  bench.Run(seconds(1));
  BOOST_TEST(bench.orders.size() == 1);
}

}  // namespace
}  // namespace cicadaloft
