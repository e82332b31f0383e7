#define BOOST_TEST_MODULE settings
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "cicadaloft/settings/settings_reader.h"

namespace cicadaloft {
namespace {

SettingsReader Read(std::string_view text) {
  return SettingsReader::FromText("s.json", text);
}

/// @return the error's line, or "ok".
std::string Verdict(SettingsReader& reader) {
  const Result<Done> result = reader.Finish();
  return IsOk(result) ? "ok" : ErrorOf(result).message;
}

BOOST_AUTO_TEST_CASE(CommentsAndSectionsAreRead) {
  SettingsReader reader = Read(R"(// The host.
    {"host": "a-1", /* short */ "limits": {"lease_term": "6s"}})");
  BOOST_TEST(reader.Text("host") == "a-1");
  BOOST_TEST((reader.DurationOr("limits.lease_term", {}) ==
              Duration(std::chrono::seconds(6))));
  BOOST_TEST(reader.IntegerOr("count", 7, {.min = 1, .max = 9}) == 7);
  BOOST_TEST(Verdict(reader) == "ok");
}

BOOST_AUTO_TEST_CASE(TheFirstErrorNamesFileAndField) {
  SettingsReader reader = Read(R"({"host": 5, "wait": "250"})");
  reader.Text("host");
  reader.DurationOr("wait", {});
  BOOST_TEST(Verdict(reader) ==
             "s.json: host: expected a text that is not empty");
}

BOOST_AUTO_TEST_CASE(ATimeNeedsItsUnit) {
  BOOST_TEST((ParseDuration("250ms") == std::chrono::milliseconds(250)));
  BOOST_TEST(!ParseDuration("250").has_value());
  BOOST_TEST(!ParseDuration("-1s").has_value());
  BOOST_TEST(!ParseDuration("1 s").has_value());
  BOOST_TEST(!ParseDuration("9223372036854775807h").has_value());
  SettingsReader reader = Read(R"({"wait": 250})");
  reader.DurationOr("wait", {});
  BOOST_TEST(Verdict(reader).starts_with("s.json: wait: expected a time"));
}

BOOST_AUTO_TEST_CASE(UnknownAndRepeatedFieldsAreRefused) {
  SettingsReader unknown = Read(R"({"limits": {"a": true, "b": 1}})");
  unknown.BoolOr("limits.a", false);
  BOOST_TEST(Verdict(unknown).starts_with("s.json: limits.b: expected no"));
  SettingsReader repeated = Read(R"({"a": "x", "a": "y"})");
  repeated.Text("a");
  BOOST_TEST(Verdict(repeated) == "s.json: a: expected once, found twice");
}

BOOST_AUTO_TEST_CASE(AnAddressIsIpv4WithPortAndStandsOnce) {
  for (const std::string bad : {"localhost:1", "1.2.3.4", "1.2.3.4:65536",
                                "1.2.3.4:", "::1:7", "1.2.3.4:1x"}) {
    SettingsReader reader = Read(R"({"listen": ")" + bad + R"("})");
    reader.Address("listen");
    BOOST_TEST(Verdict(reader).starts_with("s.json: listen: expected an IPv4"));
  }
  SettingsReader reader = Read(R"({"a": "127.0.0.1:1", "b": "127.0.0.1:1"})");
  reader.Address("a");
  reader.Address("b");
  BOOST_TEST(Verdict(reader) ==
             "s.json: b: expected another address than \"a\" has");
}

BOOST_AUTO_TEST_CASE(AMissingOrBrokenFileIsNamed) {
  SettingsReader missing = SettingsReader::FromFile("no/such.json");
  missing.Text("host");
  BOOST_TEST(Verdict(missing) ==
             "no/such.json: expected a readable settings file");
  SettingsReader broken = Read("{\"a\": }");
  BOOST_TEST(Verdict(broken).starts_with("s.json: expected JSON"));
  SettingsReader list = Read("[]");
  BOOST_TEST(Verdict(list) == "s.json: expected one JSON object");
}

}  // namespace
}  // namespace cicadaloft
