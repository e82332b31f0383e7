#ifndef CICADALOFT_ENTRY_TESTS_OVERLOAD_SIMULATION_H_
#define CICADALOFT_ENTRY_TESTS_OVERLOAD_SIMULATION_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <numbers>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/entry/event_names.h"
#include "entry_fixture.h"

namespace cicadaloft {

/// How a caller reacts to a refusal.
enum class CallerBehaviour {
  kHonoursRetryAfter,
  kRetriesAtOnce,  ///< 50 ms after the refusal.
};

/// Requests of one customer to one route.
struct Load {
  const std::string route;
  const std::string customer = "c0";
  const double per_second = 0;
  const CallerBehaviour behaviour = CallerBehaviour::kHonoursRetryAfter;
  /// Amplitude of waves of 12 s, as a fraction of the rate.
  const double wave = 0;
};

/// What became of the requests of a load.
struct LoadResult {
  double arrived = 0;
  double served = 0;
  double on_time = 0;  ///< Dispatched within the route's objective.
  double refusals = 0;
  /// From arrival to the refusal, summed over the refusals.
  Duration refusal_delay{};

  double ServedFraction() const { return this->served / this->arrived; }
  double OnTimeFraction() const { return this->on_time / this->arrived; }
};

/// @return a configuration whose ranks contradict the objectives: the route
/// "urgent" has rank 0 and an objective of 1.5 s, "stream" rank 1 and 3 s,
/// "note" rank 2 and 0.5 s.
inline ActiveConfigurationPtr MakeRankedConfiguration() {
  const auto route = [](const char* name, int priority, int objective_ms,
                        int timeout_ms, int caller_timeout_ms) {
    Route made = MakeRoute(name, "plain", RetryPolicy::kAtMostOnce);
    made.priority = priority;
    made.latency_objective = std::chrono::milliseconds(objective_ms);
    made.timeout = std::chrono::milliseconds(timeout_ms);
    made.caller_timeout = std::chrono::milliseconds(caller_timeout_ms);
    return made;
  };
  Configuration configuration{
      .version = ConfigurationVersion(1),
      .routes = {route("urgent", 0, 1500, 4000, 4000),
                 route("stream", 1, 3000, 20'000, 12'000),
                 route("note", 2, 500, 10'000, 2000)},
      .services = {{.id = ServiceId("plain")}}};
  for (int i = 0; i < 4; ++i) {
    const std::string name = "c" + std::to_string(i);
    configuration.customers.push_back({.id = CustomerId(name), .keys = {name}});
  }
  return std::make_shared<const ActiveConfiguration>(configuration);
}

/// Overload of one target, on the virtual clock, by MakeRankedConfiguration().
/// The target serves kCapacityPerSecond requests in a second.
class OverloadSimulation {
 public:
  static constexpr double kCapacityPerSecond = 50;

  explicit OverloadSimulation(std::vector<Load> loads)
      : loads(std::move(loads)), results(this->loads.size()) {
    this->entry.targets = {MakeTarget("p1", "plain")};
    this->entry.targets[0].slots = kSlots;
    this->entry.Feed(
        ConfigurationChanged{.configuration = MakeRankedConfiguration()});
    this->entry.UpdateFleet();
    this->entry.Feed(SharesChanged{.host_count = 1, .default_share = 1});
  }

  void RunFor(Duration time) {
    const TimePoint end = this->entry.now + time;
    while (this->entry.now < end) {
      this->entry.now += kStep;
      this->EndRuns();
      this->Arrive();
      this->Return();
      this->entry.Feed(EntryTick{});
      this->HandleEffects();
    }
  }

  std::size_t size() const { return this->results.size(); }
  const LoadResult& ResultOf(std::size_t load) const {
    return this->results[load];
  }
  /// @return how many waits were measured that an estimate was made for.
  int EstimatedWaits() const { return this->estimated_waits; }
  /// @return the longest Retry-After, as a fraction of the time that its caller
  /// had left.
  double LongestRetryAfter() const { return this->longest_retry_after; }
  int EarlyRefusals() const { return this->early_refusals; }
  LoadResult Total() const {
    LoadResult total;
    for (const LoadResult& result : this->results) {
      total.arrived += result.arrived;
      total.served += result.served;
      total.on_time += result.on_time;
      total.refusals += result.refusals;
      total.refusal_delay += result.refusal_delay;
    }
    return total;
  }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kWavePeriod = std::chrono::seconds(12);
  static constexpr Duration kRunTime = std::chrono::milliseconds(100);
  static constexpr std::uint32_t kSlots =
      4;  // The entry sends 1.25 times that.

  struct Caller {
    std::size_t load = 0;
    TimePoint first_arrival;
    TimePoint last_arrival;
    TimePoint deadline;
  };

  static Duration ObjectiveOf(const std::string& route) {
    return std::chrono::milliseconds(
        route == "urgent" ? 1500 : (route == "stream" ? 3000 : 500));
  }
  static Duration TimeoutOf(const std::string& route) {
    return std::chrono::seconds(
        route == "urgent" ? 4 : (route == "stream" ? 20 : 10));
  }

  void Send(const Caller& caller) {
    const Load& load = this->loads[caller.load];
    const RequestId id("r" + std::to_string(++this->request_count));
    this->callers.emplace(id, caller);
    this->entry.Feed(RequestArrived{
        .request = id,
        .caller_request_id = id,
        .credential = load.customer,
        .destination =
            ByHostAndPath{.host = "h", .path = "/" + load.route + "/x"},
        .timeout = caller.deadline - this->entry.now});
    this->HandleEffects();
  }

  // In another order each time: of requests that arrive together the first has
  // the place before the others.
  void Arrive() {
    std::vector<std::size_t> order(this->loads.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::shuffle(order, this->random);
    const std::chrono::duration<double> time = this->entry.now - kStart;
    const double wave = std::sin(time / kWavePeriod * 2 * std::numbers::pi);
    std::uniform_real_distribution<double> jitter(0, 2);
    for (const std::size_t i : order) {
      this->due[i] += this->loads[i].per_second *
                      (1 + this->loads[i].wave * wave) * jitter(this->random) *
                      std::chrono::duration<double>(kStep).count();
      for (; this->due[i] >= 1; this->due[i] -= 1) {
        this->results[i].arrived += 1;
        this->Send(Caller{
            .load = i,
            .first_arrival = this->entry.now,
            .last_arrival = this->entry.now,
            .deadline = this->entry.now + TimeoutOf(this->loads[i].route)});
      }
    }
  }

  void Return() {
    while (!this->returning.empty() &&
           this->returning.begin()->first <= this->entry.now) {
      Caller caller = this->returning.begin()->second;
      this->returning.erase(this->returning.begin());
      caller.last_arrival = this->entry.now;
      this->Send(caller);
    }
  }

  void EndRuns() {
    while (!this->runs.empty() &&
           this->runs.begin()->first <= this->entry.now) {
      const Dispatch dispatch = this->runs.begin()->second;
      this->runs.erase(this->runs.begin());
      this->entry.EndAttempt(dispatch, AttemptOutcome::kCompleted, 200);
      this->HandleEffects();
    }
  }

  void HandleEffects() {
    for (const EntryEffect& effect : std::exchange(this->entry.effects, {})) {
      if (const auto* dispatch = std::get_if<Dispatch>(&effect)) {
        this->OnDispatch(*dispatch);
      } else if (const auto* refusal = std::get_if<Refuse>(&effect)) {
        this->OnRefusal(*refusal);
      } else if (const auto* wait = std::get_if<WaitMeasured>(&effect)) {
        this->estimated_waits += wait->expected ? 1 : 0;
      } else if (const auto* record = std::get_if<DecisionRecord>(&effect)) {
        this->early_refusals +=
            record->event == event_names::kRefuseEarly ? 1 : 0;
      }
    }
  }

  void OnDispatch(const Dispatch& dispatch) {
    const Caller& caller = this->callers.at(dispatch.request);
    LoadResult& result = this->results[caller.load];
    result.served += 1;
    result.on_time += this->entry.now - caller.first_arrival <=
                              ObjectiveOf(this->loads[caller.load].route)
                          ? 1
                          : 0;
    this->runs.emplace(this->entry.now + kRunTime, dispatch);
  }

  void OnRefusal(const Refuse& refusal) {
    const Caller caller = this->callers.at(refusal.request);
    LoadResult& result = this->results[caller.load];
    result.refusals += 1;
    result.refusal_delay += this->entry.now - caller.last_arrival;
    const std::chrono::duration<double> left =
        caller.deadline - this->entry.now;
    if (refusal.retry_after && left > Duration::zero()) {
      this->longest_retry_after =
          std::max(this->longest_retry_after, *refusal.retry_after / left);
    }
    const bool is_impatient =
        this->loads[caller.load].behaviour == CallerBehaviour::kRetriesAtOnce;
    const Duration wait =
        is_impatient ? Duration(std::chrono::milliseconds(50))
                     : refusal.retry_after.value_or(std::chrono::hours(1));
    if (this->entry.now + wait < caller.deadline) {
      this->returning.emplace(this->entry.now + wait, caller);
    }
  }

  EntryFixture entry;
  int early_refusals = 0;
  int estimated_waits = 0;
  double longest_retry_after = 0;
  const std::vector<Load> loads;
  std::vector<LoadResult> results;
  std::map<std::size_t, double> due;
  std::map<RequestId, Caller> callers;
  std::multimap<TimePoint, Caller> returning;
  std::multimap<TimePoint, Dispatch> runs;
  std::uint64_t request_count = 0;
  std::mt19937 random{1};  // NOLINT(cert-msc51-cpp): the same in each run.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_TESTS_OVERLOAD_SIMULATION_H_
