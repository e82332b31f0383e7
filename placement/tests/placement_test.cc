#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>

#include "cicadaloft/placement/placement_table.h"

namespace cicadaloft {
namespace {

const TargetId kTarget("r1");
const TargetInstance kInstance(7);

Config MakeConfig() {
  const auto model = [](const std::string& name, std::uint64_t mib,
                        std::optional<ModelId> base) {
    return ModelRoute{.model = ModelId(name),
                      .back_end = BackEndId("b"),
                      .base = base,
                      .memory_mib = mib,
                      .max_replicas = 1};
  };
  const auto target = [](const std::string& name) {
    return Target{.id = TargetId(name),
                  .back_end = BackEndId("b"),
                  .data_centre = DataCentreId("dc"),
                  .address = "127.0.0.1:1",
                  .memory_mib = 100};
  };
  return Apply(Config(),
               Ticket{.number = TicketNumber(1),
                      .author = "a",
                      .items = {DataCentre{.id = DataCentreId("dc"),
                                           .region = RegionId("r")},
                                BackEnd{.id = BackEndId("b")}, target("r1"),
                                target("r2"), model("big", 60, std::nullopt),
                                model("other", 50, std::nullopt),
                                model("adapter", 10, ModelId("big"))}},
               LogOffset(0));
}

PlacementRecord Order(const std::string& model,
                      PlacementAction action,
                      const TargetId& target = kTarget) {
  return PlacementRecord{.target = target,
                         .model = ModelId(model),
                         .action = action,
                         .instance = kInstance};
}

PlacementOutcomeRecord Outcome(const std::string& model,
                               PlacementOutcome outcome) {
  return PlacementOutcomeRecord{.target = kTarget,
                                .model = ModelId(model),
                                .instance = kInstance,
                                .outcome = outcome};
}

PlacementTable MakeTable() {
  PlacementTable table;
  BOOST_REQUIRE(!table.Take(
      TargetInstanceRecord{.target = kTarget, .instance = kInstance}));
  BOOST_REQUIRE(!table.Take(
      TargetInstanceRecord{.target = TargetId("r2"), .instance = kInstance}));
  return table;
}

BOOST_AUTO_TEST_CASE(MemoryStaysReservedUntilTheUnloadIsConfirmed) {
  const Config config = MakeConfig();
  PlacementTable table = MakeTable();
  BOOST_TEST(
      !table.Take(config, Order("big", PlacementAction::kLoad), LogOffset(1)));
  BOOST_TEST(table.ReplicasOf(ModelId("big")).empty());
  BOOST_TEST(!table.Take(Outcome("big", PlacementOutcome::kLoaded)));
  BOOST_TEST(table.ReplicasOf(ModelId("big")).size() == 1);
  const PlacementRecord other = Order("other", PlacementAction::kLoad);
  BOOST_TEST(table.Check(config, other).has_value());
  BOOST_TEST(!table.Take(config, Order("big", PlacementAction::kUnload),
                         LogOffset(2)));
  BOOST_TEST(table.Check(config, other).has_value());
  BOOST_TEST(!table.Take(Outcome("big", PlacementOutcome::kUnloaded)));
  BOOST_TEST(!table.Check(config, other).has_value());
}

BOOST_AUTO_TEST_CASE(NoMoreReplicasThanTheRouteAllows) {
  const Config config = MakeConfig();
  PlacementTable table = MakeTable();
  BOOST_TEST(
      !table.Take(config, Order("big", PlacementAction::kLoad), LogOffset(1)));
  BOOST_TEST(
      table.Check(config, Order("big", PlacementAction::kLoad, TargetId("r2")))
          .has_value());
}

BOOST_AUTO_TEST_CASE(AnAdapterNeedsItsBaseAndHoldsItThere) {
  const Config config = MakeConfig();
  PlacementTable table = MakeTable();
  const PlacementRecord adapter = Order("adapter", PlacementAction::kLoad);
  BOOST_TEST(table.Check(config, adapter).has_value());
  BOOST_TEST(
      !table.Take(config, Order("big", PlacementAction::kLoad), LogOffset(1)));
  BOOST_TEST(!table.Take(Outcome("big", PlacementOutcome::kLoaded)));
  BOOST_TEST(!table.Take(config, adapter, LogOffset(2)));
  BOOST_TEST(
      table.Check(config, Order("big", PlacementAction::kUnload)).has_value());
}

BOOST_AUTO_TEST_CASE(ANewProcessOfATargetHoldsNothing) {
  const Config config = MakeConfig();
  PlacementTable table = MakeTable();
  BOOST_TEST(
      !table.Take(config, Order("big", PlacementAction::kLoad), LogOffset(1)));
  BOOST_TEST(!table.Take(
      TargetInstanceRecord{.target = kTarget, .instance = TargetInstance(8)}));
  BOOST_TEST(table.HoldersOf(ModelId("big")).empty());
  BOOST_TEST(table.Take(Outcome("big", PlacementOutcome::kLoaded)).has_value());
}

}  // namespace
}  // namespace cicadaloft
