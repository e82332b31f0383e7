#ifndef CICADALOFT_ENTRY_TESTS_BRITTLE_SIMULATION_H_
#define CICADALOFT_ENTRY_TESTS_BRITTLE_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/rendezvous.h"
#include "entry_fixture.h"

namespace cicadaloft {

/// Hosts with one service of brittle targets.
struct BrittleCase {
  std::size_t hosts = 6;
  std::size_t targets = 8;
  std::uint32_t slots = 4;
  std::uint32_t rejection_limit = 6;
  double callers_per_slot = 3;
  /// Hosts pass the targets' notices on to their entries.
  bool are_notices_heard = true;
  /// The late hosts are new; else they are restarted, and the others have
  /// counted them all the time.
  bool are_late_hosts_new = false;
  /// Whether hosts are told their position. Lease holders of an
  /// earlier version don't tell it.
  bool are_positions_told = true;
};

struct BrittleOutcome {
  int crashes = 0;
  int rejections = 0;
  /// Complete runs, relative to what all slots together could have run.
  double used_room = 0;
  /// Hosts with callers of which none was served.
  std::size_t unserved_hosts = 0;
};

/// Entries of many hosts on the virtual clock, whose callers send again as soon
/// as they are answered. Half of the hosts start late.
class BrittleSimulation {
 public:
  explicit BrittleSimulation(const BrittleCase& simulated)
      : simulated(simulated),
        hosts(simulated.hosts),
        targets(simulated.targets) {
    this->PublishFleet();
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      const bool is_late = i % 2 == 1;
      this->At(is_late ? kLateStart : kFirstStart,
               [this, i, is_late] { this->StartHost(i, is_late); });
    }
    const auto callers =
        static_cast<std::size_t>(simulated.callers_per_slot * simulated.slots *
                                 static_cast<double>(simulated.targets));
    for (std::size_t i = 0; i < callers; ++i) {
      const std::size_t host =
          StableHash("caller " + std::to_string(i)) % this->hosts.size();
      this->hosts[host].has_callers = true;
      const TimePoint start = host % 2 == 1 ? kLateStart : kFirstStart;
      this->At(start + this->Between(std::chrono::milliseconds(20),
                                     std::chrono::milliseconds(500)),
               [this, host] { this->Send(host); });
    }
  }

