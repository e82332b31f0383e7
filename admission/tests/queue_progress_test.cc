#include "cicadaloft/admission/queue_progress.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <vector>

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart(seconds(1000));
const QueueLine kLine{.customer = CustomerId("c")};

constexpr TimePoint kEnd = kStart + seconds(15);

/// A line that serves one item every `interval` for 15 s.
QueueProgress MakeProgress(milliseconds interval) {
  QueueProgress progress;
  progress.Update({kLine}, kStart);
  for (TimePoint now = kStart; now < kEnd; now += interval) {
    progress.OnServed(kLine, now);
    progress.Update({kLine}, now);
  }
  return progress;
}

BOOST_AUTO_TEST_SUITE(queue_progress)

// Guards against refusals from an estimate that is based on little.
BOOST_AUTO_TEST_CASE(LineThatHasWaitedShorterThanTheRequestMayIsNotKnown) {
  const QueueProgress progress = MakeProgress(milliseconds(100));
  const LinePosition position{.line = kLine, .ahead = 1000};
  BOOST_TEST(progress.MinWait(position, seconds(9), kEnd).has_value());
  BOOST_TEST(!progress.MinWait(position, seconds(16), kEnd).has_value());
  // Less than a wave of demand, however soon the request has to be served.
  BOOST_TEST(!progress.MinWait(position, seconds(1), kStart + seconds(11))
                  .has_value());
  BOOST_TEST(!progress.MinWait(position, seconds(60), kEnd).has_value());
  const LinePosition other{.line = {.customer = CustomerId("d")},
                           .ahead = 1000};
  BOOST_TEST(!progress.MinWait(other, seconds(1), kEnd).has_value());
}

BOOST_AUTO_TEST_CASE(MinWaitAllowsForChance) {
  // 120 in the last 12 s; up to 145 are plausible.
  const QueueProgress progress = MakeProgress(milliseconds(100));
  const auto wait =
      progress.MinWait({.line = kLine, .ahead = 99}, seconds(5), kEnd);
  BOOST_REQUIRE(wait.has_value());
  BOOST_TEST((*wait > seconds(7)));
  BOOST_TEST((*wait < seconds(10)));
  const auto expected =
      progress.ExpectedWait({.line = kLine, .ahead = 99}, kEnd);
  BOOST_REQUIRE(expected.has_value());
  BOOST_TEST((*expected > seconds(9)));
  BOOST_TEST((*expected < seconds(11)));
}

// A line that hasn't moved for 15 s may still move: the first ones wait.
BOOST_AUTO_TEST_CASE(FirstItemsOfALineThatStandsWait) {
  QueueProgress progress;
  progress.Update({kLine}, kStart);
  const auto first =
      progress.MinWait({.line = kLine, .ahead = 0}, seconds(5), kEnd);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST((*first < seconds(5)));
  const auto later =
      progress.MinWait({.line = kLine, .ahead = 10}, seconds(5), kEnd);
  BOOST_TEST((*later > seconds(5)));
  BOOST_TEST(!progress.ExpectedWait({.line = kLine}, kEnd).has_value());
}

// Guards against records that stay when nothing waits.
BOOST_AUTO_TEST_CASE(LineThatWasEmptyStartsAnew) {
  QueueProgress progress = MakeProgress(milliseconds(100));
  progress.Update({}, kEnd);
  progress.Update({kLine}, kEnd);
  BOOST_TEST(!progress.MinWait({.line = kLine, .ahead = 1000}, seconds(2), kEnd)
                  .has_value());
}

// Guards against refusals that make the line of late items empty, so that the
// next ones wait in vain again.
BOOST_AUTO_TEST_CASE(LateLineIsKnownWhileItemsOnTimeWait) {
  QueueProgress progress = MakeProgress(milliseconds(100));
  QueueLine late = kLine;
  late.is_late = true;
  const auto wait =
      progress.MinWait({.line = late, .ahead = 0}, seconds(1), kEnd);
  BOOST_REQUIRE(wait.has_value());
  BOOST_TEST((*wait > seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
