#define BOOST_TEST_MODULE lease_restore
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/lease/lease_state.h"
#include "restored_log.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(1000));
constexpr Duration kTick = milliseconds(100);
/// When the first fault of a schedule comes.
constexpr Duration kFirstFault = seconds(4);
/// A term may begin anew this long after the last fault.
constexpr Duration kMaxRecovery = seconds(12);
constexpr Duration kHeartbeatInterval = milliseconds(500);
constexpr Duration kOtherCallInterval = milliseconds(400);

/// What happens to a host.
enum class HostFault { kNone, kKilled, kPaused, kCutOff, kRestarted };
constexpr auto kHostFaults =
    std::to_array({HostFault::kNone, HostFault::kKilled, HostFault::kPaused,
                   HostFault::kCutOff, HostFault::kRestarted});

/// One combination of faults. Times are relative to each other as in Run().
struct Schedule {
  /// Of the first holder, before the store steps back.
  HostFault before = HostFault::kNone;
  Duration before_restore{};  ///< From that fault to the step back.
  Duration lost{};            ///< How old the copy is.
  Duration away{};            ///< How long the store is away.
  /// Of the host that is the holder when the store goes away.
  HostFault at_restore = HostFault::kNone;
  bool restarts_all = false;  ///< All hosts restart while the store is away.
  /// A second step back follows the first one's end by this time.
  std::optional<Duration> second;
  /// The last append before the step back is executed this long after it.
  std::optional<Duration> delayed_append;

  friend std::ostream& operator<<(std::ostream& out, const Schedule& s) {
    const auto ms = [](Duration time) {
      return std::chrono::duration_cast<milliseconds>(time).count();
    };
    return out << "before " << static_cast<int>(s.before) << " by "
               << ms(s.before_restore) << " ms, lost " << ms(s.lost)
               << ", away " << ms(s.away) << ", at restore "
               << static_cast<int>(s.at_restore) << (s.restarts_all ? "*" : "")
               << ", second " << (s.second ? ms(*s.second) : -1)
               << ", delayed append "
               << (s.delayed_append ? ms(*s.delayed_append) : -1);
  }
};

/// What a schedule has broken.
struct Findings {
  int lower_tokens = 0;
  int shared_tokens = 0;
  int early_orders = 0;
  bool has_recovered = false;

  bool IsSound() const {
    return this->lower_tokens == 0 && this->shared_tokens == 0 &&
           this->early_orders == 0 && this->has_recovered;
  }
};

class Host {
 public:
  Host(const std::string& name, bool is_first_start)
      : name(name), state(this->Settings(is_first_start)) {}

  void Restart() {
    ++this->process;
    this->state = LeaseState(this->Settings(false));
  }

  std::string name;
  int process = 1;
  LeaseState state;
  bool is_dead = false;
  TimePoint paused_until{};
  TimePoint cut_off_until{};
  TimePoint last_other_call_at{};

 private:
  LeaseSettings Settings(bool is_first_start) const {
    return LeaseSettings{.self = HostId(this->name),
                         .secret = this->name + std::to_string(this->process),
                         .is_first_start = is_first_start};
  }
};

/// Runs one schedule, and judges the orders that hosts may send.
class Run {
 public:
  explicit Run(const Schedule& schedule) : schedule(schedule) {}

  Findings Execute() {
    this->RunFor(kFirstFault);
    this->ApplyFault(schedule.before, this->Holder());
    if (schedule.before != HostFault::kNone) {
      this->RunFor(schedule.before_restore);
    }
    this->Restore();
    const TimePoint last_fault = this->now;
    const Duration pause = seconds(4);
    const std::size_t orders_before = this->order_count;
    this->RunFor(schedule.away + pause + kMaxRecovery);
    this->findings.has_recovered = this->order_count > orders_before &&
                                   this->last_order_at > last_fault + pause;
    return this->findings;
  }

