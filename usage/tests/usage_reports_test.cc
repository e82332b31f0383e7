#define BOOST_TEST_MODULE usage_reports
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "usage_simulation.h"

namespace cicadaloft {
namespace {

namespace data = boost::unit_test::data;

constexpr double kMaxError = 0.05;

/// @return the windows between two times that have no report, or one with a
/// wrong count.
std::size_t BadWindows(const UsageSimulation& simulation,
                       UsageWindow from,
                       UsageWindow to) {
  std::size_t bad = 0;
  for (UsageWindow window = from; window < to; window = window.Next()) {
    const auto report = simulation.platform.reports.find(window);
    if (report == simulation.platform.reports.end()) {
      BOOST_TEST_MESSAGE("no report of " << window.value());
      ++bad;
      continue;
    }
    for (const auto& [customer, count] : simulation.true_counts.at(window)) {
      const auto found = report->second.counts.find(customer);
      const double reported = found == report->second.counts.end()
                                  ? 0
                                  : static_cast<double>(found->second);
      const double error = std::abs(reported - static_cast<double>(count)) /
                           static_cast<double>(count);
      if (error > kMaxError) {
        BOOST_TEST_MESSAGE("window " << window.value() << " customer "
                                     << customer.value() << " reported "
                                     << reported << " of " << count);
        ++bad;
        break;
      }
    }
  }
  return bad;
}

std::size_t LateWindows(const UsageSimulation& simulation,
                        UsageWindow from,
                        UsageWindow to) {
  std::size_t late = 0;
  for (const auto& [window, report] : simulation.platform.reports) {
    late +=
        window >= from && window < to && report.at > simulation.DueAt(window)
            ? 1
            : 0;
  }
  return late;
}

void CheckRules(const UsageSimulation& simulation) {
  for (const std::string& violation : simulation.platform.violations) {
    BOOST_ERROR(violation);
  }
}

void PrintLog(const UsageSimulation& simulation) {
  for (const DecisionRecord& record : simulation.log) {
    std::string line = record.event;
    for (const LogField& field : record.fields) {
      line += " " + field.name + "=" + field.value;
    }
    BOOST_TEST_MESSAGE(line);
  }
}

// Guards against missing, late and wrong reports on a day without faults.
BOOST_DATA_TEST_CASE(EachWindowIsReportedOnTime,
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

}  // namespace
}  // namespace cicadaloft
