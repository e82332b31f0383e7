#ifndef CICADALOFT_CONTROL_TESTS_SIMULATED_TARGETS_H_
#define CICADALOFT_CONTROL_TESTS_SIMULATED_TARGETS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <ranges>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hosts_simulation.h"

namespace cicadaloft {

/// Targets of a HostsSimulation that crash when they begin to respond to a
/// request with the deadly prompt segment, and are back with another process
/// some seconds later.
class SimulatedTargets {
 public:
  static constexpr std::uint64_t kDeadlySegment = 0xdead;
  static constexpr Duration kFirstByteTime = milliseconds(60);
  static constexpr Duration kRunTime = milliseconds(500);
  static constexpr Duration kDownTime = seconds(3);

  SimulatedTargets(HostsSimulation& simulation, std::size_t count)
      : simulation(simulation) {
    simulation.run_attempt = [this](const HostId& host,
                                    const Dispatch& dispatch) {
      this->Run(host, dispatch);
    };
    simulation.reaches_target = [this](const HostId&, const TargetId& target) {
      return this->targets.at(target).is_up;
    };
    simulation.FeedAll(FleetEvent(TargetRemoved{MakeSimulatedTarget().id}));
    for (std::size_t i = 0; i < count; ++i) {
      Target& target = this->targets[TargetId("t" + std::to_string(i))];
      target.record = MakeSimulatedTarget();
      target.record.id = TargetId("t" + std::to_string(i));
      target.record.slots = 12;
      this->Announce(target);
    }
  }

  /// Sends requests from now on, each with two segments that other requests
  /// share.
  /// @param deadly_fraction of the requests that contain the deadly segment as
  /// well.
  void SendRequestsFor(Duration time,
                       double requests_per_second,
                       double deadly_fraction) {
    std::mt19937& random = this->simulation.random;
    std::exponential_distribution<double> interarrival(requests_per_second);
    std::uniform_int_distribution<std::size_t> host(
        0, this->simulation.HostCount() - 1);
    std::uniform_int_distribution<std::uint64_t> first(1, 3);
    std::uniform_int_distribution<std::uint64_t> second(100, 199);
    std::bernoulli_distribution is_deadly(deadly_fraction);
    const TimePoint end = this->simulation.Now() + time;
    while (this->simulation.Now() < end) {
      this->simulation.RunFor(FromSeconds(interarrival(random)));
      std::vector<std::uint64_t> segments = {first(random), second(random)};
      if (is_deadly(random)) {
        segments.push_back(kDeadlySegment);
      }
      this->SendRequest(host(random), segments);
    }
  }

  /// Sends a request now.
  /// @param segments it crashes targets if the deadly one is among them.
  /// @return its id.
  RequestId SendRequest(std::size_t host,
                        const std::vector<std::uint64_t>& segments) {
    const RequestId id("p" + std::to_string(++this->last_request));
    const bool is_deadly =
        std::ranges::find(segments, kDeadlySegment) != segments.end();
    (is_deadly ? this->deadly : this->sound)
        .emplace(id, this->simulation.Now());
    this->simulation.SendRequest(
        host, SimulatedRequest{.id = id,
                               .cost = 1,
                               .prompt_segments = segments,
                               .fingerprint = this->last_request});
    return id;
  }

  /// Crashes targets at the same moment, for a reason of their own.
  /// @param count the first ones, by their ids.
  void CrashTogether(std::size_t count) {
    for (Target& target :
         this->targets | std::views::values | std::views::take(count)) {
      if (target.is_up) {
        this->Crash(target);
      }
    }
  }

  /// @return whether a target has begun to answer the sound request.
  bool HasBegun(const RequestId& id) const { return this->begun.contains(id); }

  /// @return the deadly requests that reached a target later than `delay` after
  /// the fifth crash.
  std::size_t DeadlyArrivalsAfterFifthCrash(Duration delay) const {
    if (this->crashes.size() < 5) {
      return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(
        this->deadly_arrivals,
        [&](TimePoint at) { return at > this->crashes[4] + delay; }));
  }

  /// @return the fraction of the sound requests sent since then that a target
  /// has begun to answer.
  double ServedFraction(TimePoint since) const {
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto& [id, at] : this->sound) {
      sent += at >= since ? 1 : 0;
      served += at >= since && this->begun.contains(id) ? 1 : 0;
    }
    return sent == 0 ? 0
                     : static_cast<double>(served) / static_cast<double>(sent);
  }

