#define BOOST_TEST_MODULE telemetry
#include <fcntl.h>
#include <unistd.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cicadaloft/telemetry/decision_log.h"
#include "cicadaloft/telemetry/log.h"
#include "cicadaloft/telemetry/metrics.h"

namespace cicadaloft {
namespace {

/// Collects what the log gives out.
class Capture {
 public:
  Capture() { BOOST_REQUIRE(pipe2(this->ends.data(), O_NONBLOCK) == 0); }
  ~Capture() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  Capture(const Capture&) = delete;
  Capture& operator=(const Capture&) = delete;

  std::string Text() {
    this->output->Flush(this->ends[1]);
    std::string text(65536, '\0');
    const ssize_t size = read(this->ends[0], text.data(), text.size());
    return text.substr(0, size > 0 ? static_cast<std::size_t>(size) : 0);
  }

  std::shared_ptr<OutputBuffer> output = std::make_shared<OutputBuffer>();

 private:
  std::array<int, 2> ends{};
};

// Found by inc-b36f: the reader took a part of a long write, and a line was
// lost.
BOOST_AUTO_TEST_CASE(AReaderNeverSeesHalfALine) {
  Capture capture;
  const std::string line(300, 'x');
  // More than a pipe takes at once.
  for (int i = 0; i < 400; ++i) {
    capture.output->Add(line);
  }
  std::ptrdiff_t lines = 0;
  for (std::string text = capture.Text(); !text.empty();
       text = capture.Text()) {
    BOOST_TEST(text.size() % (line.size() + 1) == 0);
    lines += std::ranges::count(text, '\n');
  }
  BOOST_TEST(lines == 400);
}

BOOST_AUTO_TEST_CASE(ARecordIsOneJsonObjectALine) {
  Capture capture;
  const LogSession session("warn", capture.output);
  Log("links").Warn("peer\nsaid \"no\"");
  Log("links").Info("unseen");
  const std::string text = capture.Text();
  BOOST_TEST(std::ranges::count(text, '\n') == 1);
  const auto line = nlohmann::json::parse(text);
  BOOST_TEST(line["level"] == "WARN");
  BOOST_TEST(line["component"] == "links");
  BOOST_TEST(line["message"] == "peer\nsaid \"no\"");
  BOOST_TEST(line["unix_ms"].is_number());
}

BOOST_AUTO_TEST_CASE(ADecisionIsWrittenWithItsFields) {
  Capture capture;
  const LogSession session("info", capture.output);
  const DecisionLog log;
  log(DecisionRecord{.event = "route.dispatch",
                     .request = RequestId("r1"),
                     .fields = {{"target", "t1"}, {"waited_ms", 7}}});
  const auto line = nlohmann::json::parse(capture.Text());
  BOOST_TEST(line["event"] == "route.dispatch");
  BOOST_TEST(line["request"] == "r1");
  BOOST_TEST(line["target"] == "t1");
  BOOST_TEST(line["waited_ms"] == "7");
}

BOOST_AUTO_TEST_CASE(LinesWithoutRoomAreDroppedAndCounted) {
  OutputBuffer output(10);
  output.Add("12345678");
  output.Add("more");
  output.Add("x");
  BOOST_TEST(output.TakeDroppedCount() == 2U);
  BOOST_TEST(output.TakeDroppedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(AReaderThatTakesNothingHoldsNobodyUp) {
  Capture capture;
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    capture.output->Add(line);
  }
  BOOST_TEST(capture.output->TakeDroppedCount() > 0U);
}

BOOST_AUTO_TEST_CASE(CountersAndGaugesAreRendered) {
  Metrics metrics;
  const MetricKey key{.name = "orders_total",
                      .labels = {{.name = "outcome", .value = "a\"b"}}};
  metrics.AddToCounter(key);
  metrics.AddToCounter(key, 2);
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
