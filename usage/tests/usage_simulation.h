#ifndef CICADALOFT_USAGE_TESTS_USAGE_SIMULATION_H_
#define CICADALOFT_USAGE_TESTS_USAGE_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/lease/lease_state.h"
#include "cicadaloft/usage/usage_state.h"
#include "simulated_platform.h"
#include "simulated_store.h"

namespace cicadaloft {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One host: the lease, usage reports and links, over all its processes.
struct SimulatedUsageHost {
  HostId id;
  std::uint64_t process = 0;
  std::optional<LeaseState> lease;
  std::optional<UsageState> usage;
  bool is_alive = false;
  bool is_frozen = false;
  std::vector<std::function<void()>> held_back;  ///< While it is frozen.
  bool is_cut_from_store = false;
  bool is_cut_from_hosts = false;
  Duration clock_error{};
  std::optional<LeaseRecord> holder;  ///< To which it wants a link.
  bool has_link = false;              ///< To the holder.
  bool is_holder = false;             ///< By its own lease.
  std::uint32_t rate = 10;            ///< Requests of each customer in 100 ms.
};

/// Simulates the lease and usage reports of many hosts on a virtual clock, with
/// links, a store and the platform.
class UsageSimulation {
 public:
  static constexpr Duration kDelay = milliseconds(2);
  static constexpr Duration kSilence = milliseconds(2200);
  static constexpr Duration kStoreTimeout = milliseconds(1500);
  static constexpr Duration kTick = milliseconds(20);
  static constexpr Duration kRequestInterval = milliseconds(100);
  /// Wall time minus the time of events.
  static constexpr Duration kWallOffset = std::chrono::hours(490'000);

  explicit UsageSimulation(std::size_t count, unsigned seed = 1)
      : random(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      auto host = std::make_unique<Host>();
      host->id = HostId("h" + std::to_string(i));
      this->hosts.push_back(std::move(host));
      this->Start(i);
    }
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (!this->actions.empty() && this->actions.begin()->first <= end) {
      auto action = this->actions.extract(this->actions.begin());
      this->now = action.key();
      action.mapped()();
    }
    this->now = end;
  }

  /// Starts a process of a host.
  void Start(std::size_t index) {
    Host& host = *this->hosts.at(index);
    ++host.process;
    host.is_alive = true;
    host.is_frozen = false;
    host.held_back.clear();
    host.holder.reset();
    host.has_link = false;
    host.is_holder = false;
    host.lease.emplace(LeaseSettings{
        .self = host.id,
        .address = "10.0.0.1:1",
        .secret = host.id.value() + "." + std::to_string(host.process),
        .is_first_start = host.process == 1,
        .follows_log_while_stopping = true});
    host.usage.emplace(UsageSettings{.host = host.id, .process = host.process});
    const Duration phase =
        kTick * static_cast<int>(index) / static_cast<int>(this->hosts.size());
    this->Schedule(phase, [this, &host, process = host.process] {
      this->Tick(host, process);
      this->SendRequests(host, process);
      this->SendHeartbeats(host, process);
    });
  }

  /// Ends a process at once.
  void Kill(std::size_t index) {
    Host& host = *this->hosts.at(index);
    host.is_alive = false;
    host.is_frozen = false;
    host.held_back.clear();
    this->CloseLinksOf(host, kDelay);
  }

  /// Lets a holder release the lease, as a process does that stops, and starts
  /// a new process later.
  void Release(std::size_t index) {
    Host& host = *this->hosts.at(index);
    this->FeedLease(host, LeaseStop{});
    this->Schedule(seconds(4), [this, index] {
      this->Kill(index);
      this->Start(index);
    });
  }

  /// Pauses a process; its links are closed by the others' timeouts.
  void Freeze(std::size_t index) {
    Host& host = *this->hosts.at(index);
    host.is_frozen = true;
    this->Schedule(kSilence, [this, &host, process = host.process] {
      if (host.is_frozen && host.process == process) {
        this->CloseLinksOf(host, Duration::zero());
      }
    });
  }
  void Resume(std::size_t index) {
    Host& host = *this->hosts.at(index);
    host.is_frozen = false;
    for (auto& action : std::exchange(host.held_back, {})) {
      action();
    }
  }

