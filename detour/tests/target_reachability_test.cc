#define BOOST_TEST_MODULE target_reachability
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "links_simulation.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// From the cut until it is known; the users count from 3 s on.
constexpr Duration kMaxDetectionTime = seconds(2);
constexpr Duration kMaxReturnTime = seconds(1);

const std::vector<Cut> kCuts = {Cut::kHangs, Cut::kHangsWhenConnected,
                                Cut::kResets, Cut::kRefuses,
                                Cut::kRefusesNewOnly};

// Guards against a host that goes on without knowing that it is cut off, under
// any kind of cut and a load of few requests or of many.
BOOST_AUTO_TEST_CASE(CutIsKnownInTimeAndSoIsItsEnd) {
  for (const Cut cut : kCuts) {
    for (const double per_second : {3.0, 10.0, 200.0}) {
      // Of so few requests, most find an open connection that lives.
      if (cut == Cut::kRefusesNewOnly && per_second < 10) {
        continue;
      }
      for (unsigned seed = 1; seed <= 20; ++seed) {
        LinksSimulation links(8, per_second, seed);
        links.RunFor(seconds(3));
        links.CutOff(cut);
        const auto lost = links.RunUntil(TargetLinks::kLost, seconds(4));
        BOOST_TEST_CONTEXT("cut " << static_cast<int>(cut) << ", " << per_second
                                  << " per second, seed " << seed) {
          BOOST_REQUIRE(lost.has_value());
          BOOST_TEST(lost->count() <= kMaxDetectionTime.count());
          links.RunFor(seconds(3));
          BOOST_TEST((links.state.links() == TargetLinks::kLost));
          links.CutOff(Cut::kNone);
          const auto back = links.RunUntil(TargetLinks::kReached, seconds(4));
          BOOST_REQUIRE(back.has_value());
          BOOST_TEST(back->count() <= kMaxReturnTime.count());
        }
      }
    }
  }
}

// Guards against a host with one target that never learns of a cut, since two
// targets have to fail.
BOOST_AUTO_TEST_CASE(CutFromTheOnlyTargetIsKnown) {
  for (const Cut cut : kCuts) {
    LinksSimulation links(1, 10, 1);
    links.RunFor(seconds(3));
    links.CutOff(cut);
    const auto lost = links.RunUntil(TargetLinks::kLost, seconds(4));
    BOOST_REQUIRE(lost.has_value());
    BOOST_TEST(lost->count() <= kMaxDetectionTime.count());
    links.CutOff(Cut::kNone);
    const auto back = links.RunUntil(TargetLinks::kReached, seconds(4));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(back->count() <= kMaxReturnTime.count());
  }
}

// Guards against requests that leave a host for a crash or a pause of targets.
BOOST_AUTO_TEST_CASE(LossOfSomeTargetsIsNoLossOfLinks) {
  struct Loss {
    std::size_t targets;
    std::size_t dead;
  };
  for (const Cut cut : kCuts) {
    for (const Loss& loss : {Loss{8, 1}, Loss{8, 7}, Loss{40, 20}}) {
      for (unsigned seed = 1; seed <= 20; ++seed) {
        LinksSimulation links(loss.targets, 30, seed);
        links.RunFor(seconds(3));
        links.Kill(loss.dead, cut);
        const auto lost = links.RunUntil(TargetLinks::kLost, seconds(5));
        BOOST_TEST_CONTEXT("cut " << static_cast<int>(cut) << ", " << loss.dead
                                  << " of " << loss.targets << ", seed "
                                  << seed) {
          BOOST_TEST(!lost.has_value());
        }
      }
    }
  }
}

// Guards against the loss of a data centre with most of what a host uses being
// taken for the host's own: a target elsewhere is probed as well.
BOOST_AUTO_TEST_CASE(LossOfOneDataCentreIsNoLossOfLinks) {
  LinksSimulation links(8, 30, 1);
  links.uses_only = DataCentreId("dc0");
  links.RunFor(seconds(3));
  links.KillDataCentre(DataCentreId("dc0"));
  BOOST_TEST(!links.RunUntil(TargetLinks::kLost, seconds(5)).has_value());
}

