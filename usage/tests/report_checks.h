#ifndef CICADALOFT_USAGE_TESTS_REPORT_CHECKS_H_
#define CICADALOFT_USAGE_TESTS_REPORT_CHECKS_H_

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstddef>
#include <string>

#include "usage_simulation.h"

namespace cicadaloft {

inline constexpr double kMaxError = 0.05;

/// @return the windows between two times that have no report, or one with a
/// wrong count.
inline std::size_t BadWindows(const UsageSimulation& simulation,
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

inline std::size_t LateWindows(const UsageSimulation& simulation,
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

inline void CheckRules(const UsageSimulation& simulation) {
  for (const std::string& violation : simulation.platform.violations) {
    BOOST_ERROR(violation);
  }
}

inline void PrintLog(const UsageSimulation& simulation) {
  for (const DecisionRecord& record : simulation.log) {
    std::string line = record.event;
    for (const LogField& field : record.fields) {
      line += " " + field.name + "=" + field.value;
    }
    BOOST_TEST_MESSAGE(line);
  }
}

/// Windows that may have no report or a wrong one, and late ones.
struct Allowed {
  std::size_t max_bad = 0;
  std::size_t max_late = 0;
};

inline void CheckAfter(UsageSimulation& simulation,
                       UsageWindow first,
                       const Allowed& allowed) {
  const UsageWindow last(simulation.CurrentWindow().value() - 3);
  BOOST_TEST(last.value() > first.value() + 6);
  CheckRules(simulation);
  const std::size_t bad = BadWindows(simulation, first, last);
  const std::size_t late = LateWindows(simulation, first, last);
  BOOST_TEST_MESSAGE("bad " << bad << " late " << late);
  BOOST_TEST(bad <= allowed.max_bad);
  BOOST_TEST(late <= allowed.max_late);
  PrintLog(simulation);
}

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_TESTS_REPORT_CHECKS_H_
