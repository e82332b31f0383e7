#ifndef CICADALOFT_CONTROL_TESTS_HOSTS_WORLD_H_
#define CICADALOFT_CONTROL_TESTS_HOSTS_WORLD_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/control/control_state.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/entry/entry_node.h"

namespace cicadaloft {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration kLimitWindow = seconds(8);

/// A limit in tokens, and the operator's tolerance over it.
struct LimitOfAll {
  double rate_per_second = 20'000;
  double burst = 20'000;
  double overshoot = 0.1;
  double slack = 7'400;

  double Allowed() const {
    const std::chrono::duration<double> window = kLimitWindow;
    return this->rate_per_second * window.count() + this->burst;
  }
};

/// Entries and controls of many hosts, with links and a lease log between
/// them, and one customer. All targets answer. Time passes by RunFor() alone.
class HostsWorld {
 public:
  static constexpr Duration kLinkDelay = milliseconds(2);
  static constexpr Duration kRunTime = milliseconds(200);

  explicit HostsWorld(std::size_t count) {
    Fleet fleet;
    const TargetRecord target{.id = TargetId("t"),
                              .service = ServiceId("s"),
                              .address = "10.0.0.1:1",
                              .data_centre = DataCentreId("dc"),
                              .slots = 1'000'000,
                              .instance = TargetInstance(1)};
    fleet.targets[target.id] = std::make_shared<const TargetRecord>(target);
    const auto shared = std::make_shared<const Fleet>(fleet);
    const auto configuration = this->MakeConfiguration();
    for (std::size_t i = 0; i < count; ++i) {
      this->hosts.push_back(std::make_unique<Host>(i, this->limit));
      Host& host = *this->hosts.back();
      this->FeedControl(host,
                        ConfigurationRead{.configuration = configuration});
      this->FeedEntry(host, FleetChanged{.fleet = shared});
      // Ticks of different hosts come at different times.
      const Duration phase =
          milliseconds(20) * static_cast<int>(i) / static_cast<int>(count);
      this->At(phase, [this, &host] { this->TickControl(host); });
      this->At(phase, [this, &host] { this->TickEntry(host); });
    }
  }

  void RunFor(Duration time) {
    const TimePoint end = this->now + time;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    this->now = end;
  }

  /// Requests come at random hosts, as a Poisson process.
  /// @param part of the customer's rate that they cost together.
  void AskFor(Duration time, double part) {
    const double mean_cost = (kLeastCost + kMostCost) / 2;
    std::exponential_distribution<double> gap(this->limit.rate_per_second *
                                              part / mean_cost);
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->RunFor(FromSeconds(gap(this->random)));
      // Some hosts get several times as many connections as others.
      const double draw =
          std::uniform_real_distribution<double>()(this->random);
      const auto index = static_cast<std::size_t>(
          draw * draw * static_cast<double>(this->hosts.size()));
      this->Ask(*this->hosts.at(index),
                std::uniform_real_distribution<double>(
                    kLeastCost, kMostCost)(this->random));
    }
  }

  /// The holder can't reach the lease's log any more; its links hold.
  void CutHolderFromLog() {
    for (const auto& host : this->hosts) {
      host->is_cut |= host->id == this->log.back().record.holder;
    }
  }

  /// Nobody can reach the lease's log.
  void CutAllFromLog() {
    for (const auto& host : this->hosts) {
      host->is_cut = true;
    }
  }

  /// The process that holds the lease ends without a word.
  void KillHolder() {
    for (const auto& host : this->hosts) {
      if (!this->log.empty() && host->id == this->log.back().record.holder) {
        host->is_alive = false;
        for (const auto& other : this->hosts) {
          this->FeedControl(*other, PeerChanged{.host = host->id});
        }
      }
    }
  }

  /// @return the most that has been sent to targets in any window.
  double MostSpentInWindow() const {
    double most = 0;
    double sum = 0;
    std::deque<std::pair<TimePoint, double>> window;
    for (const auto& expense : this->sent) {
      window.push_back(expense);
      sum += expense.second;
      while (expense.first - window.front().first >= kLimitWindow) {
        sum -= window.front().second;
        window.pop_front();
      }
      most = std::max(most, sum);
    }
    return most;
  }