// Guards against connections without use: while targets answer, none is probed.
BOOST_AUTO_TEST_CASE(NothingIsProbedWhileTargetsAnswer) {
  for (const double per_second : {0.0, 10.0, 200.0}) {
    LinksSimulation links(8, per_second, 1);
    links.RunFor(seconds(20));
    BOOST_TEST(links.probe_count == 0);
  }
}

// Guards against a host without load that takes itself for cut off, or probes
// targets for no request.
BOOST_AUTO_TEST_CASE(CutWithoutLoadIsNotLookedFor) {
  LinksSimulation links(8, 0, 1);
  links.CutOff(Cut::kHangs);
  links.RunFor(seconds(20));
  BOOST_TEST((links.state.links() == TargetLinks::kReached));
  BOOST_TEST(links.probe_count == 0);
}

// Guards against many connections while targets are only slow: a first byte
// that takes 3 s.
BOOST_AUTO_TEST_CASE(SlowTargetsAreProbedSeldom) {
  LinksSimulation links(8, 2, 1);
  links.first_byte_time = seconds(3);
  links.RunFor(seconds(20));
  BOOST_TEST((links.state.links() == TargetLinks::kReached));
  BOOST_TEST(links.probe_count <= 20 * TargetReachability::kFirstProbes);
}

// Guards against an end of a cut that is not seen because some of the targets
// have crashed for good.
BOOST_AUTO_TEST_CASE(ReturnIsSeenBesideDeadTargets) {
  for (const std::size_t count : {2U, 8U}) {
    LinksSimulation links(count, 30, 1);
    links.RunFor(seconds(3));
    links.Kill(count / 2, Cut::kHangs);
    links.RunFor(seconds(1));
    links.CutOff(Cut::kHangs);
    BOOST_REQUIRE(links.RunUntil(TargetLinks::kLost, seconds(4)).has_value());
    links.RunFor(seconds(3));
    links.CutOff(Cut::kNone);
    const auto back = links.RunUntil(TargetLinks::kReached, seconds(4));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(back->count() <= (count == 2 ? kMaxReturnTime.count()
                                            : 2 * kMaxReturnTime.count()));
  }
}

// Guards against a loss by probes that nobody has answered, and against a state
// in which nothing is probed any more.
BOOST_AUTO_TEST_CASE(UnansweredProbesDecideNothing) {
  LinksSimulation links(8, 30, 1);
  links.RunFor(seconds(3));
  links.answers_probes = false;
  links.CutOff(Cut::kResets);
  BOOST_TEST(!links.RunUntil(TargetLinks::kLost, seconds(5)).has_value());
  links.answers_probes = true;
  BOOST_TEST(links.RunUntil(TargetLinks::kLost, seconds(3)).has_value());
}

// Guards against a loss that stays after all targets have left the registry.
BOOST_AUTO_TEST_CASE(WithoutTargetsNothingIsLost) {
  LinksSimulation links(2, 30, 1);
  links.RunFor(seconds(3));
  links.CutOff(Cut::kResets);
  BOOST_REQUIRE(links.RunUntil(TargetLinks::kLost, seconds(4)).has_value());
  links.RemoveTargets();
  BOOST_TEST(links.RunUntil(TargetLinks::kReached, seconds(1)).has_value());
}

// Guards against probes that all go to what is lost together.
BOOST_AUTO_TEST_CASE(ProbesAreSpreadAndPreferWhatWasReachedLast) {
  std::vector<ProbeCandidate> candidates;
  candidates.reserve(8);
  for (int i = 0; i < 8; ++i) {
    candidates.push_back(
        ProbeCandidate{.target = TargetId("t" + std::to_string(i)),
                       .address = std::to_string(i),
                       .service = ServiceId(i % 4 < 2 ? "a" : "b"),
                       .data_centre = DataCentreId(i < 6 ? "local" : "remote"),
                       .has_failed = i == 5,
                       .reached_at = TimePoint(seconds(i))});
  }
  std::set<std::string> chosen;
  for (const ProbeCandidate& probe : ChooseProbes(candidates, 4)) {
    chosen.insert(probe.target.value());
  }
  // Two of each data centre, and two of each service.
  BOOST_TEST((chosen == std::set<std::string>{"t1", "t4", "t6", "t7"}));
  BOOST_TEST(ChooseProbes(candidates, 20).size() == candidates.size());
}

}  // namespace
}  // namespace cicadaloft
