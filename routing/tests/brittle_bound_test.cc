#include "cicadaloft/routing/brittle_bound.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <vector>

#include "cicadaloft/routing/brittle_service.h"
#include "cicadaloft/routing/target_notice.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{seconds(1000)};
const BrittleBound::Report kNoReport;

BrittleTarget MakeBrittle(std::uint32_t slots, std::uint32_t hosts) {
  return {.key = 7, .slots = slots, .rejection_limit = 6, .host_count = hosts};
}

std::vector<std::uint32_t> PartsOf(BrittleTarget target) {
  std::vector<std::uint32_t> parts;
  for (std::uint32_t i = 0; i < target.host_count; ++i) {
    target.host_position = i;
    parts.push_back(PartOf(target));
  }
  return parts;
}

BOOST_AUTO_TEST_SUITE(brittle_bound)

// Guards against hosts that together may send more than the target has slots,
// or that leave slots unused.
BOOST_AUTO_TEST_CASE(PartsAddUpToTheSlots) {
  for (std::uint64_t key = 0; key < 20; ++key) {
    for (const std::uint32_t hosts : {1, 2, 6, 7, 76, 195}) {
      for (const std::uint32_t slots : {0, 1, 4, 16, 64, 200}) {
        BrittleTarget target = MakeBrittle(slots, hosts);
        target.key = key;
        const auto parts = PartsOf(target);
        std::uint32_t sum = 0;
        std::ranges::for_each(parts, [&](auto part) { sum += part; });
        BOOST_TEST(sum == slots);
        BOOST_TEST(std::ranges::max(parts) - std::ranges::min(parts) <= 1U);
      }
    }
  }
}

// Guards against a host that joins and moves the parts of all others.
BOOST_AUTO_TEST_CASE(OneMoreHostTakesAtMostOneSlotThatWasDivided) {
  for (std::uint64_t key = 0; key < 50; ++key) {
    BrittleTarget target = MakeBrittle(4, 76);
    target.key = key;
    const auto before = PartsOf(target);
    target.host_count = 77;
    const auto after = PartsOf(target);
    int moved = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
      BOOST_TEST(after[i] <= before[i]);
      moved += before[i] != after[i] ? 1 : 0;
    }
    BOOST_TEST(moved <= 1);
  }
}

// Guards against a host that sends all of its part at once to a target that is
// full, before the first rejection can arrive.
BOOST_AUTO_TEST_CASE(RequestsAreAddedOneAtATime) {
  const BrittleTarget target = MakeBrittle(60, 6);
  BrittleBound bound;
  TimePoint now = kNow;
  for (std::uint32_t sent = 0; sent < 10; ++sent) {
    BOOST_TEST(bound.MaySend(target, sent, kNoReport, now));
    bound.OnDispatch(sent, now);
    BOOST_TEST(!bound.MaySend(target, sent + 1, kNoReport, now));
    now += milliseconds(50);
  }
  BOOST_TEST(!bound.MaySend(target, 10, kNoReport, now));
  // What it had is replaced at once.
  BOOST_TEST(bound.MaySend(target, 8, kNoReport, now));
  bound.OnDispatch(8, now);
  BOOST_TEST(bound.MaySend(target, 9, kNoReport, now));
}

// Guards against a host that repeats what a target has just rejected, and
// against one that never tries again.
BOOST_AUTO_TEST_CASE(RejectionHoldsBackLongerEachTime) {
  const BrittleTarget target = MakeBrittle(6, 6);
  BrittleBound bound;
  TimePoint now = kNow;
  Duration last{};
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(bound.MaySend(target, 0, kNoReport, now));
    bound.OnDispatch(0, now);
    bound.OnRejection(target, 0, now);
    const TimePoint rejected_at = now;
    while (!bound.MaySend(target, 0, kNoReport, now)) {
      now += milliseconds(10);
    }
    BOOST_TEST((now - rejected_at >= milliseconds(500)));
    BOOST_TEST((now - rejected_at > last));
    BOOST_TEST((now - rejected_at < seconds(10)));
    last = now - rejected_at;
  }
}

// Guards against slots that stay unused where other hosts have no requests,
// and against hosts that all send there on the same report.
BOOST_AUTO_TEST_CASE(FewHostsMaySendMoreWhereSlotsAreFree) {
  const auto count_beyond = [](std::uint32_t limit, double others,
                               Duration age) {
    BrittleTarget target = MakeBrittle(12, 6);
    target.rejection_limit = limit;
    int count = 0;
    for (std::uint64_t key = 0; key < 50; ++key) {
      target.key = key;
      for (std::uint32_t i = 0; i < 6; ++i) {
        target.host_position = i;
        BrittleBound bound;
        count +=
            bound.MaySend(
                target, 2,
                {.other_hosts_load = others, .reported_at = kNow - age}, kNow)
                ? 1
                : 0;
      }
    }
    return count / 50.0;
  };
  BOOST_TEST(count_beyond(6, 8, milliseconds(100)) > 0.5);
  BOOST_TEST(count_beyond(6, 8, milliseconds(100)) < 3);
  BOOST_TEST(count_beyond(100, 8, milliseconds(100)) == 6);
  BOOST_TEST(count_beyond(100, 9, milliseconds(100)) == 0);
  BOOST_TEST(count_beyond(100, 8, milliseconds(300)) == 0);
  BOOST_TEST(count_beyond(1, 0, milliseconds(100)) == 0);
}

// Guards against a limit that is forgotten by an answer without it while it
// holds, or kept for ever.
BOOST_AUTO_TEST_CASE(LimitHoldsForATimeAfterItWasStated) {
  ObservedNotices notices;
  BrittleService service;
  BOOST_TEST(!notices.HasAnswered(kNow));
  BOOST_TEST(!service.HasAnswer());
  BOOST_TEST(notices.OnAnswer({.rejection_limit = 0}, kNow));
  service.OnAnswer(0, kNow);
  BOOST_TEST((notices.RejectionLimit(kNow) == 0U));
  const TimePoint soon = kNow + seconds(9);
  BOOST_TEST(!notices.OnAnswer({}, soon));
  service.OnAnswer(std::nullopt, soon);
  BOOST_TEST((notices.RejectionLimit(soon) == 0U));
  BOOST_TEST((service.RejectionLimit() == 0U));
  const TimePoint late = kNow + kBrittleTtl;
  BOOST_TEST(!notices.RejectionLimit(late).has_value());
  // The answer without a limit came before the limit had expired.
  BOOST_TEST(!notices.HasAnswered(late));
  BOOST_TEST(notices.OnAnswer({}, late));
  BOOST_TEST(notices.HasAnswered(late));
  service.OnAnswer(std::nullopt, late);
  BOOST_TEST(!service.RejectionLimit().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
