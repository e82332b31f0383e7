#ifndef CICADALOFT_CONTROL_TESTS_STORE_CALLS_SIMULATION_H_
#define CICADALOFT_CONTROL_TESTS_STORE_CALLS_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "cicadaloft/relay/relay_intervals.h"
#include "hosts_simulation.h"
#include "simulated_follower.h"
#include "simulated_topic.h"

namespace cicadaloft {

/// Hosts that follow the registry and the operator's topic, and targets whose
/// heartbeats fill the registry. Counts the calls of the store.
class StoreCallsSimulation {
 public:
  static constexpr Duration kDrainTime = 10 * kDefaultRelayInterval;
  static constexpr int kTargets = 93;
  static constexpr Duration kHeartbeat = milliseconds(1200);
  /// Of a target's record without what only the lease holder needs.
  static constexpr std::size_t kRecordBytes = 600;
  /// One in so many heartbeats comes with a change.
  static constexpr int kHeartbeatsPerChange = 10;

  explicit StoreCallsSimulation(std::size_t count) : hosts(count) {
    this->hosts.SetStoreEra(this->registry.era);
    this->hosts.on_effect = [this](const HostId& host,
                                   const ControlEffect& effect) {
      this->OnEffect(host, effect);
    };
    for (std::size_t i = 0; i < count; ++i) {
      const HostId id("h" + std::to_string(i));
      this->Add(id, this->registry, RegistryReadSettings(kDrainTime, id));
      this->Add(id, this->operator_topic, OperatorReadSettings(kDrainTime, id));
    }
    for (int target = 0; target < kTargets; ++target) {
      this->hosts.Schedule(kHeartbeat * target / kTargets,
                           [this, target] { this->Beat(target, 0); });
    }
  }

  /// Writes a small record, such as an evacuation.
  void WriteOperatorRecord(const std::string& value = "v") {
    this->operator_topic.Write("k", value, this->hosts.Now());
  }

  /// Targets' heartbeats are lost meanwhile.
  void TakeStoreAway() {
    this->registry.GoAway();
    this->operator_topic.GoAway();
  }
  /// The store comes back as it was at the last call of CopyStore().
  void BringStoreBack() {
    this->registry.ComeBack(this->registry_copy);
    this->operator_topic.ComeBack(this->operator_copy);
    this->hosts.SetStoreEra(this->registry.era);
  }
  void CopyStore() {
    this->registry_copy = this->registry.End();
    this->operator_copy = this->operator_topic.End();
  }

  /// @return the running hosts that don't know all that the store has now.
  std::size_t CountHostsBehind() {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->followers, [this](const auto& entry) {
          const SimulatedFollower& follower = *entry.second;
          const bool is_operator_topic =
              entry.first.second == this->operator_topic.name;
          const bool is_known =
              is_operator_topic
                  ? follower.IsUpToDate() &&
                        follower.newest_value() ==
                            this->operator_topic.records.back().value
                  : follower.HasReached(this->registry.era);
          return this->hosts.IsRunning(entry.first.first) && !is_known;
        }));
  }

  /// @return the calls of the store per second and host in this time.
  double CallRateFor(Duration time) {
    const std::size_t before = this->Calls();
    this->hosts.RunFor(time);
    const std::chrono::duration<double> seconds = time;
    return static_cast<double>(this->Calls() - before) / seconds.count() /
           static_cast<double>(this->hosts.HostCount());
  }

  /// @param except a host that didn't run, or couldn't call the store.
  /// @return the highest age at which a record became known on a host that
  /// follows the holder, since the last call.
  Duration TakeHighestAge(const HostId& except = {}) {
    Duration highest{};
    for (const SimulatedHost* host : this->hosts.Followers()) {
      if (host->id == except) {
        continue;
      }
      for (auto* topic : {&this->registry, &this->operator_topic}) {
        highest = std::max(
            highest,
            this->followers.at({host->id, topic->name})->TakeHighestAge());
      }
    }
    return highest;
  }

  HostsSimulation hosts;

 private:
  void Add(const HostId& host,
           SimulatedTopic& topic,
           const RelayedStoreSettings& settings) {
    auto follower =
        std::make_unique<SimulatedFollower>(this->hosts, topic, host, settings);
    follower->Start();
    this->followers.emplace(std::pair(host, topic.name), std::move(follower));
  }

  void Beat(int target, int number) {
    std::string value(kRecordBytes, 'r');
    value += std::to_string((number + target) / kHeartbeatsPerChange);
    if (!this->registry.is_away) {
      this->registry.Write(std::to_string(target), std::move(value),
                           this->hosts.Now());
    }
    this->hosts.Schedule(
        kHeartbeat, [this, target, number] { this->Beat(target, number + 1); });
  }

  void OnEffect(const HostId& host, const ControlEffect& effect) {
    if (const auto* received = std::get_if<RelayReceived>(&effect)) {
      this->followers.at({host, received->topic.topic})->OnInput(*received);
    } else if (const auto* role = std::get_if<RelayRole>(&effect)) {
      this->followers.at({host, this->registry.name})->OnInput(*role);
      this->followers.at({host, this->operator_topic.name})->OnInput(*role);
    } else if (const auto* reread = std::get_if<RereadTopics>(&effect)) {
      this->followers.at({host, this->registry.name})->OnReread(*reread);
      this->followers.at({host, this->operator_topic.name})->OnReread(*reread);
    } else if (std::holds_alternative<ReadLeaseLog>(effect) ||
               std::holds_alternative<AppendLeaseRecord>(effect)) {
      ++this->lease_calls;
    }
  }

  std::size_t Calls() const {
    std::size_t calls = this->lease_calls;
    for (const auto& [key, follower] : this->followers) {
      calls += follower->calls;
    }
    return calls;
  }

  SimulatedTopic registry{"registry"};
  SimulatedTopic operator_topic{"operator"};
  LogOffset registry_copy;
  LogOffset operator_copy;
  std::map<std::pair<HostId, std::string>, std::unique_ptr<SimulatedFollower>>
      followers;
  std::size_t lease_calls = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_STORE_CALLS_SIMULATION_H_
