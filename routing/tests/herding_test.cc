#define BOOST_TEST_MODULE herding
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <ranges>
#include <vector>

#include "cicadaloft/routing/estimated_cost.h"
#include "cicadaloft/routing/sampled_choice.h"
#include "cicadaloft/routing/target_capacity.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTargets = 90;
constexpr std::uint32_t kSlots = 16;
/// A target rejects requests beyond these.
constexpr std::size_t kMaxLoad = 20;
const TargetKind kKind{.slots = kSlots, .memory_tokens = 59'594};
const RequestSize kSize{.prompt_tokens = 700,
                        .output_tokens = 280,
                        .events = 31};
const std::optional<ModelId> kModel(ModelId("m"));
constexpr Duration kStep = milliseconds(1);
constexpr Duration kReportAge = milliseconds(300);
constexpr std::array<double, 3> kSpeeds = {0.6, 1.0, 1.6};
constexpr Duration kRunTime = milliseconds(1500);
constexpr double kUtilization = 0.6;

struct Run {
  std::size_t host = 0;
  TimePoint ends_at{};
};

struct SimulatedTarget {
  double speed = 1;
  std::vector<Run> running;
  std::deque<std::size_t> waiting;  ///< Hosts.

  std::size_t load() const {
    return this->running.size() + this->waiting.size();
  }
};

struct SimulatedHost {
  ServicePace pace;
  std::vector<TargetCapacity> targets{kTargets};
};

struct Outcome {
  double busiest_to_mean = 0;  ///< Requests at a target; mean over time.
  double rejected = 0;         ///< Fraction of the requests.
  double queued = 0;           ///< Fraction that found no free slot.
};

/// Hosts that choose among the same targets on reports that are 300 ms old.
class Simulation {
 public:
  /// @param is_sampled otherwise all targets are compared.
  Simulation(std::size_t host_count, bool is_sampled)
      : is_sampled(is_sampled), hosts(host_count), targets(kTargets) {
    for (std::size_t i = 0; i < kTargets; ++i) {
      this->targets[i].speed = kSpeeds[i % kSpeeds.size()];
    }
  }

  Outcome Simulate(Duration time, double utilization) {
    const double mean_speed =
        std::accumulate(kSpeeds.begin(), kSpeeds.end(), 0.0) / kSpeeds.size();
    const double runs_per_step = kTargets * kSlots * mean_speed *
                                 std::chrono::duration<double>(kStep) /
                                 std::chrono::duration<double>(kRunTime);
    const double per_step = utilization * runs_per_step;
    std::poisson_distribution<int> arrivals(per_step);
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kStep;
      this->Finish();
      this->Report();
      const int count = arrivals(this->random);
      for (int i = 0; i < count; ++i) {
        this->Send();
      }
      this->Measure();
    }
    return Outcome{.busiest_to_mean = this->ratio_sum / this->ratio_count,
                   .rejected = this->rejections / this->requests,
                   .queued = this->queued / this->requests};
  }

 private:
  void Finish() {
    for (std::size_t i = 0; i < kTargets; ++i) {
      SimulatedTarget& target = this->targets[i];
      std::erase_if(target.running, [&](const Run& run) {
        const bool has_ended = run.ends_at <= this->now;
        if (has_ended) {
          this->OnEnd(run.host, i);
        }
        return has_ended;
      });
      while (target.running.size() < kSlots && !target.waiting.empty()) {
        this->Start(target, target.waiting.front());
        target.waiting.pop_front();
      }
    }
  }

  void OnEnd(std::size_t host_index, std::size_t target_index) {
    SimulatedHost& host = this->hosts[host_index];
    TargetCapacity& target = host.targets[target_index];
    target.OnEnd(kSize, true);
    const auto streamed = std::chrono::duration_cast<Duration>(
        kRunTime / this->targets[target_index].speed);
    target.OnRun(CompletedRun{.stated = {.model = kModel,
                                         .prompt_tokens = 700,
                                         .expected_output_tokens = 280},
                              .events = 31,
                              .first_token = milliseconds(50),
                              .streamed = streamed},
                 kKind, host.pace, this->now);
  }

  void Start(SimulatedTarget& target, std::size_t host) {
    target.running.push_back(
        {.host = host,
         .ends_at = this->now + std::chrono::duration_cast<Duration>(
                                    kRunTime / target.speed)});
  }

  // All hosts hear of all targets at once, as they were 300 ms ago.
  void Report() {
    if (this->now < this->snapshot_at + kReportAge) {
      return;
    }
    for (std::size_t i = 0; i < kTargets && !this->snapshot.empty(); ++i) {
      for (SimulatedHost& host : this->hosts) {
        host.targets[i].OnReport(this->snapshot[i], kKind, host.pace,
                                 this->now);
      }
    }
    this->snapshot.clear();
    for (const SimulatedTarget& target : this->targets) {
      this->snapshot.push_back(TargetLoad{
          .running = static_cast<std::uint32_t>(target.running.size()),
          .waiting = static_cast<std::uint32_t>(target.waiting.size()),
          .slots = kSlots,
          .work_time_percent = 100});
    }
    this->snapshot_at = this->now;
  }

  void Send() {
    const std::size_t index = this->random() % this->hosts.size();
    SimulatedHost& host = this->hosts[index];
    std::vector<TargetCapacity*> candidates;
    std::ranges::transform(host.targets, std::back_inserter(candidates),
                           [](TargetCapacity& target) { return &target; });
    const auto cost_of = [&](const TargetCapacity& target) {
      return std::optional(
          CostOf(target.Estimate(kSize, 0, kModel, kKind, host.pace, this->now),
                 Duration::zero(), false));
    };
    TargetCapacity* none = nullptr;
    const TargetCapacity* chosen =
        this->is_sampled
            ? ChooseFromSample(candidates, this->random(), none, cost_of)
            : *std::ranges::min_element(candidates, {},
                                        [&](const TargetCapacity* target) {
                                          return cost_of(*target)->milliseconds;
                                        });
    const auto target_index =
        static_cast<std::size_t>(chosen - host.targets.data());
    ++this->requests;
    this->Accept(index, target_index);
  }

  void Accept(std::size_t host, std::size_t target_index) {
    SimulatedTarget& target = this->targets[target_index];
    if (target.load() >= kMaxLoad) {
      ++this->rejections;
      return;
    }
    this->hosts[host].targets[target_index].OnDispatch(kSize);
    if (target.running.size() < kSlots) {
      this->Start(target, host);
      return;
    }
    ++this->queued;
    target.waiting.push_back(host);
  }

  void Measure() {
    const auto loads = this->targets | std::views::transform([](const auto& t) {
                         return static_cast<double>(t.load());
                       });
    const double mean =
        std::accumulate(loads.begin(), loads.end(), 0.0) / kTargets;
    if (this->now > TimePoint(seconds(1005)) && mean > 0) {
      this->ratio_sum += std::ranges::max(loads) / mean;
      this->ratio_count += 1;
    }
  }

  const bool is_sampled;
  TimePoint now{seconds(1000)};
  TimePoint snapshot_at{};
  std::vector<TargetLoad> snapshot;
  std::vector<SimulatedHost> hosts;
  std::vector<SimulatedTarget> targets;
  std::mt19937_64 random{1};  // NOLINT(bugprone-random-generator-seed)
  double requests = 0;
  double rejections = 0;
  double queued = 0;
  double ratio_sum = 0;
  double ratio_count = 0;
};

