#define BOOST_TEST_MODULE entry_metrics
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "cicadaloft/forwarding/entry_metrics.h"

namespace cicadaloft {
namespace {

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
