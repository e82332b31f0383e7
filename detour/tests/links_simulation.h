#ifndef CICADALOFT_DETOUR_TESTS_LINKS_SIMULATION_H_
#define CICADALOFT_DETOUR_TESTS_LINKS_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/detour/target_reachability.h"

namespace cicadaloft {

/// What becomes of connections to targets.
enum class Cut {
  kNone,
  kHangs,               ///< No connection is made within the time limit.
  kHangsWhenConnected,  ///< Requests go out on open ones, and nothing comes.
  kResets,              ///< Open connections are reset.
  kRefuses,             ///< New ones are refused at once.
  kRefusesNewOnly,      ///< Half of the requests find an open one that lives.
};

/// Requests of one host to its targets, over links that can be cut.
class LinksSimulation {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
  static constexpr Duration kRoundTrip = std::chrono::milliseconds(2);

  /// @param count targets, of two services in two data centres.
  /// @param per_second requests, at even intervals.
  LinksSimulation(std::size_t count, double per_second, unsigned seed)
      : random(seed), per_second(per_second) {
    for (std::size_t i = 0; i < count; ++i) {
      this->targets.push_back(
          Target{.candidate = {
                     .target = TargetId("t" + std::to_string(i)),
                     .address = std::to_string(i),
                     .service = ServiceId(i % 4 < 2 ? "a" : "b"),
                     .data_centre = DataCentreId(i % 2 == 0 ? "dc0" : "dc1")}});
    }
    this->state.SetTargetCount(count);
  }

  /// Sets what becomes of the connections to all targets.
  void CutOff(Cut kind) { this->cut = kind; }
  /// Kills targets; to this host that looks as if the links to them were cut.
  void Kill(std::size_t count, Cut kind) {
    for (std::size_t i = 0; i < count; ++i) {
      this->targets.at(i).cut = kind;
    }
  }
  void KillDataCentre(const DataCentreId& id) {
    for (Target& target : this->targets) {
      if (target.candidate.data_centre == id) {
        target.cut = Cut::kResets;
      }
    }
  }
  void RemoveTargets() {
    this->targets.clear();
    this->state.SetTargetCount(0);
  }

  void RunFor(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;) {
      this->Step();
    }
  }
  /// @return the time until the state is reached; none if it isn't in time.
  std::optional<Duration> RunUntil(TargetLinks links, Duration limit) {
    const TimePoint begin = this->now;
    while (this->now - begin <= limit) {
      if (this->state.links() == links) {
        return this->now - begin;
      }
      this->Step();
    }
    return std::nullopt;
  }

  TargetReachability state;
  Duration first_byte_time = std::chrono::milliseconds(200);
  bool answers_probes = true;
  std::size_t probe_count = 0;
  /// Requests go to targets of this data centre only, if it is set.
  std::optional<DataCentreId> uses_only;

 private:
  struct Target {
    ProbeCandidate candidate;
    Cut cut = Cut::kNone;
  };

  void Step() {
    this->now += kStep;
    while (!this->scheduled.empty() &&
           this->scheduled.begin()->first <= this->now) {
      const auto action = std::move(this->scheduled.begin()->second);
      this->scheduled.erase(this->scheduled.begin());
      action();
    }
    this->due +=
        this->per_second * std::chrono::duration<double>(kStep).count();
    for (; this->due >= 1 && !this->targets.empty(); this->due -= 1) {
      if (this->state.links() != TargetLinks::kLost) {
        this->Send(0);
      }
    }
    if (this->state.IsProbeDue(this->now)) {
      this->Probe();
    }
  }

  Cut CutOf(const Target& target) const {
    return target.cut != Cut::kNone ? target.cut : this->cut;
  }

  Target& DrawTarget() {
    while (true) {
      Target& target =
          this->targets.at(std::uniform_int_distribution<std::size_t>(
              0, this->targets.size() - 1)(this->random));
      if (!this->uses_only ||
          target.candidate.data_centre == *this->uses_only) {
        return target;
      }
    }
  }

  // A request that was not sent goes to another target, three times at most.
  void Send(int attempt) {
    constexpr int kMaxAttempts = 3;
    if (attempt == kMaxAttempts || this->targets.empty()) {
      return;
    }
    const Target& target = this->DrawTarget();
    const RequestId request("r" + std::to_string(++this->last_request));
    const TargetId id = target.candidate.target;
    this->state.OnSent(request, id, this->now);
    const auto fail = [=, this](LinkFailure failure) {
      this->state.OnFailure(request, id, failure, this->now);
      if (failure == LinkFailure::kNotConnected) {
        this->Send(attempt + 1);
      }
    };
    const auto answer = [=, this] {
      this->state.OnSign(request, id, this->now);
    };
    switch (this->CutOf(target)) {
      case Cut::kNone:
        this->Schedule(this->first_byte_time, answer);
        break;
      case Cut::kHangs:
        this->Schedule(kConnectTimeout,
                       [=] { fail(LinkFailure::kNotConnected); });
        break;
      case Cut::kHangsWhenConnected:
        break;
      case Cut::kResets:
        this->Schedule(kRoundTrip, [=] { fail(LinkFailure::kBroken); });
        break;
      case Cut::kRefuses:
        this->Schedule(kRoundTrip, [=] { fail(LinkFailure::kNotConnected); });
        break;
      case Cut::kRefusesNewOnly:
        if (std::bernoulli_distribution(0.5)(this->random)) {
          this->Schedule(this->first_byte_time, answer);
        } else {
          this->Schedule(kRoundTrip, [=] { fail(LinkFailure::kNotConnected); });
        }
        break;
    }
  }

  void Probe() {
    std::vector<ProbeCandidate> candidates;
    std::ranges::transform(this->targets, std::back_inserter(candidates),
                           &Target::candidate);
    for (const ProbeTarget& probe :
         this->state.StartProbes(std::move(candidates), this->now)) {
      ++this->probe_count;
      if (this->answers_probes) {
        this->Answer(probe.target);
      }
    }
  }

  void Answer(const TargetId& id) {
    Cut kind = Cut::kNone;
    for (const Target& target : this->targets) {
      kind = target.candidate.target == id ? this->CutOf(target) : kind;
    }
    const bool hangs = kind == Cut::kHangs || kind == Cut::kHangsWhenConnected;
    this->Schedule(hangs ? kTargetProbeTimeout : kRoundTrip, [=, this] {
      this->state.OnProbed(
          TargetProbed{.target = id, .is_reached = kind == Cut::kNone},
          this->now);
    });
  }

  void Schedule(Duration delay, std::function<void()> action) {
    this->scheduled.emplace(this->now + delay, std::move(action));
  }

  std::mt19937 random;
  double per_second;
  double due = 0;
  TimePoint now{std::chrono::seconds(1000)};
  Cut cut = Cut::kNone;
  std::vector<Target> targets;
  std::multimap<TimePoint, std::function<void()>> scheduled;
  std::size_t last_request = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DETOUR_TESTS_LINKS_SIMULATION_H_
