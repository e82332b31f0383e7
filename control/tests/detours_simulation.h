#ifndef CICADALOFT_CONTROL_TESTS_DETOURS_SIMULATION_H_
#define CICADALOFT_CONTROL_TESTS_DETOURS_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/entry/event_names.h"
#include "hosts_simulation.h"

namespace cicadaloft {

/// What becomes of the connections between a host and all targets.
enum class LinkCut {
  kHangs,    ///< Half of the new attempts find an open connection that hangs.
  kResets,   ///< Attempts break, those that run as well.
  kRefuses,  ///< No new connection is made; what runs goes on.
};

/// Requests of callers to hosts of which some are cut off from all targets.
class DetoursSimulation {
 public:
  static constexpr Duration kFirstByteTime = milliseconds(80);
  static constexpr Duration kRunTime = milliseconds(400);
  static constexpr Duration kConnectTimeout = milliseconds(300);
  static constexpr Duration kCallerTimeout = seconds(3);

  struct Counts {
    std::size_t sent = 0;
    std::size_t served = 0;
    double Fraction() const {
      return this->sent == 0 ? 0
                             : static_cast<double>(this->served) /
                                   static_cast<double>(this->sent);
    }
  };

  DetoursSimulation(std::size_t hosts, std::size_t targets)
      : simulation(hosts, SharedLimit{.rate_per_second = 4e6, .burst = 4e6}) {
    this->simulation.run_attempt = [this](const HostId& host,
                                          const Dispatch& dispatch) {
      this->Run(host, dispatch);
    };
    this->simulation.reaches_target = [this](const HostId& host,
                                             const TargetId&) {
      return !this->cut_hosts.contains(host);
    };
    this->simulation.on_entry_effect = [this](const HostId& host,
                                              const EntryEffect& effect) {
      if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        this->Cancel(host, *cancel);
      } else if (const auto* record = std::get_if<DecisionRecord>(&effect)) {
        this->detours += record->event == event_names::kDetour ? 1 : 0;
      }
    };
    this->simulation.RunFor(seconds(10));
    this->simulation.FeedAll(
        FleetEvent(TargetRemoved{MakeSimulatedTarget().id}));
    for (std::size_t i = 0; i < targets; ++i) {
      TargetRecord record = MakeSimulatedTarget();
      record.id = TargetId("t" + std::to_string(i));
      record.slots = 100;
      this->simulation.FeedAll(FleetEvent(TargetUpdated{
          .record = std::make_shared<const TargetRecord>(record)}));
    }
    this->simulation.RunFor(seconds(1));
  }

  /// Cuts hosts off from all targets; the store and the other hosts still reach
  /// them.
  void CutOff(const std::set<HostId>& hosts, LinkCut kind) {
    this->cut_hosts = hosts;
    this->cut = kind;
    if (kind == LinkCut::kRefuses) {
      return;
    }
    for (const auto& [key, attempt] : this->running) {
      if (hosts.contains(attempt.host)) {
        if (kind == LinkCut::kResets) {
          this->EndLater(attempt, AttemptOutcome::kBrokenBeforeResponse,
                         milliseconds(1));
        }
      }
    }
    std::erase_if(this->running, [&](const auto& entry) {
      return hosts.contains(entry.second.host);
    });
  }
  void EndCut() { this->cut_hosts.clear(); }

  /// Sends requests to random hosts.
  void SendRequestsFor(Duration time, double per_second) {
    std::exponential_distribution<double> interarrival(per_second);
    std::uniform_int_distribution<std::size_t> index(
        0, this->simulation.HostCount() - 1);
    const TimePoint end = this->simulation.Now() + time;
    while (this->simulation.Now() < end) {
      this->simulation.RunFor(
          FromSeconds(interarrival(this->simulation.random)));
      const HostId host("h" + std::to_string(index(this->simulation.random)));
      const RequestId id("r" + std::to_string(++this->last_number));
      this->callers.emplace(id, host);
      ++this->CountsOf(host).sent;
      this->simulation.FeedEntry(host, MakeRequest(id));
    }
  }
  /// Only requests that are sent from now on are counted.
  void ResetCounts() {
    this->cut_off = {};
    this->others = {};
    this->detours = 0;
    this->callers.clear();
  }