  /// Cuts a host off from all others, or connects it again.
  void CutFromHosts(std::size_t index, bool is_cut) {
    Host& host = *this->hosts.at(index);
    host.is_cut_from_hosts = is_cut;
    if (is_cut) {
      this->Schedule(kSilence, [this, &host] {
        if (host.is_cut_from_hosts) {
          this->CloseLinksOf(host, Duration::zero());
        }
      });
    }
  }

  /// @return the index of the host of the newest lease record, if any.
  std::optional<std::size_t> Holder() const {
    if (this->lease_log.All().empty()) {
      return std::nullopt;
    }
    return this->IndexOf(this->lease_log.All().back().holder);
  }

  SimulatedUsageHost& At(std::size_t index) { return *this->hosts.at(index); }
  TimePoint Now() const { return this->now; }
  Duration WallTime() const {
    return this->now.time_since_epoch() + kWallOffset;
  }
  UsageWindow CurrentWindow() const {
    return WindowAt(this->WallTime(), UsageSettings{}.window);
  }
  /// @return when the report of a window is due.
  TimePoint DueAt(UsageWindow window) const {
    return TimePoint(WindowBegin(window.Next(), UsageSettings{}.window) +
                     UsageSettings{}.delay - kWallOffset);
  }

  SimulatedPlatform platform;
  SimulatedLog<LeaseRecord> lease_log;
  SimulatedLog<UsageRecord> usage_log;
  /// Requests that truly began to run, by true time.
  std::map<UsageWindow, UsageByCustomer> true_counts;
  /// Called when an append to the usage topic was written, and when a report
  /// was accepted, before the host learns it.
  std::function<void(std::size_t)> on_append;
  std::function<void(std::size_t)> on_report;
  /// Called when a host begins to connect for a report.
  std::function<void(std::size_t)> on_connect;
  void CopyStore() { this->usage_copy = this->usage_log; }
  /// The topic of windows comes back as it was at the last CopyStore(). The
  /// lease is left out.
  void StepBack() {
    this->usage_log = this->usage_copy;
    this->era = StoreEra(this->era.value() + 1);
  }

  StoreEra era;  ///< 0: the store states none.
  SimulatedLog<UsageRecord> usage_copy;
  /// Appends take effect without an answer.
  bool loses_append_answers = false;
  bool loses_appends = false;  ///< They have no effect and no answer.
  /// Time until an append takes effect, perhaps long after its timeout.
  Duration append_delay{};
  /// Time until the first byte of a call to the platform is sent.
  Duration connect_time = milliseconds(1);
  std::vector<DecisionRecord> log;

 private:
  using Host = SimulatedUsageHost;

  void Schedule(Duration delay, std::function<void()> action) {
    this->actions.emplace(this->now + delay, std::move(action));
  }

  std::size_t IndexOf(const HostId& id) const {
    return static_cast<std::size_t>(std::stoul(id.value().substr(1)));
  }

  /// Runs an action of this process, once it isn't frozen.
  void RunAt(Host& host, std::uint64_t process, std::function<void()> action) {
    if (!host.is_alive || host.process != process) {
      return;
    }
    if (host.is_frozen) {
      host.held_back.push_back(std::move(action));
    } else {
      action();
    }
  }
  void ScheduleAt(Host& host, Duration delay, std::function<void()> action) {
    this->Schedule(delay, [this, &host, process = host.process,
                           action = std::move(action)] {
      this->RunAt(host, process, action);
    });
  }

  void Tick(Host& host, std::uint64_t process) {
    this->RunAt(host, process, [this, &host, process] {
      this->FeedUsage(host, WallClockRead{.since_1970 = this->WallTime() +
                                                        host.clock_error});
      this->FeedLease(host, LeaseTick{});
      this->FeedUsage(host, UsageTick{.host_count = static_cast<std::uint32_t>(
                                          this->hosts.size())});
      this->Schedule(kTick,
                     [this, &host, process] { this->Tick(host, process); });
    });
  }