 private:
  void Restore() {
    if (schedule.delayed_append) {
      this->is_next_append_delayed = true;
      this->RunFor(milliseconds(700));
      this->is_next_append_delayed = false;
    }
    Host* holder = this->Holder();
    this->log.Restore(schedule.lost, schedule.away, this->now);
    if (this->delayed) {
      this->delayed_until = this->now + *schedule.delayed_append;
    }
    if (schedule.restarts_all) {
      std::ranges::for_each(this->hosts, &Host::Restart);
    }
    this->ApplyFault(schedule.at_restore, holder);
    if (schedule.second) {
      this->RunFor(schedule.away + *schedule.second);
      this->log.Restore(schedule.lost, schedule.away, this->now);
    }
  }

  // The host that may send orders, or has the lease, or any that lives.
  Host* Holder() {
    const auto holds = [](const Host& host) {
      return !host.is_dead && host.state.token() != FencingToken();
    };
    const auto found = std::ranges::find_if(this->hosts, holds);
    return found == this->hosts.end() ? &this->hosts.back() : &*found;
  }

  void ApplyFault(HostFault fault, Host* host) {
    switch (fault) {
      case HostFault::kNone:
        break;
      case HostFault::kKilled:
        host->is_dead = true;
        break;
      case HostFault::kPaused:
        host->paused_until = this->now + seconds(4);
        break;
      case HostFault::kCutOff:
        host->cut_off_until = this->now + seconds(4);
        break;
      case HostFault::kRestarted:
        host->Restart();
        break;
    }
  }

  void RunFor(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += kTick) {
      if (this->delayed && this->now >= this->delayed_until) {
        this->log.Append(*this->delayed, this->now, this->now);
        this->delayed.reset();
      }
      for (Host& host : this->hosts) {
        if (!host.is_dead && this->now >= host.paused_until) {
          this->Tick(host);
        }
      }
    }
  }

  void Tick(Host& host) {
    const bool is_store_reachable =
        !this->log.IsAway(this->now) && this->now >= host.cut_off_until;
    if (is_store_reachable &&
        this->now - host.last_other_call_at >= kOtherCallInterval) {
      host.last_other_call_at = this->now;
      this->Feed(host, StoreEraSeen{.era = this->log.era()});
    }
    this->Feed(host, LeaseTick{});
    if (host.state.token() != FencingToken()) {
      this->SendHeartbeats(host);
    }
    if (host.state.MaySendOrders(this->now)) {
      this->RecordOrder(host);
    }
  }

  void SendHeartbeats(const Host& holder) {
    if (this->now - this->last_heartbeat_at < kHeartbeatInterval) {
      return;
    }
    this->last_heartbeat_at = this->now;
    for (Host& host : this->hosts) {
      const bool is_up = !host.is_dead && this->now >= host.paused_until;
      if (is_up && host.name != holder.name) {
        this->Feed(host, HolderHeartbeat{.holder = HostId(holder.name)});
      }
    }
  }

  void Feed(Host& host, const LeaseEvent& first) {
    std::deque<LeaseEvent> events = {first};
    while (!events.empty()) {
      auto step = Decide(std::move(host.state), events.front(), this->now);
      events.pop_front();
      host.state = std::move(step.state);
      for (const LeaseEffect& effect : step.effects) {
        if (const auto* read = std::get_if<ReadLeaseLog>(&effect)) {
          events.push_back(this->now < host.cut_off_until
                               ? LeaseEvent(LeaseReadFailed{})
                               : this->log.Read(read->from, this->now));
        } else if (const auto* append =
                       std::get_if<AppendLeaseRecord>(&effect)) {
          events.push_back(this->Append(host, *append));
        }
      }
    }
  }

  LeaseEvent Append(const Host& host, const AppendLeaseRecord& append) {
    if (this->now < host.cut_off_until) {
      return LeaseAppendEnded{.outcome = LeaseAppendOutcome::kRefused,
                              .sent_at = this->now};
    }
    if (std::exchange(this->is_next_append_delayed, false)) {
      this->delayed = append;
      this->delayed_until = TimePoint::max();
      return LeaseAppendEnded{.outcome = LeaseAppendOutcome::kUnknown,
                              .sent_at = this->now};
    }
    return this->log.Append(append, this->now, this->now);
  }

  void RecordOrder(const Host& host) {
    const FencingToken token = host.state.token();
    ++this->order_count;
    this->findings.lower_tokens += token < this->highest_token ? 1 : 0;
    const auto [owner, is_new] = this->owners.emplace(token, host.name);
    this->findings.shared_tokens += owner->second != host.name ? 1 : 0;
    const bool is_early =
        !this->last_sender.empty() && this->last_sender != host.name &&
        this->now - this->last_order_at < LeaseSettings{}.handover_delay;
    this->findings.early_orders += is_early ? 1 : 0;
    this->highest_token = std::max(this->highest_token, token);
    this->last_sender = host.name;
    this->last_order_at = this->now;
  }

  const Schedule& schedule;
  RestoredLog log;
  std::vector<Host> hosts = {Host("a", true), Host("b", true), Host("c", true)};
  TimePoint now = kStart;
  TimePoint last_heartbeat_at{};
  bool is_next_append_delayed = false;
  std::optional<AppendLeaseRecord> delayed;
  TimePoint delayed_until{};
  Findings findings;
  std::map<FencingToken, std::string> owners;
  FencingToken highest_token;
  std::string last_sender;
  TimePoint last_order_at{};
  std::size_t order_count = 0;
};