// Guards against hosts that all send to the target that was the emptiest a
// moment ago.
BOOST_AUTO_TEST_CASE(HostsSpreadOverTargetsOnOldReports) {
  for (const std::size_t hosts : {6, 60, 86, 360}) {
    const Outcome sampled =
        Simulation(hosts, true).Simulate(seconds(15), kUtilization);
    const Outcome all =
        Simulation(hosts, false).Simulate(seconds(15), kUtilization);
    BOOST_TEST_MESSAGE(
        hosts << " hosts: busiest to mean " << sampled.busiest_to_mean
              << ", rejected " << sampled.rejected << ", queued "
              << sampled.queued << "; all compared: " << all.busiest_to_mean
              << ", " << all.rejected << ", " << all.queued);
    BOOST_TEST(sampled.busiest_to_mean < 2);
    BOOST_TEST(sampled.rejected < 0.005);
    BOOST_TEST(sampled.queued < 0.05);
    BOOST_TEST(all.rejected > 20 * sampled.rejected);
  }
}

const EstimatedCost kCheap{.milliseconds = 1};
const EstimatedCost kDear{.milliseconds = 2};
const EstimatedCost kLate{.exceeds_interval = true, .milliseconds = 1};

// Guards against a request that is sent nowhere, or to a target with long
// pauses, because those that were drawn aren't available.
BOOST_AUTO_TEST_CASE(SampleExtendsToAllCandidates) {
  std::array<std::optional<EstimatedCost>, 5> costs;
  std::vector<std::optional<EstimatedCost>*> candidates;
  std::ranges::transform(costs, std::back_inserter(candidates),
                         [](auto& cost) { return &cost; });
  std::optional<EstimatedCost>* preferred = nullptr;
  const auto choose = [&](std::uint64_t draw) {
    return ChooseFromSample(candidates, draw, preferred,
                            [](const auto& cost) { return cost; });
  };
  for (std::uint64_t draw = 0; draw < 100; ++draw) {
    costs = {};
    BOOST_TEST((choose(draw) == nullptr));
    costs[3] = kLate;
    BOOST_TEST((choose(draw) == &costs[3]));
    costs[1] = kDear;
    BOOST_TEST((choose(draw) == &costs[1]));
    costs[2] = kCheap;
    BOOST_TEST((choose(draw) == &costs[2]));
    costs = {kDear, kDear, kCheap, kDear, kDear};
    preferred = &costs[2];
    BOOST_TEST((choose(draw) == &costs[2]));
    preferred = nullptr;
  }
  candidates.clear();
  BOOST_TEST((choose(7) == nullptr));
}

// Guards against a candidate that is never looked at, also where two are all.
BOOST_AUTO_TEST_CASE(EachCandidateIsDrawn) {
  for (std::size_t count = 1; count < 8; ++count) {
    std::vector<int> firsts(count);
    std::vector<int> seconds_drawn(count);
    for (std::uint64_t draw = 0; draw < 200; ++draw) {
      const SampleOrder order(draw, count);
      ++firsts.at(order.IndexAt(0));
      ++seconds_drawn.at(order.IndexAt(1));
      BOOST_TEST((count == 1 || order.IndexAt(0) != order.IndexAt(1)));
    }
    BOOST_TEST(std::ranges::min(firsts) > 0);
    BOOST_TEST(std::ranges::min(seconds_drawn) > 0);
  }
}

}  // namespace
}  // namespace cicadaloft