  // Demand has waves of 40% in 12 s.
  void SendRequests(Host& host, std::uint64_t process) {
    this->RunAt(host, process, [this, &host, process] {
      const double phase =
          std::chrono::duration<double>(this->now.time_since_epoch()).count() /
          12 * 2 * 3.14159265;
      const auto count = static_cast<std::uint64_t>(
          std::llround(host.rate * (1 + 0.4 * std::sin(phase))));
      const UsageByCustomer counts = {{CustomerId("a"), count},
                                      {CustomerId("b"), 2 * count}};
      for (const auto& [customer, number] : counts) {
        this->true_counts[this->CurrentWindow()][customer] += number;
      }
      this->FeedUsage(host, RequestsStarted{.counts = counts});
      this->Schedule(kRequestInterval, [this, &host, process] {
        this->SendRequests(host, process);
      });
    });
  }

  void SendHeartbeats(Host& host, std::uint64_t process) {
    this->RunAt(host, process, [this, &host, process] {
      if (host.is_holder) {
        for (const auto& other : this->hosts) {
          if (other->has_link && other->holder->holder == host.id) {
            this->Deliver(host, *other, [this, id = host.id, to = other.get()] {
              this->FeedLease(*to, HolderHeartbeat{.holder = id});
            });
          }
        }
      }
      this->Schedule(seconds(1), [this, &host, process] {
        this->SendHeartbeats(host, process);
      });
    });
  }

  void FeedLease(Host& host, const LeaseEvent& event) {
    auto step = Decide(std::move(*host.lease), event, this->now);
    host.lease = std::move(step.state);
    for (const LeaseEffect& effect : step.effects) {
      std::visit([&](const auto& item) { this->Execute(host, item); }, effect);
    }
  }
  void FeedUsage(Host& host, const UsageEvent& event) {
    auto step = Decide(std::move(*host.usage), event, this->now);
    host.usage = std::move(step.state);
    for (const UsageEffect& effect : step.effects) {
      std::visit([&](const auto& item) { this->Execute(host, item); }, effect);
    }
  }

  // Each answer of the store states its era.
  void FeedEra(Host& host) {
    if (!host.is_cut_from_store) {
      this->FeedUsage(host, StoreEraSeen{.era = this->era});
    }
  }

  void Execute(Host& host, const ReadLeaseLog& read) {
    this->ScheduleAt(host, kDelay, [this, &host, read] {
      this->FeedEra(host);
      this->FeedLease(host,
                      host.is_cut_from_store
                          ? LeaseEvent(LeaseReadFailed{})
                          : LeaseEvent(ReadLog(this->lease_log, read.from)));
    });
  }
  void Execute(Host& host, const AppendLeaseRecord& append) {
    AppendLeaseRecord complete = append;
    complete.record.host_count = static_cast<std::uint32_t>(this->hosts.size());
    const TimePoint sent_at = this->now;
    this->Schedule(kDelay, [this, &host, complete, sent_at,
                            process = host.process] {
      const bool is_cut = host.is_cut_from_store;
      const bool is_written =
          !is_cut &&
          this->lease_log.Append(complete.expected_end, complete.record);
      this->RunAt(
          host, process, [this, &host, is_written, is_cut, complete, sent_at] {
            this->FeedEra(host);
            this->FeedLease(
                host, LeaseAppendEnded{
                          .outcome = is_written ? LeaseAppendOutcome::kWritten
                                     : is_cut   ? LeaseAppendOutcome::kRefused
                                                : LeaseAppendOutcome::kConflict,
                          .offset = complete.expected_end,
                          .sent_at = sent_at});
          });
    });
  }
  void Execute(Host& host, const HolderChanged& change) {
    this->FeedUsage(host, UsageHolderChanged{});
    if (host.has_link) {
      this->CloseLink(host, kDelay);
    }
    host.holder = change.record;
    if (change.record.holder != host.id) {
      this->Connect(host, host.process);
    }
  }
  void Execute(Host& host, const LeaseExtended& extended) {
    host.is_holder = true;
    this->FeedUsage(
        host, UsageTerm{.token = extended.token,
                        .valid_until = extended.valid_until,
                        .calls_allowed_from = extended.orders_allowed_from,
                        .host_count =
                            static_cast<std::uint32_t>(this->hosts.size())});
  }
  void Execute(Host& host, const LeaseLost&) {
    host.is_holder = false;
    this->FeedUsage(host, UsageTermEnded{});
  }
  void Execute(Host&, const DecisionRecord& record) {
    if (record.event != "usage.counted") {
      this->log.push_back(record);
    }
  }