  double TotalSent() const {
    return std::accumulate(
        this->sent.begin(), this->sent.end(), 0.0,
        [](double sum, const auto& expense) { return sum + expense.second; });
  }

  void ForgetCounts() {
    this->asked = 0;
    this->refused = 0;
    this->sent.clear();
  }

  LimitOfAll limit;
  std::size_t asked = 0;
  std::size_t refused = 0;
  std::vector<std::pair<TimePoint, double>> sent;
  std::mt19937 random{1};

 private:
  static constexpr double kLeastCost = 300;
  static constexpr double kMostCost = 2'500;

  struct Host {
    Host(std::size_t number, const LimitOfAll& limit)
        : id("h" + std::to_string(number)),
          control(LeaseSettings{.self = id,
                                .address = "10.0.0.1:1",
                                .secret = id.value()},
                  kLimitWindow),
          entry(EntrySettings{.host = id,
                              .data_centre = DataCentreId("dc"),
                              .limit_overshoot = limit.overshoot,
                              .limit_slack = limit.slack,
                              .limit_window = kLimitWindow,
                              .is_first_start = true}) {}

    HostId id;
    ControlState control;
    EntryState entry;
    std::optional<HostId> holder;
    bool is_alive = true;
    bool is_cut = false;  ///< From the lease's log.
    std::map<RequestId, double> costs;
  };

  ActiveConfigurationPtr MakeConfiguration() const {
    return std::make_shared<const ActiveConfiguration>(Configuration{
        .version = ConfigurationVersion(1),
        .routes = {Route{.id = RouteId("r"),
                         .host = "h",
                         .path_prefix = "/",
                         .timeout = seconds(10),
                         .latency_aim = milliseconds(300),
                         .patience = seconds(8),
                         .shares = {{.service = ServiceId("s")}}}},
        .services = {{.id = ServiceId("s")}},
        .customers = {{.id = CustomerId("c"),
                       .keys = {"key"},
                       .counts_tokens = true,
                       .rate_per_second = this->limit.rate_per_second,
                       .burst = this->limit.burst}}});
  }

  void At(Duration in, std::function<void()> action) {
    this->events.emplace(this->now + in, std::move(action));
  }

  void TickControl(Host& host) {
    if (host.is_alive) {
      this->FeedControl(host, ControlTick{});
      this->At(kControlTickInterval,
               [this, &host] { this->TickControl(host); });
    }
  }

  void TickEntry(Host& host) {
    if (host.is_alive) {
      this->FeedEntry(host, EntryTick{});
      this->At(kEntryTickInterval, [this, &host] { this->TickEntry(host); });
    }
  }

  void Ask(Host& host, double cost) {
    if (!host.is_alive) {
      return;
    }
    const RequestId id("r" + std::to_string(++this->last_request));
    ++this->asked;
    host.costs[id] = cost;
    this->FeedEntry(
        host, RequestArrived{.request = id,
                             .caller_id = id,
                             .credential = "key",
                             .destination = ByPlace{.host = "h", .path = "/x"},
                             .tokens = cost,
                             .deadline = seconds(10)});
  }

