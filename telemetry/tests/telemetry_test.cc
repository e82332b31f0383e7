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

/// Captures the log's output through a pipe.
class LogCapture {
 public:
  LogCapture() {
    BOOST_REQUIRE(pipe2(this->pipe_ends.data(), O_NONBLOCK) == 0);
  }
  ~LogCapture() {
    close(this->pipe_ends[0]);
    close(this->pipe_ends[1]);
  }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  std::string Text() {
    this->output->Flush(this->pipe_ends[1]);
    std::string text(65536, '\0');
    const ssize_t size = read(this->pipe_ends[0], text.data(), text.size());
    return text.substr(0, size > 0 ? static_cast<std::size_t>(size) : 0);
  }

  std::shared_ptr<OutputBuffer> output = std::make_shared<OutputBuffer>();

 private:
  std::array<int, 2> pipe_ends{};
};

// Guards against a lost line: the reader of a pipe got only part of a long
// write.
BOOST_AUTO_TEST_CASE(FlushWritesOnlyWholeLinesToPipe) {
  LogCapture log_capture;
  const std::string line(300, 'x');
  // More than the capacity of a pipe.
  for (int i = 0; i < 400; ++i) {
    log_capture.output->Add(line);
  }
  std::ptrdiff_t lines = 0;
  for (std::string text = log_capture.Text(); !text.empty();
       text = log_capture.Text()) {
    BOOST_TEST(text.size() % (line.size() + 1) == 0);
    lines += std::ranges::count(text, '\n');
  }
  BOOST_TEST(lines == 400);
}

BOOST_AUTO_TEST_CASE(LogRecordIsOneJsonObjectPerLine) {
  LogCapture log_capture;
  const LogSession session("warn", log_capture.output);
  Log("links").Warn("peer\nsaid \"no\"");
  Log("links").Info("unseen");
  const std::string text = log_capture.Text();
  BOOST_TEST(std::ranges::count(text, '\n') == 1);
  const auto line = nlohmann::json::parse(text);
  BOOST_TEST(line["level"] == "WARN");
  BOOST_TEST(line["component"] == "links");
  BOOST_TEST(line["message"] == "peer\nsaid \"no\"");
  BOOST_TEST(line["unix_ms"].is_number());
}

BOOST_AUTO_TEST_CASE(DecisionIsLoggedWithItsFields) {
  LogCapture log_capture;
  const LogSession session("info", log_capture.output);
  const DecisionLog log;
  log(DecisionRecord{.event = "route.dispatch",
                     .request = RequestId("r1"),
                     .fields = {{"target", "t1"}, {"waited_ms", 7}}});
  const auto line = nlohmann::json::parse(log_capture.Text());
  BOOST_TEST(line["event"] == "route.dispatch");
  BOOST_TEST(line["request"] == "r1");
  BOOST_TEST(line["target"] == "t1");
  BOOST_TEST(line["waited_ms"] == "7");
}

BOOST_AUTO_TEST_CASE(LinesBeyondCapacityAreDroppedAndCounted) {
  OutputBuffer output(10);
  output.Add("12345678");
  output.Add("more");
  output.Add("x");
  BOOST_TEST(output.TakeDroppedCount() == 2U);
  BOOST_TEST(output.TakeDroppedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(AddDoesNotBlockWithoutReader) {
  LogCapture log_capture;
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    log_capture.output->Add(line);
  }
  BOOST_TEST(log_capture.output->TakeDroppedCount() > 0U);
}

// Guards against values that a host still shows when another one has taken the
// duty over that they belong to.
BOOST_AUTO_TEST_CASE(ReplacedGaugeLosesItsOtherSeries) {
  Metrics metrics;
  metrics.SetGauge({.name = "links_up"}, 4);
  metrics.ReplaceGauge("targets", {{.labels = {{"zone", "a"}}, .value = 1},
                                   {.labels = {{"zone", "b"}}, .value = 2}});
  metrics.ReplaceGauge("targets", {{.labels = {{"zone", "b"}}, .value = 3}});
  BOOST_TEST(metrics.Render() ==
             "# TYPE links_up gauge\nlinks_up 4\n"
             "# TYPE targets gauge\ntargets{zone=\"b\"} 3\n");
  metrics.ReplaceGauge("targets", {});
  BOOST_TEST(metrics.Render() == "# TYPE links_up gauge\nlinks_up 4\n");
}

BOOST_AUTO_TEST_CASE(CountersAndGaugesAreRenderedAsPrometheusText) {
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

BOOST_AUTO_TEST_CASE(QuantilesOfManySamplesAreWithinThreePercent) {
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