  HostsSimulation simulation;
  Counts cut_off;  ///< First tries at hosts that are cut off.
  Counts others;
  std::size_t detours = 0;

 private:
  struct Attempt {
    HostId host;
    RequestId request;
    AttemptNumber attempt;
  };

  static RequestArrived MakeRequest(const RequestId& id) {
    return RequestArrived{
        .request = id,
        .caller_request_id = id,
        .credential = "key",
        .destination = ByHostAndPath{.host = "h", .path = "/x"},
        .tokens = 1,
        .timeout = kCallerTimeout};
  }

  Counts& CountsOf(const HostId& host) {
    return this->cut_hosts.contains(host) ? this->cut_off : this->others;
  }

  void Run(const HostId& host, const Dispatch& dispatch) {
    const Attempt attempt{
        .host = host, .request = dispatch.request, .attempt = dispatch.attempt};
    if (!this->cut_hosts.contains(host)) {
      this->Respond(attempt);
      return;
    }
    switch (this->cut) {
      case LinkCut::kHangs:
        if (std::bernoulli_distribution(0.5)(this->simulation.random)) {
          this->EndLater(attempt, AttemptOutcome::kNotSent, kConnectTimeout);
        }
        break;
      case LinkCut::kResets:
        this->EndLater(attempt, AttemptOutcome::kBrokenBeforeResponse,
                       milliseconds(1));
        break;
      case LinkCut::kRefuses:
        this->EndLater(attempt, AttemptOutcome::kNotSent, milliseconds(1));
        break;
    }
  }

  void Respond(const Attempt& attempt) {
    const std::size_t key = ++this->last_number;
    this->running.emplace(key, attempt);
    this->simulation.Schedule(kFirstByteTime, [this, key, attempt] {
      if (this->running.contains(key)) {
        this->OnStart(attempt);
      }
    });
    this->simulation.Schedule(kRunTime, [this, key, attempt] {
      if (this->running.erase(key) > 0) {
        this->End(attempt, AttemptOutcome::kCompleted);
      }
    });
  }

  void OnStart(const Attempt& attempt) {
    this->simulation.FeedEntry(attempt.host,
                               ResponseStarted{.request = attempt.request,
                                               .attempt = attempt.attempt});
    const auto caller = this->callers.find(attempt.request);
    if (caller != this->callers.end()) {
      ++this->CountsOf(caller->second).served;
    }
  }

  void Cancel(const HostId& host, const CancelAttempt& cancel) {
    std::erase_if(this->running, [&](const auto& entry) {
      return entry.second.host == host &&
             entry.second.request == cancel.request &&
             entry.second.attempt == cancel.attempt;
    });
    this->EndLater(
        Attempt{
            .host = host, .request = cancel.request, .attempt = cancel.attempt},
        AttemptOutcome::kCancelled, Duration::zero());
  }

  void EndLater(const Attempt& attempt,
                AttemptOutcome outcome,
                Duration delay) {
    this->simulation.Schedule(
        delay, [this, attempt, outcome] { this->End(attempt, outcome); });
  }

  void End(const Attempt& attempt, AttemptOutcome outcome) {
    this->simulation.FeedEntry(attempt.host,
                               AttemptEnded{.request = attempt.request,
                                            .attempt = attempt.attempt,
                                            .outcome = outcome});
  }

  std::set<HostId> cut_hosts;
  LinkCut cut = LinkCut::kHangs;
  std::map<std::size_t, Attempt> running;
  std::map<RequestId, HostId> callers;
  std::size_t last_number = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_DETOURS_SIMULATION_H_
