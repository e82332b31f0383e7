#define BOOST_TEST_MODULE ticket_codec
#include <boost/test/unit_test.hpp>

#include "cicadaloft/tickets/ticket_codec.h"

namespace cicadaloft {
namespace {

constexpr const char* kTicketText = R"({ // A new customer.
  "ticket": 12, "author": "joana", "reason": "shop in Natal",
  "data_centres": [{"id": "recife-a", "region": "nordeste", "state": "out"}],
  "customers": [{"id": "loja", "requests_per_second": 2.5, "burst_requests": 5}],
  "keys": [{"id": "k", "customer": "loja", "salt": "00", "secret_hash": "ab"}],
  "back_ends": [{"id": "balcao", "kind": "plain"}],
  "targets": [{"id": "t", "back_end": "balcao", "data_centre": "recife-a",
               "address": "127.0.0.1:1"}],
  "model_routes": [{"model": "m", "back_end": "b", "base": "x",
                    "memory_mib": 7}],
  "plain_routes": [{"route": "r", "back_end": "balcao", "methods": ["GET"]}],
  "removed": [{"kind": "customer", "name": "x"}] })";

std::string ErrorIn(const std::string& text) {
  const Result<Ticket> ticket = ParseTicket(text);
  BOOST_REQUIRE(!IsOk(ticket));
  BOOST_TEST((ErrorOf(ticket).kind == ErrorKind::kTicketMalformed));
  return ErrorOf(ticket).message;
}

std::string ErrorInCustomer(const std::string& fields) {
  return ErrorIn(
      R"({"ticket": 1, "author": "a", "reason": "", "customers": [{"id": "loja")" +
      fields + "}]}");
}

BOOST_AUTO_TEST_CASE(ATicketIsReadAndWritten) {
  const Result<Ticket> ticket = ParseTicket(kTicketText);
  BOOST_REQUIRE(IsOk(ticket));
  BOOST_TEST(ValueOf(ticket).items.size() == 7);
  const auto& centre = std::get<DataCentre>(ValueOf(ticket).items[0]);
  BOOST_TEST((centre.state == DataCentreState::kOut));
  BOOST_TEST(centre.share_weight == 1);
  const Result<Ticket> again = ParseTicket(FormatTicket(ValueOf(ticket)));
  BOOST_REQUIRE(IsOk(again));
  BOOST_TEST((ValueOf(again) == ValueOf(ticket)));
}

BOOST_AUTO_TEST_CASE(AnErrorNamesItemFieldAndExpectation) {
  BOOST_TEST(ErrorInCustomer(R"(, "requests_per_second": "2")") ==
             "customers[0] 'loja'.requests_per_second: "
             "expected a finite number, found \"2\"");
  BOOST_TEST(ErrorInCustomer(R"(, "requests_per_second": 1, "burst_requests": 1,
                         "weight": -1)") ==
             "customers[0] 'loja'.weight: "
             "expected a whole number from 0 to 4294967295, found -1");
  BOOST_TEST(ErrorInCustomer(R"(, "burst_request": 1)")
                 .starts_with("customers[0] 'loja': "
                              "unknown field 'burst_request'; expected only"));
  BOOST_TEST(ErrorInCustomer("") ==
             "customers[0] 'loja': expected the field 'requests_per_second'");
}

BOOST_AUTO_TEST_CASE(WrongTextsAreErrors) {
  for (const char* text :
       {"", "{", "[]", "7", "{\"ticket\": 1}", "\xff", "{} {}"}) {
    ErrorIn(text);
  }
  BOOST_TEST(ErrorIn(R"({"ticket": 1, "ticket": 2})").find("twice") !=
             std::string::npos);
  ErrorIn(R"({"ticket": 18446744073709551616, "author": "a", "reason": ""})");
  ErrorIn(R"({"ticket": 1.5, "author": "a", "reason": ""})");
  ErrorIn(R"({"ticket": 1e999, "author": "a", "reason": ""})");
  ErrorIn(std::string(1000000, '['));
}

BOOST_AUTO_TEST_CASE(TheConfigurationIsShownWithoutHashes) {
  const Ticket ticket{.number = TicketNumber(4),
                      .author = "a",
                      .items = {
                          Customer{.id = CustomerId("loja"),
                                   .requests_per_second = 1,
                                   .burst_requests = 1},
                          ApiKey{.id = KeyId("k"),
                                 .customer = CustomerId("loja"),
                                 .salt = "deadbeef",
                                 .secret_hash = std::string(64, 'c')},
                      }};
  const std::string text = FormatConfig(Apply(Config(), ticket, LogOffset(0)));
  BOOST_TEST(text.find("\"ticket\": 4") != std::string::npos);
  BOOST_TEST(text.find("deadbeef") == std::string::npos);
  BOOST_TEST(text.find("cccc") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(AnOutcomeIsReadAsWritten) {
  const TicketOutcome outcome{
      .number = TicketNumber(2),
      .offset = LogOffset(9),
      .digest = "d",
      .refusal = Fail(ErrorKind::kTicketOvertaken, "ticket 3 has already"),
      .overtaken_by = TicketNumber(3)};
  const Result<TicketOutcome> again = ParseOutcome(FormatOutcome(outcome));
  BOOST_REQUIRE(IsOk(again));
  BOOST_TEST((ValueOf(again) == outcome));
  BOOST_TEST(!IsOk(ParseOutcome("{}")));
}

}  // namespace
}  // namespace cicadaloft
