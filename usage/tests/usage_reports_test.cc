#define BOOST_TEST_MODULE usage_reports
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "report_checks.h"
#include "usage_simulation.h"

namespace cicadaloft {
namespace {

namespace data = boost::unit_test::data;

// Guards against missing, late and wrong reports on a day without faults.
BOOST_DATA_TEST_CASE(each_window_is_reported_on_time,
                     data::make({6, 30, 88, 360}),
                     count) {
  UsageSimulation simulation(static_cast<std::size_t>(count));
  const UsageWindow first = simulation.CurrentWindow();
  simulation.RunFor(seconds(40));
  const UsageWindow last(simulation.CurrentWindow().value() - 3);
  CheckRules(simulation);
  BOOST_TEST(BadWindows(simulation, first, last) == 0U);
  BOOST_TEST(LateWindows(simulation, first, last) == 0U);
  BOOST_TEST(simulation.platform.duplicates == 0U);
  PrintLog(simulation);
}

// Guards against counts that die with the lease holder, and against windows
// that its successor reports with other counts.
BOOST_DATA_TEST_CASE(holder_killed_at_any_time_of_a_window,
                     data::make({6, 30, 88, 360}) * data::xrange(0, 5000, 620),
                     count,
                     offset_ms) {
  // The largest site takes long to simulate.
  if (count == 360 && offset_ms % 1240 != 0) {
    return;
  }
  UsageSimulation simulation(static_cast<std::size_t>(count));
  const UsageWindow first = simulation.CurrentWindow();
  simulation.RunFor(seconds(20) + milliseconds(offset_ms));
  const std::size_t holder = simulation.Holder().value();
  simulation.Kill(holder);
  simulation.RunFor(seconds(2));
  simulation.Start(holder);
  simulation.RunFor(seconds(40));
  BOOST_TEST(*simulation.Holder() != holder);
  CheckAfter(simulation, first, {});
}

}  // namespace
}  // namespace cicadaloft
