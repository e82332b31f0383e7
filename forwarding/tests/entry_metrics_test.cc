#define BOOST_TEST_MODULE entry_metrics
#include "cicadaloft/forwarding/entry_metrics.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;

// Guards against an error that is lost because it is negative, and against
// estimates that are mixed up with what happened.
BOOST_AUTO_TEST_CASE(RunsAreRenderedWithTheirEstimates) {
  EntryMetrics metrics;
  metrics.RecordRun({.estimated_first_token = milliseconds(100),
                     .first_token = milliseconds(400),
                     .estimated_interval = milliseconds(60),
                     .interval = milliseconds(50),
                     .estimated_cached_tokens = 172,
                     .prompt_tokens = 715});
  const std::string text = metrics.Render(StatusReply{}).text;
  BOOST_TEST_MESSAGE(text);
  const auto has = [&](const std::string& series) {
    return text.find(series) != std::string::npos;
  };
  const std::string first = "cicadaloft_entry_first_token_seconds_sum{what=";
  BOOST_TEST(has(first + "\"estimated\"} 0.1\n"));
  BOOST_TEST(has(first + "\"actual\"} 0.4\n"));
  BOOST_TEST(has(first + "\"error\"} 0.3\n"));
  BOOST_TEST(
      has("cicadaloft_entry_event_interval_seconds_sum{what=\"error\"} "
          "0.01\n"));
  const std::string tokens = "cicadaloft_entry_prompt_tokens_total{what=";
  BOOST_TEST(has(tokens + "\"cached\"} 172\n"));
  BOOST_TEST(has(tokens + "\"all\"} 715\n"));
}

// Guards against hosts whose outdated configuration operators don't see.
BOOST_AUTO_TEST_CASE(ConfigurationIsRenderedBesideTheNewestOne) {
  EntryMetrics metrics;
  metrics.SetConfiguration(ConfigurationVersion(7));
  metrics.SetConfiguration(ConfigurationVersion(3));
  metrics.SetHeardConfiguration(ConfigurationVersion(9));
  const std::string text = metrics.Render(StatusReply{}).text;
  BOOST_TEST(text.find("cicadaloft_configuration_version 7\n") !=
             std::string::npos);
  BOOST_TEST(text.find("cicadaloft_configuration_newest_version 9\n") !=
             std::string::npos);
}

// Guards against detours that operators don't see, or see as reached targets.
BOOST_AUTO_TEST_CASE(DetoursAndProbesAreCounted) {
  EntryMetrics metrics;
  const std::string reaches = "cicadaloft_entry_reaches_targets ";
  BOOST_TEST(metrics.Render(StatusReply{}).text.find(reaches + "1\n") !=
             std::string::npos);
  metrics.CountForwardedRequest();
  metrics.CountTakenRequest();
  metrics.CountTakenRequest();
  metrics.CountProbe(true);
  metrics.CountProbe(false);
  metrics.CountProbe(false);
  metrics.SetReachesTargets(false);
  const std::string text = metrics.Render(StatusReply{}).text;
  for (const std::string& series : std::vector<std::string>{
           "cicadaloft_entry_forwarded_requests_total 1\n",
           "cicadaloft_entry_taken_requests_total 2\n",
           "cicadaloft_entry_target_probes_total{outcome=\"reached\"} 1\n",
           "cicadaloft_entry_target_probes_total{outcome=\"not_reached\"} 2\n",
           reaches + "0\n"}) {
    BOOST_TEST(text.find(series) != std::string::npos, series);
  }
}

// Guards against waits whose estimate wasn't known that count as estimates of
// 0.
BOOST_AUTO_TEST_CASE(WaitWithoutEstimateCountsAsActualOnly) {
  EntryMetrics metrics;
  metrics.RecordWait(WaitMeasured{.actual = std::chrono::seconds(1)});
  metrics.RecordWait(WaitMeasured{.expected = std::chrono::seconds(2),
                                  .actual = std::chrono::seconds(3)});
  const std::string text = metrics.Render(StatusReply{}).text;
  BOOST_TEST(text.find("cicadaloft_entry_queue_wait_seconds_count 2") !=
             std::string::npos);
  BOOST_TEST(text.find("cicadaloft_entry_estimated_queue_wait_seconds_count "
                       "1") != std::string::npos);
}

}  // namespace
}  // namespace cicadaloft
