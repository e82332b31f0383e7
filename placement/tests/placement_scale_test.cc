#define BOOST_TEST_MODULE placement_scale
#include <time.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "simulated_placement.h"

namespace cicadaloft {
namespace {

/// Fraction of a core that control may use on a host, according to the
/// users' objective.
constexpr double kMaxControlCpuFraction = 0.027;

Duration ThreadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

/// As many targets, models and hosts as the largest site has, with more models
/// than fit in memory. Few models are requested often, and many rarely.
class SimulatedLargeSite {
 public:
  static constexpr int kTargets = 140;
  static constexpr int kModels = 360;
  static constexpr int kHosts = 195;
  static constexpr int kCopies = 4;  ///< Of each model, on disks.

  SimulatedLargeSite() : simulation(kTargets, kModels, 210, 20) {
    int number = 0;
    for (auto& [id, runner] : this->simulation.runners) {
      std::set<ModelId> disk;
      for (int copy = 0; copy < kCopies * kModels / kTargets; ++copy) {
        disk.insert(ModelOf(number + copy * kTargets));
      }
      runner.disk = disk;
      runner.record.on_disk = {disk.begin(), disk.end()};
      runner.loaded = {ModelPath{.model = ModelOf(number)},
                       ModelPath{.model = ModelOf(number + kTargets)}};
      ++number;
    }
  }

  /// Simulates one second of usage reports and model requests.
  void RunSecond(int requests_per_second) {
    for (int step = 0; step < 50; ++step) {
      for (int host = step; host < kHosts; host += 50) {
        this->ReportUsage(host);
      }
      for (int i = 0; i < requests_per_second / 50; ++i) {
        this->simulation.RequestModel(ModelPath{.model = this->DrawModel()});
      }
      this->simulation.RunFor(milliseconds(20));
    }
  }

  SimulatedPlacement simulation;

 private:
  static ModelId ModelOf(int number) {
    return ModelId("m" + std::to_string(number % kModels));
  }

  ModelId DrawModel() {
    const double uniform =
        std::uniform_real_distribution<double>()(this->simulation.random);
    return ModelOf(static_cast<int>(uniform * uniform * uniform * kModels));
  }

  void ReportUsage(int host) {
    constexpr int kPaths = 4;
    std::vector<ModelUsage> usages;
    usages.reserve(kPaths);
    for (int i = 0; i < kPaths; ++i) {
      usages.push_back(ModelUsage{.path = ModelPath{.model = this->DrawModel()},
                                  .arrivals = 1,
                                  .running = 1,
                                  .interactive = 1});
    }
    this->simulation.Feed(ModelUsageReport{
        .host = HostId("h" + std::to_string(host)), .usages = usages});
  }
};

// Guards against models that are never loaded on large sites: on a small host
// planning took longer than the lease lasts, so that the host lost it and
// started over.
BOOST_FIXTURE_TEST_CASE(PlanningForALargeSiteStaysWithinControlCpuLimit,
                        SimulatedLargeSite) {
  this->simulation.Begin();
  constexpr int kSeconds = 5;
  const Duration before = ThreadCpuTime();
  for (int second = 0; second < kSeconds; ++second) {
    this->RunSecond(300);
  }
  const std::chrono::duration<double> cpu_time = ThreadCpuTime() - before;
  BOOST_TEST_MESSAGE(
      "CPU time per simulated second: " << cpu_time.count() / kSeconds << " s");
  BOOST_TEST(cpu_time.count() <= kMaxControlCpuFraction * kSeconds);
}

}  // namespace
}  // namespace cicadaloft
