#define BOOST_TEST_MODULE usage_holder
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>

#include "report_checks.h"
#include "usage_simulation.h"

namespace cicadaloft {
namespace {

namespace data = boost::unit_test::data;

/// Kills the holder at the first append or report after a time.
struct KillPoint {
  const char* name;
  bool is_at_append = false;
  bool has_lost_answer = false;
};
std::ostream& operator<<(std::ostream& stream, const KillPoint& point) {
  return stream << point.name;
}

// Guards against two contents of a window that was recorded or sent by a holder
// which didn't live to know it.
BOOST_DATA_TEST_CASE(holder_killed_between_the_calls,
                     data::make({6, 30, 88, 360}) *
                         data::make({KillPoint{.name = "append",
                                               .is_at_append = true},
                                     KillPoint{.name = "append without answer",
                                               .is_at_append = true,
                                               .has_lost_answer = true},
                                     KillPoint{.name = "report"},
                                     KillPoint{.name = "report without answer",
                                               .has_lost_answer = true}}),
                     count,
                     point) {
  UsageSimulation simulation(static_cast<std::size_t>(count));
  const UsageWindow first = simulation.CurrentWindow();
  simulation.RunFor(seconds(20));
  std::optional<std::size_t> killed;
  const auto kill = [&](std::size_t host) {
    if (!killed) {
      killed = host;
      simulation.Kill(host);
    }
  };
  (point.is_at_append ? simulation.on_append : simulation.on_report) = kill;
  simulation.loses_append_answers = point.is_at_append && point.has_lost_answer;
  simulation.platform.loses_answers =
      !point.is_at_append && point.has_lost_answer;
  simulation.RunFor(seconds(6));
  BOOST_REQUIRE(killed.has_value());
  simulation.loses_append_answers = false;
  simulation.platform.loses_answers = false;
  simulation.Start(*killed);
  simulation.RunFor(seconds(40));
  CheckAfter(simulation, first, {});
}

// Guards against a holder that goes on as one after a pause, while another host
// has become the holder.
BOOST_DATA_TEST_CASE(holder_paused_for_longer_than_its_lease,
                     data::make({6, 30, 88, 360}) *
                         data::make({1200, 2600, 5000, 9000, 20000}),
                     count,
                     pause_ms) {
  UsageSimulation simulation(static_cast<std::size_t>(count));
  const UsageWindow first = simulation.CurrentWindow();
  simulation.RunFor(milliseconds(23'800));
  const std::size_t holder = simulation.Holder().value();
  simulation.Freeze(holder);
  simulation.RunFor(milliseconds(pause_ms));
  simulation.Resume(holder);
  simulation.RunFor(seconds(40));
  CheckAfter(simulation, first, {.max_late = 2});
}

// Guards against two hosts that both act as the holder because one can't reach
// the store, or no other host.
BOOST_DATA_TEST_CASE(holder_cut_off,
                     data::make({6, 30, 88, 360}) * data::make({false, true}) *
                         data::make({2000, 6000, 15000}),
                     count,
                     is_from_hosts,
                     time_ms) {
  UsageSimulation simulation(static_cast<std::size_t>(count));
  const UsageWindow first = simulation.CurrentWindow();
  simulation.RunFor(seconds(21));
  const std::size_t holder = simulation.Holder().value();
  const auto cut = [&](bool is_cut) {
    if (is_from_hosts) {
      simulation.CutFromHosts(holder, is_cut);
    } else {
      simulation.At(holder).is_cut_from_store = is_cut;
    }
  };
  cut(true);
  simulation.RunFor(milliseconds(time_ms));
  cut(false);
  simulation.RunFor(seconds(40));
  CheckAfter(simulation, first, {.max_bad = 0, .max_late = 3});
}

}  // namespace
}  // namespace cicadaloft