template <typename Visitor>
void ForEachSchedule(Visitor visit) {
  for (const HostFault before : kHostFaults) {
    for (const Duration before_restore :
         {milliseconds(1500), milliseconds(6500)}) {
      for (const Duration lost :
           {milliseconds(0), milliseconds(800), milliseconds(8000)}) {
        for (const Duration away :
             {milliseconds(0), milliseconds(1000), milliseconds(3000)}) {
          for (const HostFault at_restore : kHostFaults) {
            for (const bool restarts_all : {false, true}) {
              for (const std::optional<Duration> second :
                   {std::optional<Duration>(),
                    std::optional<Duration>(milliseconds(300)),
                    std::optional<Duration>(milliseconds(2500))}) {
                for (const std::optional<Duration> delayed_append :
                     {std::optional<Duration>(),
                      std::optional<Duration>(milliseconds(100)),
                      std::optional<Duration>(milliseconds(2200))}) {
                  visit(Schedule{.before = before,
                                 .before_restore = before_restore,
                                 .lost = lost,
                                 .away = away,
                                 .at_restore = at_restore,
                                 .restarts_all = restarts_all,
                                 .second = second,
                                 .delayed_append = delayed_append});
                }
              }
            }
          }
        }
      }
    }
  }
}

// Guards against fencing tokens that go down or are used by two hosts, against
// orders of two hosts within the handover delay, and against a lease that
// nobody can hold any more, after the store has come back from an older copy.
BOOST_AUTO_TEST_CASE(NoScheduleOfRestoresBreaksTheLease) {
  int schedules = 0;
  int unsound = 0;
  Findings sum;
  int stuck = 0;
  std::optional<Schedule> first;
  ForEachSchedule([&](const Schedule& schedule) {
    const Findings findings = Run(schedule).Execute();
    ++schedules;
    unsound += findings.IsSound() ? 0 : 1;
    sum.lower_tokens += findings.lower_tokens > 0 ? 1 : 0;
    sum.shared_tokens += findings.shared_tokens > 0 ? 1 : 0;
    sum.early_orders += findings.early_orders > 0 ? 1 : 0;
    stuck += findings.has_recovered ? 0 : 1;
    if (!findings.IsSound() && !first) {
      first = schedule;
    }
  });
  BOOST_TEST_MESSAGE(schedules << " schedules");
  if (first) {
    BOOST_TEST_MESSAGE("first: " << *first);
  }
  BOOST_TEST_CONTEXT(
      schedules << " schedules, " << unsound << " not sound; lower tokens in "
                << sum.lower_tokens << ", shared tokens in "
                << sum.shared_tokens << ", early orders in " << sum.early_orders
                << ", no holder in " << stuck) {
    BOOST_TEST(unsound == 0);
  }
}

}  // namespace
}  // namespace cicadaloft