  void FeedControl(Host& host, const ControlEvent& event) {
    if (!host.is_alive) {
      return;
    }
    auto step = Decide(std::move(host.control), event, this->now);
    host.control = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      std::visit([&](const auto& item) { this->Carry(host, item); }, effect);
    }
  }

  void FeedEntry(Host& host, const EntryEvent& event) {
    if (!host.is_alive) {
      return;
    }
    auto step = Decide(std::move(host.entry), event, this->now);
    host.entry = std::move(step.state);
    for (const EntryEffect& effect : step.effects) {
      std::visit([&](const auto& item) { this->CarryEntry(host, item); },
                 effect);
    }
  }

  void CarryEntry(Host& host, const Dispatch& dispatch) {
    this->sent.emplace_back(this->now, host.costs[dispatch.request]);
    const RequestId request = dispatch.request;
    const AttemptNumber attempt = dispatch.attempt;
    this->At(kRunTime, [this, &host, request, attempt] {
      this->FeedEntry(host, AttemptEnded{.request = request,
                                         .attempt = attempt,
                                         .http_status = 200});
    });
  }
  void CarryEntry(Host&, const Refuse&) { ++this->refused; }
  void CarryEntry(Host&, const CancelAttempt&) {}
  void CarryEntry(Host&, const DecisionLine&) {}
  template <typename News>
  void CarryEntry(Host& host, const News& news) {
    this->FeedControl(host, news);
  }

  void Carry(Host& host, const TellEntry& tell) {
    this->FeedEntry(host, tell.event);
  }
  void Carry(Host& host, const LinkToHolder& link) {
    if (host.holder && *host.holder != host.id) {
      Host* before = this->Find(*host.holder);
      this->At(kLinkDelay, [this, &host, before] {
        this->FeedControl(*before, PeerChanged{.host = host.id});
      });
    }
    host.holder = link.holder.holder;
    if (link.holder.holder == host.id) {
      return;
    }
    Host* holder = this->Find(link.holder.holder);
    this->At(kLinkDelay, [this, &host, holder] {
      if (holder->is_alive && host.holder == holder->id) {
        this->FeedControl(*holder, PeerChanged{.host = host.id, .is_up = true});
        this->FeedControl(host, PeerChanged{.host = holder->id, .is_up = true});
      }
    });
  }
  void Carry(Host& host, const TellHolder& tell) {
    if (host.holder && *host.holder != host.id) {
      this->Deliver(host, *this->Find(*host.holder), tell.message);
    }
  }
  void Carry(Host& host, const TellHost& tell) {
    this->Deliver(host, *this->Find(tell.host), tell.message);
  }
  void Carry(Host& host, const TellAllHosts& tell) {
    for (const auto& other : this->hosts) {
      if (other->id != host.id) {
        this->Deliver(host, *other, tell.message);
      }
    }
  }
  void Carry(Host& host, const ReadLeaseLog& read) {
    if (host.is_cut) {
      this->At(kLinkDelay, [this, &host] {
        this->FeedControl(host, LeaseEvent(LeaseReadFailed{}));
      });
      return;
    }
    std::vector<PlacedLeaseRecord> records;
    std::ranges::copy_if(
        this->log, std::back_inserter(records),
        [&](const auto& placed) { return placed.offset >= read.from; });
    const LogOffset end(this->log.size());
    this->At(kLinkDelay, [this, &host, records, end] {
      this->FeedControl(
          host, LeaseEvent(LeaseLogRead{.records = records, .end = end}));
    });
  }
  void Carry(Host& host, const AppendLease& append) {
    const bool is_free =
        !host.is_cut && append.at == LogOffset(this->log.size());
    if (is_free) {
      this->log.push_back({.offset = append.at, .record = append.record});
    }
    const TimePoint sent_at = this->now;
    const LogOffset offset = append.at;
    this->At(kLinkDelay, [this, &host, is_free, offset, sent_at] {
      this->FeedControl(
          host, LeaseEvent(LeaseAppendEnded{
                    .outcome = is_free       ? LeaseAppendOutcome::kWritten
                               : host.is_cut ? LeaseAppendOutcome::kRefused
                                             : LeaseAppendOutcome::kConflict,
                    .offset = offset,
                    .sent_at = sent_at}));
    });
  }
  template <typename Other>
  void Carry(Host&, const Other&) {}

  void Deliver(Host& from, Host& to, const PeerMessage& message) {
    this->At(kLinkDelay, [this, id = from.id, &to, message] {
      this->FeedControl(to, PeerReceived{.host = id, .message = message});
    });
  }

  Host* Find(const HostId& id) {
    return std::ranges::find_if(
               this->hosts, [&](const auto& host) { return host->id == id; })
        ->get();
  }

  TimePoint now{seconds(1000)};
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<PlacedLeaseRecord> log;
  std::multimap<TimePoint, std::function<void()>> events;
  std::size_t last_request = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_HOSTS_WORLD_H_
