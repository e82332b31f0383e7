#define BOOST_TEST_MODULE operator_cli
#include <boost/test/unit_test.hpp>
#include <sstream>

#include "cicadaloft/operator_cli/log_search.h"

namespace cicadaloft {
namespace {

BOOST_AUTO_TEST_CASE(RequestLinesAndPlacementOfItsModelAreSortedByTime) {
  std::stringstream logs(
      R"(host-b {"unix_ms":30,"event":"route.refuse","request":"r","kind":"k"}
{"unix_ms":10,"event":"route.wait","request":"r","model":"m/a1"}
{"unix_ms":20,"event":"place.load","path":"m","target":"t"}
{"unix_ms":40,"event":"place.load","path":"m","target":"u"}
{"unix_ms":20,"event":"place.load","path":"other","target":"t"}
{"unix_ms":15,"event":"route.wait","request":"s","model":"m"}
not a record
)");
  const Explanation explanation = Explain(logs, "r");
  BOOST_REQUIRE(explanation.lines.size() == 2);
  BOOST_TEST(explanation.lines[0].event == "route.wait");
  BOOST_TEST(explanation.lines[1].fields == "kind=k");
  BOOST_REQUIRE(explanation.context.size() == 1);
  BOOST_TEST(explanation.context[0].unix_ms == 20);
  BOOST_TEST(explanation.unreadable == 1U);
}

// The command line reads no responses, only log records, and their statuses as
// text: JSON has no number 000.
BOOST_AUTO_TEST_CASE(StatusOfALogRecordIsPrintedAsItIs) {
  std::stringstream logs(
      R"({"unix_ms":1,"event":"route.attempt_ended","request":"r","status":0}
{"unix_ms":2,"event":"route.attempt_ended","request":"r","status":000}
{"unix_ms":3,"event":"route.attempt_ended","request":"r","status":"000"}
)");
  const Explanation explanation = Explain(logs, "r");
  BOOST_REQUIRE(explanation.lines.size() == 2);
  BOOST_TEST(explanation.lines[0].fields == "status=0");
  BOOST_TEST(explanation.lines[1].fields == "status=000");
  BOOST_TEST(explanation.unreadable == 1U);
}

BOOST_AUTO_TEST_CASE(UnknownRequestHasNoLines) {
  std::stringstream logs(
      R"({"unix_ms":30,"event":"route.wait","request":"r"})");
  BOOST_TEST(Explain(logs, "x").lines.empty());
}

}  // namespace
}  // namespace cicadaloft
