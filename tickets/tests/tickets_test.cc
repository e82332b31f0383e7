#define BOOST_TEST_MODULE tickets
#include <boost/test/unit_test.hpp>

#include "cicadaloft/core/sha256.h"
#include "cicadaloft/tickets/config.h"

namespace cicadaloft {
namespace {

Customer MakeCustomer(const std::string& name, double rate) {
  return Customer{.id = CustomerId(name),
                  .requests_per_second = rate,
                  .burst_requests = 10};
}

Ticket MakeTicket(std::uint64_t number,
                  std::vector<Item> items,
                  std::vector<ItemRef> removed = {}) {
  return Ticket{.number = TicketNumber(number),
                .author = "joana",
                .reason = "test",
                .items = std::move(items),
                .removed = std::move(removed)};
}

BOOST_AUTO_TEST_CASE(ALateTicketIsRefusedWithTheOneThatOvertookIt) {
  Config config =
      Apply(Config(), MakeTicket(1, {MakeCustomer("a", 1)}), LogOffset(0));
  config = Apply(config, MakeTicket(3, {MakeCustomer("a", 3)}), LogOffset(1));
  config =
      Apply(config, MakeTicket(2, {MakeCustomer("a", 2), MakeCustomer("b", 2)}),
            LogOffset(2));
  BOOST_TEST(config.Find<Customer>("a")->requests_per_second == 3);
  BOOST_TEST((config.Find<Customer>("b") == nullptr));
  const TicketOutcome* outcome = config.FindOutcome(TicketNumber(2));
  BOOST_REQUIRE(outcome != nullptr);
  BOOST_TEST(!outcome->accepted());
  BOOST_TEST((outcome->refusal->kind == ErrorKind::kTicketOvertaken));
  BOOST_TEST((outcome->overtaken_by == TicketNumber(3)));
}

BOOST_AUTO_TEST_CASE(ARemovedItemKeepsItsTicketNumber) {
  const ItemRef ref{.kind = ItemKind::kCustomer, .name = "a"};
  Config config =
      Apply(Config(), MakeTicket(1, {MakeCustomer("a", 1)}), LogOffset(0));
  config = Apply(config, MakeTicket(5, {}, {ref}), LogOffset(1));
  config = Apply(config, MakeTicket(4, {MakeCustomer("a", 4)}), LogOffset(2));
  BOOST_TEST((config.Find<Customer>("a") == nullptr));
  config = Apply(config, MakeTicket(6, {MakeCustomer("a", 6)}), LogOffset(3));
  BOOST_TEST((config.Find<Customer>("a") != nullptr));
}

BOOST_AUTO_TEST_CASE(ADanglingTicketChangesNothing) {
  const ApiKey key{.id = KeyId("k"),
                   .customer = CustomerId("missing"),
                   .salt = "00",
                   .secret_hash = Sha256Hex("")};
  const Config config =
      Apply(Config(), MakeTicket(1, {MakeCustomer("a", 1), key}), LogOffset(0));
  BOOST_TEST((config.Find<Customer>("a") == nullptr));
  BOOST_TEST((config.FindOutcome(TicketNumber(1))->refusal->kind ==
              ErrorKind::kTicketDangling));
}

BOOST_AUTO_TEST_CASE(ACustomerWithKeysCannotBeRemoved) {
  const ApiKey key{.id = KeyId("k"),
                   .customer = CustomerId("a"),
                   .salt = "00",
                   .secret_hash = Sha256Hex("00secret")};
  Config config =
      Apply(Config(), MakeTicket(1, {MakeCustomer("a", 1), key}), LogOffset(0));
  BOOST_TEST((FindCustomerOfKey(config, "k.secret") == CustomerId("a")));
  BOOST_TEST(!FindCustomerOfKey(config, "k.wrong").has_value());
  BOOST_TEST(!FindCustomerOfKey(config, "secret").has_value());
  const ItemRef customer{.kind = ItemKind::kCustomer, .name = "a"};
  const ItemRef key_ref{.kind = ItemKind::kKey, .name = "k"};
  config = Apply(config, MakeTicket(2, {}, {customer}), LogOffset(1));
  BOOST_TEST((config.Find<Customer>("a") != nullptr));
  config = Apply(config, MakeTicket(3, {}, {customer, key_ref}), LogOffset(2));
  BOOST_TEST((config.Find<Customer>("a") == nullptr));
  BOOST_TEST(!FindCustomerOfKey(config, "k.secret").has_value());
}

BOOST_AUTO_TEST_CASE(ARepeatedTicketChangesNothing) {
  const Ticket ticket = MakeTicket(1, {MakeCustomer("a", 1)});
  const Config once = Apply(Config(), ticket, LogOffset(0));
  const Config twice = Apply(once, ticket, LogOffset(1));
  BOOST_TEST((once == twice));
}

}  // namespace
}  // namespace cicadaloft