  // Tries until there is a link or another holder.
  void Connect(Host& host, std::uint64_t process) {
    this->Schedule(milliseconds(300), [this, &host, process] {
      this->RunAt(host, process, [this, &host, process] {
        if (host.has_link || !host.holder || host.holder->holder == host.id) {
          return;
        }
        Host& holder = *this->hosts.at(this->IndexOf(host.holder->holder));
        const bool is_same_process =
            host.holder->secret ==
            holder.id.value() + "." + std::to_string(holder.process);
        if (!holder.is_alive || holder.is_frozen || host.is_cut_from_hosts ||
            holder.is_cut_from_hosts || !is_same_process) {
          this->Connect(host, process);
          return;
        }
        host.has_link = true;
        this->FeedUsage(holder,
                        UsageLinkChanged{.host = host.id, .is_up = true});
        this->FeedUsage(
            host, UsageLinkChanged{
                      .host = holder.id, .is_up = true, .is_to_holder = true});
        this->FeedLease(host, HolderHeartbeat{.holder = holder.id});
      });
    });
  }

  // Both ends see the end of the link after the delay.
  void CloseLink(Host& host, Duration delay) {
    host.has_link = false;
    Host& holder = *this->hosts.at(this->IndexOf(host.holder->holder));
    if (holder.is_alive) {
      this->ScheduleAt(holder, delay, [this, &holder, id = host.id] {
        this->FeedUsage(holder, UsageLinkChanged{.host = id});
      });
    }
    if (host.is_alive) {
      this->ScheduleAt(host, delay, [this, &host, id = holder.id] {
        this->FeedUsage(host,
                        UsageLinkChanged{.host = id, .is_to_holder = true});
        this->FeedLease(host, HolderDisconnected{});
        this->Connect(host, host.process);
      });
    }
  }
  void CloseLinksOf(Host& host, Duration delay) {
    for (const auto& other : this->hosts) {
      const bool is_linked =
          other->has_link &&
          (other.get() == &host || other->holder->holder == host.id);
      if (is_linked) {
        this->CloseLink(*other, delay);
      }
    }
  }

  void Deliver(Host& from, Host& to, std::function<void()> action) {
    if (!from.is_cut_from_hosts && !to.is_cut_from_hosts && to.is_alive) {
      this->ScheduleAt(to, kDelay, std::move(action));
    }
  }
  void Execute(Host& host, const SendUsageCounts& send) {
    if (!host.has_link) {
      return;
    }
    Host& holder = *this->hosts.at(this->IndexOf(host.holder->holder));
    this->Deliver(
        host, holder, [this, &holder, from = host.id, counts = send.counts] {
          this->FeedUsage(holder,
                          UsageCountsReceived{.from = from, .counts = counts});
        });
  }
  void Execute(Host& host, const CopyUsageCounts& copy) {
    for (const HostId& id : copy.hosts) {
      Host& to = *this->hosts.at(this->IndexOf(id));
      this->Deliver(
          host, to, [this, &to, from = host.id, counts = copy.counts] {
            this->FeedUsage(
                to, UsageCountsReceived{.from = from, .counts = counts});
          });
    }
  }
  void Execute(Host& host, const SendUsageClock& send) {
    Host& to = *this->hosts.at(this->IndexOf(send.host));
    this->Deliver(host, to, [this, &to, clock = send.clock] {
      this->FeedUsage(to, clock);
    });
  }

