#define BOOST_TEST_MODULE placement_scale
#include <time.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "placement_world.h"

namespace cicadaloft {
namespace {

/// Part of a core that control may take on a host, by the users' aim.
constexpr double kControlPart = 0.027;

Duration ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

/// As many targets, models and hosts as the largest site has, with more models
/// than fit. Few models are asked for often, and many seldom.
class LargeWorld {
 public:
  static constexpr int kTargets = 140;
  static constexpr int kModels = 360;
  static constexpr int kHosts = 195;
  static constexpr int kCopies = 4;

  LargeWorld() : world(kTargets, kModels, 210, 20) {
    int number = 0;
    for (auto& [id, runner] : this->world.runners) {
      std::set<ModelId> disk;
      for (int copy = 0; copy < kCopies * kModels / kTargets; ++copy) {
        disk.insert(ModelOf(number + copy * kTargets));
      }
      runner.disk = disk;
      runner.record.on_disk = {disk.begin(), disk.end()};
      runner.held = {ModelPath{.model = ModelOf(number)},
                     ModelPath{.model = ModelOf(number + kTargets)}};
      ++number;
    }
  }

  /// One second of requests, reports of use and what hosts ask for.
  void RunSecond(int asked) {
    for (int step = 0; step < 50; ++step) {
      for (int host = step; host < kHosts; host += 50) {
        this->ReportUse(host);
      }
      for (int i = 0; i < asked / 50; ++i) {
        this->world.Want(ModelPath{.model = this->Draw()});
      }
      this->world.RunFor(milliseconds(20));
    }
  }

  World world;

 private:
  static ModelId ModelOf(int number) {
    return ModelId("m" + std::to_string(number % kModels));
  }

  ModelId Draw() {
    const double part =
        std::uniform_real_distribution<double>()(this->world.random);
    return ModelOf(static_cast<int>(part * part * part * kModels));
  }

  void ReportUse(int host) {
    constexpr int kPaths = 4;
    std::vector<ModelUsage> uses;
    uses.reserve(kPaths);
    for (int i = 0; i < kPaths; ++i) {
      uses.push_back(ModelUsage{.path = ModelPath{.model = this->Draw()},
                                .arrivals = 1,
                                .running = 1,
                                .interactive = 1});
    }
    this->world.Feed(ModelUsageReport{
        .host = HostId("h" + std::to_string(host)), .usages = uses});
  }
};

// Guards against models that are never served on large sites: planning took
// longer than the lease lasts on a small host, which then lost it and began
// anew.
BOOST_FIXTURE_TEST_CASE(PlanningForALargeSiteKeepsToControlsPartOfACore,
                        LargeWorld) {
  this->world.Begin();
  constexpr int kSeconds = 5;
  const Duration before = ProcessorTime();
  for (int second = 0; second < kSeconds; ++second) {
    this->RunSecond(300);
  }
  const std::chrono::duration<double> spent = ProcessorTime() - before;
  BOOST_TEST_MESSAGE("a second takes " << spent.count() / kSeconds << " s");
  BOOST_TEST(spent.count() <= kControlPart * kSeconds);
}

}  // namespace
}  // namespace cicadaloft