  /// Counts from the end of the stability window on.
  BrittleOutcome Run() {
    while (!this->events.empty() && this->events.begin()->first < kEnd) {
      const auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    BrittleOutcome outcome = this->outcome;
    const std::chrono::duration<double> time = kEnd - kCountedFrom;
    const std::chrono::duration<double> run_time = kMeanRunTime;
    outcome.used_room = this->complete_runs * run_time.count() /
                        (time.count() * this->simulated.slots *
                         static_cast<double>(this->simulated.targets));
    outcome.unserved_hosts = static_cast<std::size_t>(std::ranges::count_if(
        this->hosts,
        [](const Host& host) { return host.has_callers && host.served == 0; }));
    return outcome;
  }

 private:
  static constexpr TimePoint kFirstStart{std::chrono::seconds(1000)};
  static constexpr TimePoint kBrittleFrom =
      kFirstStart + std::chrono::seconds(1);
  static constexpr TimePoint kCountedFrom =
      kBrittleFrom + std::chrono::seconds(3);
  static constexpr TimePoint kLateStart =
      kCountedFrom + std::chrono::seconds(4);
  static constexpr TimePoint kEnd = kCountedFrom + std::chrono::seconds(12);
  static constexpr Duration kMeanRunTime = std::chrono::milliseconds(300);
  /// From the start of a run until its response arrives at the host.
  static constexpr Duration kReportAge = std::chrono::milliseconds(150);
  static constexpr Duration kTick = std::chrono::milliseconds(20);
  static constexpr Duration kOutage = std::chrono::seconds(3);
  /// When a host that has started learns how many there are.
  static constexpr Duration kGrantDelay = std::chrono::milliseconds(400);

  struct Host {
    std::optional<EntryState> state;
    bool has_callers = false;
    int served = 0;
  };
  struct Target {
    std::uint64_t instance = 1;
    bool is_down = false;
    std::uint32_t running = 0;
    std::deque<TimePoint> rejections;  ///< Of the last second.
  };

  void At(TimePoint time, std::function<void()> action) {
    this->events.emplace(time, std::move(action));
  }
  Duration Between(Duration from, Duration to) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        from.count(), to.count())(this->random));
  }
  Duration Transit() {
    return this->Between(std::chrono::milliseconds(1),
                         std::chrono::milliseconds(3));
  }

  void PublishFleet() {
    Fleet made;
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      TargetRecord record = MakeTarget("t" + std::to_string(i), "plain");
      record.slots = this->simulated.slots;
      record.instance = TargetInstance(this->targets[i].instance);
      made.targets[record.id] = std::make_shared<const TargetRecord>(record);
    }
    this->fleet = std::make_shared<const Fleet>(made);
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      if (this->hosts[i].state) {
        this->Feed(i, FleetChanged{.fleet = this->fleet});
      }
    }
  }

  static ActiveConfigurationPtr Configured() {
    Configuration value = MakeConfiguration(1)->value();
    value.customers[0].rate_per_second = 0;
    value.customers[0].burst = 0;
    return std::make_shared<const ActiveConfiguration>(value);
  }

  void StartHost(std::size_t index, bool is_late) {
    this->hosts[index].state.emplace(
        EntrySettings{.host = HostId("host-" + std::to_string(index)),
                      .data_centre = DataCentreId("dc"),
                      .is_first_start = !is_late});
    this->Feed(index, ConfigurationChanged{.configuration = Configured()});
    this->Feed(index, FleetChanged{.fleet = this->fleet});
    const auto all = static_cast<std::uint32_t>(this->hosts.size());
    const std::uint32_t first =
        this->simulated.are_late_hosts_new ? (all + 1) / 2 : all;
    if (!is_late) {
      this->Share(index, first);
    } else {
      this->Feed(index, SharesChanged{.host_count = first, .default_share = 1});
    }
    this->At(kLateStart + kGrantDelay +
                 this->Between({}, std::chrono::milliseconds(300)),
             [this, index, all] { this->Share(index, all); });
    this->Tick(index);
  }

  void Share(std::size_t index, std::uint32_t host_count) {
    // Hosts that start later have the positions after the others.
    const auto first = static_cast<std::uint32_t>((this->hosts.size() + 1) / 2);
    const auto number = static_cast<std::uint32_t>(index / 2);
    const auto position =
        this->simulated.are_positions_told
            ? std::optional(index % 2 == 0 ? number : first + number)
            : std::nullopt;
    this->Feed(
        index,
        SharesChanged{.host_count = host_count,
                      .host_position = position,
                      .position_count = host_count,
                      .positioned_since =
                          this->simulated.are_late_hosts_new && index % 2 == 1
                              ? kLateStart + kGrantDelay
                              : kFirstStart - std::chrono::seconds(60),
                      .default_share = 1});
  }

  void Tick(std::size_t index) {
    this->Feed(index, EntryTick{});
    this->At(this->now + kTick, [this, index] { this->Tick(index); });
  }

  void Feed(std::size_t index, const EntryEvent& event) {
    Host& host = this->hosts[index];
    auto step = Decide(std::move(*host.state), event, this->now);
    host.state = std::move(step.state);
    for (const EntryEffect& effect : step.effects) {
      if (const auto* dispatch = std::get_if<Dispatch>(&effect)) {
        this->At(this->now + this->Transit(),
                 [this, index, dispatch = *dispatch] {
                   this->Accept(index, dispatch);
                 });
      } else if (std::holds_alternative<Refuse>(effect)) {
        this->SendLater(index, std::chrono::milliseconds(250));
      }
    }
  }

  void SendLater(std::size_t index, Duration delay) {
    this->At(
        this->now + delay + this->Between({}, std::chrono::milliseconds(10)),
        [this, index] { this->Send(index); });
  }

  void Send(std::size_t index) {
    const RequestId id("r" + std::to_string(++this->request_count));
    this->Feed(index,
               RequestArrived{
                   .request = id,
                   .caller_request_id = id,
                   .credential = "key",
                   .destination = ByHostAndPath{.host = "h", .path = "/any/x"},
                   .timeout = std::chrono::seconds(4),
                   .fingerprint = this->request_count});
  }

  TargetLoad LoadOf(const Target& target) const {
    return {.running = target.running, .slots = this->simulated.slots};
  }
  TargetNotice Notice() const {
    const bool is_stated =
        this->simulated.are_notices_heard && this->now >= kBrittleFrom;
    return {.rejection_limit =
                is_stated ? std::optional(this->simulated.rejection_limit)
                          : std::nullopt};
  }

  void End(std::size_t index,
           const Dispatch& dispatch,
           AttemptOutcome outcome,
           const std::optional<TargetLoad>& load,
           const TargetNotice& notice) {
    const bool is_success = outcome == AttemptOutcome::kCompleted;
    this->At(this->now + this->Transit(), [=, this] {
      this->Feed(index, AttemptEnded{.request = dispatch.request,
                                     .attempt = dispatch.attempt,
                                     .outcome = outcome,
                                     .http_status = is_success ? 200
                                                    : load     ? 503
                                                               : 0,
                                     .load = load,
                                     .notice = notice});
      if (is_success) {
        this->hosts[index].served += this->now >= kLateStart ? 1 : 0;
        this->SendLater(index, std::chrono::milliseconds(1));
      }
    });
  }

  void Accept(std::size_t index, const Dispatch& dispatch) {
    const std::size_t number = std::stoul(dispatch.target.value().substr(1));
    Target& target = this->targets[number];
    const std::uint32_t may_wait =
        this->now < kCountedFrom ? this->simulated.slots / 2 : 0;
    if (target.is_down) {
      this->End(index, dispatch, AttemptOutcome::kNotSent, std::nullopt, {});
    } else if (target.running >= this->simulated.slots + may_wait) {
      this->End(index, dispatch, AttemptOutcome::kShed, this->LoadOf(target),
                this->Notice());
      this->OnRejection(number);
    } else {
      this->StartRun(index, dispatch, number);
    }
  }

  void OnRejection(std::size_t number) {
    Target& target = this->targets[number];
    if (this->now < kCountedFrom) {
      return;
    }
    ++this->outcome.rejections;
    target.rejections.push_back(this->now);
    while (target.rejections.front() <= this->now - std::chrono::seconds(1)) {
      target.rejections.pop_front();
    }
    if (target.rejections.size() <= this->simulated.rejection_limit) {
      return;
    }
    ++this->outcome.crashes;
    target = Target{.instance = target.instance + 1, .is_down = true};
    this->At(this->now + kOutage, [this, number] {
      this->targets[number].is_down = false;
      this->PublishFleet();
    });
  }

  void StartRun(std::size_t index,
                const Dispatch& dispatch,
                std::size_t number) {
    Target& target = this->targets[number];
    ++target.running;
    const auto instance = target.instance;
    const TargetLoad load = this->LoadOf(target);
    const Duration run_time =
        this->Between(kMeanRunTime / 2, kMeanRunTime * 3 / 2);
    const TargetNotice notice = this->Notice();
    if (run_time > kReportAge) {
      this->At(this->now + kReportAge, [=, this] {
        if (this->targets[number].instance == instance) {
          this->Feed(index, ResponseStarted{.request = dispatch.request,
                                            .attempt = dispatch.attempt,
                                            .load = load,
                                            .notice = notice});
        }
      });
    }
    this->At(this->now + run_time, [=, this] {
      Target& ended = this->targets[number];
      if (ended.instance != instance) {
        this->End(index, dispatch, AttemptOutcome::kBrokenBeforeResponse,
                  std::nullopt, {});
        if (run_time > kReportAge) {  // Else the entry tries again or refuses.
          this->SendLater(index, std::chrono::milliseconds(100));
        }
        return;
      }
      --ended.running;
      this->complete_runs += this->now >= kCountedFrom ? 1 : 0;
      this->End(index, dispatch, AttemptOutcome::kCompleted, load, notice);
    });
  }

  const BrittleCase simulated;
  TimePoint now = kFirstStart;
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<Host> hosts;
  std::vector<Target> targets;
  FleetPtr fleet;
  BrittleOutcome outcome;
  double complete_runs = 0;
  std::uint64_t request_count = 0;
  std::mt19937_64 random{1};  // NOLINT(bugprone-random-generator-seed)
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_TESTS_BRITTLE_SIMULATION_H_