  /// @return how many sound requests were refused as poison requests.
  std::size_t SoundRequestsBlocked() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->simulation.refusals, [&](const auto& item) {
          return item.second == ErrorKind::kPoisonRequest &&
                 this->sound.contains(item.first);
        }));
  }

  std::vector<TimePoint> crashes;
  /// Deadly requests crash targets after the first bytes of the response.
  bool is_deadly_after_bytes = false;

 private:
  struct Attempt {
    HostId host;
    RequestId request;
    AttemptNumber attempt;
    std::uint64_t response_bytes = 0;
    TimePoint begun_at{};
  };
  struct Target {
    TargetRecord record;
    bool is_up = true;
    std::map<std::uint64_t, Attempt> running;
  };

  void Announce(const Target& target) {
    this->simulation.FeedAll(FleetEvent(TargetUpdated{
        .record = std::make_shared<const TargetRecord>(target.record)}));
  }

  void Run(const HostId& host, const Dispatch& dispatch) {
    Target& target = this->targets.at(dispatch.target);
    const Attempt attempt{
        .host = host, .request = dispatch.request, .attempt = dispatch.attempt};
    if (!target.is_up) {
      this->simulation.Schedule(milliseconds(1), [this, attempt] {
        this->End(attempt, AttemptOutcome::kNotSent);
      });
      return;
    }
    const std::uint64_t number = ++this->last_attempt;
    target.running.emplace(number, attempt);
    if (this->deadly.contains(dispatch.request)) {
      this->deadly_arrivals.push_back(this->simulation.Now());
    }
    this->simulation.Schedule(kFirstByteTime, [this, &target, number] {
      this->BeginResponse(target, number);
    });
    this->simulation.Schedule(kRunTime, [this, &target, number] {
      const auto found = target.running.find(number);
      if (found != target.running.end()) {
        const Attempt ended = found->second;
        target.running.erase(found);
        this->End(ended, AttemptOutcome::kCompleted);
      }
    });
  }

  void BeginResponse(Target& target, std::uint64_t number) {
    const auto found = target.running.find(number);
    if (found == target.running.end()) {
      return;
    }
    Attempt& attempt = found->second;
    this->simulation.FeedEntry(attempt.host,
                               ResponseStarted{.request = attempt.request,
                                               .attempt = attempt.attempt});
    const bool is_deadly = this->deadly.contains(attempt.request);
    if (!is_deadly || this->is_deadly_after_bytes) {
      attempt.response_bytes = kFirstBytes;
      attempt.begun_at = this->simulation.Now();
    }
    if (is_deadly) {
      this->Crash(target);
      return;
    }
    this->begun.insert(attempt.request);
  }

  void Crash(Target& target) {
    this->crashes.push_back(this->simulation.Now());
    target.is_up = false;
    for (const auto& [number, attempt] : std::exchange(target.running, {})) {
      this->End(attempt, attempt.response_bytes != 0 ||
                                 this->deadly.contains(attempt.request)
                             ? AttemptOutcome::kBrokenDuringResponse
                             : AttemptOutcome::kBrokenBeforeResponse);
    }
    this->simulation.Schedule(kDownTime, [this, &target] {
      target.is_up = true;
      target.record.instance =
          TargetInstance(target.record.instance.value() + 1);
      this->Announce(target);
    });
  }

  void End(const Attempt& attempt, AttemptOutcome outcome) {
    this->simulation.FeedEntry(
        attempt.host, AttemptEnded{.request = attempt.request,
                                   .attempt = attempt.attempt,
                                   .outcome = outcome,
                                   .response_bytes = this->BytesOf(attempt)});
  }

  // One byte each millisecond.
  std::uint64_t BytesOf(const Attempt& attempt) const {
    const auto streaming = std::chrono::duration_cast<milliseconds>(
        this->simulation.Now() - attempt.begun_at);
    return attempt.response_bytes == 0
               ? 0
               : attempt.response_bytes +
                     static_cast<std::uint64_t>(streaming.count());
  }

  static constexpr std::uint64_t kFirstBytes = 50;

  HostsSimulation& simulation;
  std::map<TargetId, Target> targets;
  std::map<RequestId, TimePoint> sound;   ///< By the time they were sent.
  std::map<RequestId, TimePoint> deadly;  ///< By the time they were sent.
  std::set<RequestId> begun;              ///< Targets have sent response bytes.
  std::vector<TimePoint> deadly_arrivals;
  std::uint64_t last_request = 0;
  std::uint64_t last_attempt = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_SIMULATED_TARGETS_H_
