#define BOOST_TEST_MODULE telemetry
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <sstream>

#include "cicadaloft/telemetry/decision_log.h"
#include "cicadaloft/telemetry/log.h"
#include "cicadaloft/telemetry/metrics.h"

namespace cicadaloft {
namespace {

/// Collects what goes to standard error while it lives.
class ErrorCapture {
 public:
  ErrorCapture() : before(std::cerr.rdbuf(this->text.rdbuf())) {}
  ~ErrorCapture() { std::cerr.rdbuf(this->before); }
  ErrorCapture(const ErrorCapture&) = delete;
  ErrorCapture& operator=(const ErrorCapture&) = delete;
  std::string Text() const { return this->text.str(); }

 private:
  std::ostringstream text;
  std::streambuf* before;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

DecisionLine MakeLine(const std::string& request, const std::string& detail) {
  return DecisionLine{.reason = "route.least_loaded",
                      .request = RequestId(request),
                      .detail = detail};
}

BOOST_AUTO_TEST_CASE(ARecordIsOneLineWithLevelAndComponent) {
  const ErrorCapture capture;
  const LogSession session("info");
  Log("links").Warn("peer\nsaid\r\x1b[0m");
  Log("links").Debug("unseen");
  const std::string text = capture.Text();
  BOOST_TEST(Contains(text, "WARN  links peer said  [0m\n"));
  BOOST_TEST(std::ranges::count(text, '\n') == 1);
}

BOOST_AUTO_TEST_CASE(ADecisionIsWrittenAndExplained) {
  const ErrorCapture capture;
  const LogSession session("info");
  DecisionLog log(2);
  log.Write(MakeLine("r1", "target=t1"));
  log.Write(MakeLine("r2", "target=t2"));
  log.Write(MakeLine("", ""));
  BOOST_TEST(
      Contains(capture.Text(),
               "decision reason=route.least_loaded request=r1 target=t1\n"));
  BOOST_TEST(Contains(capture.Text(), "least_loaded request=-\n"));
  BOOST_TEST(log.LinesOf(RequestId("r1")).empty());
  BOOST_TEST(log.LinesOf(RequestId("r2")).size() == 1);
}

BOOST_AUTO_TEST_CASE(CountersAndGaugesAreRendered) {
  Metrics metrics;
  const MetricKey key{.name = "orders_total",
                      .labels = {{.name = "outcome", .value = "a\"b"}}};
  metrics.Count(key);
  metrics.Count(key, 2);
  metrics.SetGauge({.name = "links_up"}, 4);
  BOOST_TEST(metrics.Render() ==
             "# TYPE orders_total counter\n"
             "orders_total{outcome=\"a\\\"b\"} 3\n"
             "# TYPE links_up gauge\n"
             "links_up 4\n");
}

BOOST_AUTO_TEST_CASE(QuantilesOfFewSamplesAreExact) {
  Metrics metrics;
  for (const int seconds : {3, 1, 2}) {
    metrics.Observe({.name = "wait_seconds"}, std::chrono::seconds(seconds));
  }
  BOOST_TEST(metrics.Render() ==
             "# TYPE wait_seconds summary\n"
             "wait_seconds{quantile=\"0.5\"} 2\n"
             "wait_seconds{quantile=\"0.95\"} 3\n"
             "wait_seconds{quantile=\"0.99\"} 3\n"
             "wait_seconds_sum 6\n"
             "wait_seconds_count 3\n");
}

BOOST_AUTO_TEST_CASE(QuantilesOfManySamplesAreClose) {
  Metrics metrics;
  constexpr int kSamples = 10007;
  for (int i = 0; i < kSamples; ++i) {
    metrics.Observe({.name = "t"},
                    std::chrono::milliseconds(i * 37 % kSamples));
  }
  const std::string text = metrics.Render();
  const auto value = [&](const std::string& series) {
    return std::stod(text.substr(text.find(series) + series.size()));
  };
  BOOST_TEST(value("t{quantile=\"0.5\"} ") == 5.0,
             boost::test_tools::tolerance(0.03));
  BOOST_TEST(value("t{quantile=\"0.95\"} ") == 9.5,
             boost::test_tools::tolerance(0.03));
  BOOST_TEST(value("t_count ") == kSamples);
}

}  // namespace
}  // namespace cicadaloft