  void Execute(Host& host, const ReadUsageTopic&) {
    this->ScheduleAt(host, kDelay, [this, &host] {
      this->FeedEra(host);
      this->FeedUsage(host,
                      host.is_cut_from_store
                          ? UsageEvent(UsageTopicReadFailed{})
                          : UsageEvent(ReadNewest(this->usage_log, this->era)));
    });
  }
  void Execute(Host& host, const AppendUsageRecord& append) {
    if (this->loses_appends || this->append_delay >= kStoreTimeout) {
      this->ScheduleAt(host, kStoreTimeout, [this, &host] {
        this->FeedUsage(host, UsageAppendEnded{});
      });
    }
    if (!this->loses_appends) {
      this->Schedule(kDelay + this->append_delay,
                     [this, &host, append, process = host.process,
                      has_timed_out = this->append_delay >= kStoreTimeout] {
                       this->Write(host, process, append, has_timed_out);
                     });
    }
  }
  void Write(Host& host,
             std::uint64_t process,
             const AppendUsageRecord& append,
             bool has_timed_out) {
    const bool is_cut = host.is_cut_from_store;
    const bool is_written =
        !is_cut && this->usage_log.Append(append.expected_end, append.record);
    if (is_written && this->on_append) {
      this->on_append(this->IndexOf(host.id));
    }
    const UsageAppendOutcome outcome =
        this->loses_append_answers ? UsageAppendOutcome::kUnknown
        : is_written               ? UsageAppendOutcome::kWritten
        : is_cut                   ? UsageAppendOutcome::kRefused
                                   : UsageAppendOutcome::kConflict;
    if (!has_timed_out) {
      this->RunAt(host, process, [this, &host, outcome] {
        this->FeedEra(host);
        this->FeedUsage(host, UsageAppendEnded{.outcome = outcome});
      });
    }
  }

  // The first byte is sent after a connection has been made, if the lease is
  // still valid then.
  void Execute(Host& host, const SendUsageReport& report) {
    if (this->on_connect) {
      this->Schedule(Duration::zero(), [this, index = this->IndexOf(host.id)] {
        this->on_connect(index);
      });
    }
    this->ScheduleAt(host, this->connect_time, [this, &host, report] {
      if (this->platform.is_down || this->now >= report.valid_until) {
        this->EndReport(host, report, DutyCallOutcome::kNotSent);
        return;
      }
      this->Schedule(kDelay, [this, &host, report, process = host.process] {
        const DutyCallOutcome outcome =
            this->platform.OnReport(host.id, report, this->now);
        if (outcome == DutyCallOutcome::kAccepted && this->on_report) {
          this->on_report(this->IndexOf(host.id));
        }
        this->RunAt(host, process, [this, &host, report, outcome] {
          this->EndReport(host, report,
                          this->platform.loses_answers
                              ? DutyCallOutcome::kNoAnswer
                              : outcome);
        });
      });
    });
  }
  void EndReport(Host& host,
                 const SendUsageReport& report,
                 DutyCallOutcome outcome) {
    this->ScheduleAt(host, kDelay, [this, &host, report, outcome] {
      this->FeedUsage(host,
                      UsageReportEnded{.call = report, .outcome = outcome});
    });
  }
  void Execute(Host&, const CountUsageWindow& count) {
    ++this->outcomes[count.outcome];
  }

 public:
  std::map<UsageWindowOutcome, std::uint64_t> outcomes;
  std::mt19937 random;

 private:
  TimePoint now{seconds(1000)};
  std::multimap<TimePoint, std::function<void()>> actions;
  std::vector<std::unique_ptr<Host>> hosts;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_TESTS_USAGE_SIMULATION_H_
