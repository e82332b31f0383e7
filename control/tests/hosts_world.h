#ifndef CICADALOFT_CONTROL_TESTS_HOSTS_WORLD_H_
#define CICADALOFT_CONTROL_TESTS_HOSTS_WORLD_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
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
#include "sent_requests.h"
#include "world_host.h"

namespace cicadaloft {

/// Entries and controls of many hosts, with links and a lease log between
/// them, one customer and one target, which answers. Time passes by RunFor()
/// alone.
class HostsWorld {
 public:
  static constexpr Duration kLinkDelay = milliseconds(2);
  static constexpr Duration kRunTime = milliseconds(200);

  explicit HostsWorld(std::size_t count, const LimitOfAll& limit = {})
      : limit(limit) {
    for (std::size_t i = 0; i < count; ++i) {
      this->hosts.push_back(std::make_unique<Host>(i, this->limit));
      this->Start(*this->hosts.back());
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

  /// The target has become cold for this time.
  /// @param seen_by part of the hosts that see it in the registry.
  void MakeCold(Duration cold_remaining, double seen_by = 1) {
    this->target.cold_remaining = cold_remaining;
    const auto count = static_cast<std::size_t>(
        seen_by * static_cast<double>(this->hosts.size()));
    for (std::size_t i = 0; i < count; ++i) {
      this->TellTarget(*this->hosts.at(i));
    }
  }

  /// The target's data centre is to be emptied, or taken back.
  void Evacuate(bool is_requested) {
    for (const auto& host : this->hosts) {
      this->FeedControl(
          *host, EvacuationRequest{.data_centre = this->target.data_centre,
                                   .is_requested = is_requested});
    }
  }

  /// All processes end without a word, and start again with the registry read.
  void RestartAll() {
    for (const auto& host : this->hosts) {
      host->Restart(this->limit);
      this->Start(*host);
    }
  }

  /// The first hosts can't make links any more.
  /// @param part of the hosts.
  void CutLinks(double part) {
    const auto count = static_cast<std::size_t>(
        part * static_cast<double>(this->hosts.size()));
    for (std::size_t i = 0; i < count; ++i) {
      Host& host = *this->hosts.at(i);
      host.has_links = false;
      if (host.holder && *host.holder != host.id) {
        this->FeedControl(host, PeerLinkChanged{.host = *host.holder});
        this->FeedControl(*this->Find(*host.holder),
                          PeerLinkChanged{.host = host.id});
      }
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
          this->FeedControl(*other, PeerLinkChanged{.host = host->id});
        }
      }
    }
  }

  void ForgetCounts() {
    this->asked = 0;
    this->refused = 0;
    this->sent = SentRequests();
  }

  LimitOfAll limit;
  ColdBound cold;
  std::size_t asked = 0;
  std::size_t refused = 0;
  SentRequests sent;
  std::mt19937 random{1};

 private:
  static constexpr double kLeastCost = 300;
  static constexpr double kMostCost = 2'500;

  using Host = WorldHost;

  void Start(Host& host) {
    this->FeedControl(
        host, ConfigurationRead{.configuration = this->MakeConfiguration()});
    this->FeedControl(host, FleetEvent(RegistryReachability{true}));
    this->TellTarget(host);
    // Ticks of different hosts come at different times.
    const Duration phase = milliseconds(20) * static_cast<int>(host.number) /
                           static_cast<int>(this->hosts.size());
    const int process = host.process;
    this->At(phase, [this, &host, process] {
      this->TickControl(host, process);
      this->TickEntry(host, process);
    });
  }

  void TellTarget(Host& host) {
    this->FeedControl(
        host,
        FleetEvent(TargetUpdated{
            .record = std::make_shared<const TargetRecord>(this->target)}));
  }

  ActiveConfigurationPtr MakeConfiguration() const {
    return std::make_shared<const ActiveConfiguration>(Configuration{
        .version = ConfigurationVersion(1),
        .routes = {Route{.id = RouteId("r"),
                         .hostname = "h",
                         .path_prefix = "/",
                         .timeout = seconds(10),
                         .latency_objective = milliseconds(300),
                         .caller_timeout = seconds(8),
                         .services = {{.service = ServiceId("s")}}}},
        .services = {{.id = ServiceId("s"),
                      .cold_requests_per_second = this->cold.rate_per_second}},
        .customers = {{.id = CustomerId("c"),
                       .keys = {"key"},
                       .is_limited_by_tokens = true,
                       .rate_per_second = this->limit.rate_per_second,
                       .burst = this->limit.burst}}});
  }

  void At(Duration in, std::function<void()> action) {
    this->events.emplace(this->now + in, std::move(action));
  }

  void TickControl(Host& host, int process) {
    if (host.is_alive && host.process == process) {
      this->FeedControl(host, ControlTick{});
      this->At(kControlTickInterval,
               [this, &host, process] { this->TickControl(host, process); });
    }
  }

  void TickEntry(Host& host, int process) {
    if (host.is_alive && host.process == process) {
      this->FeedEntry(host, EntryTick{});
      this->At(kEntryTickInterval,
               [this, &host, process] { this->TickEntry(host, process); });
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
        host,
        RequestArrived{.request = id,
                       .caller_request_id = id,
                       .credential = "key",
                       .destination = ByHostAndPath{.host = "h", .path = "/x"},
                       .tokens = cost,
                       .deadline = seconds(10)});
  }

  void FeedControl(Host& host, const ControlEvent& event) {
    if (!host.is_alive) {
      return;
    }
    auto step = Decide(std::move(*host.control), event, this->now);
    host.control = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      std::visit([&](const auto& item) { this->Carry(host, item); }, effect);
    }
  }

  void FeedEntry(Host& host, const EntryEvent& event) {
    if (!host.is_alive) {
      return;
    }
    auto step = Decide(std::move(*host.entry), event, this->now);
    host.entry = std::move(step.state);
    for (const EntryEffect& effect : step.effects) {
      std::visit([&](const auto& item) { this->CarryEntry(host, item); },
                 effect);
    }
  }

  void CarryEntry(Host& host, const Dispatch& dispatch) {
    this->sent.Add(this->now, host.costs[dispatch.request]);
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
  void CarryEntry(Host&, const DecisionRecord&) {}
  template <typename News>
  void CarryEntry(Host& host, const News& news) {
    this->FeedControl(host, news);
  }

  void Carry(Host& host, const SendToEntry& tell) {
    this->FeedEntry(host, tell.event);
  }
  void Carry(Host& host, const ConnectToHolder& link) {
    if (host.holder && *host.holder != host.id) {
      Host* before = this->Find(*host.holder);
      this->At(kLinkDelay, [this, &host, before] {
        this->FeedControl(*before, PeerLinkChanged{.host = host.id});
      });
    }
    host.holder = link.holder.holder;
    if (link.holder.holder == host.id) {
      return;
    }
    Host* holder = this->Find(link.holder.holder);
    this->At(kLinkDelay, [this, &host, holder] {
      const bool can_link = holder->is_alive && holder->has_links &&
                            host.has_links && host.holder == holder->id;
      if (can_link) {
        this->FeedControl(*holder,
                          PeerLinkChanged{.host = host.id, .is_up = true});
        this->FeedControl(host,
                          PeerLinkChanged{.host = holder->id, .is_up = true});
      }
    });
  }
  void Carry(Host& host, const SendToHolder& tell) {
    if (host.holder && *host.holder != host.id) {
      this->Deliver(host, *this->Find(*host.holder), tell.message);
    }
  }
  void Carry(Host& host, const SendToHost& tell) {
    this->Deliver(host, *this->Find(tell.host), tell.message);
  }
  void Carry(Host& host, const SendToAllHosts& tell) {
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
    std::vector<LeaseLogEntry> records;
    std::ranges::copy_if(
        this->log, std::back_inserter(records),
        [&](const auto& placed) { return placed.offset >= read.from; });
    const LogOffset end(this->log.size());
    this->At(kLinkDelay, [this, &host, records, end] {
      this->FeedControl(
          host, LeaseEvent(LeaseLogRead{.records = records, .end = end}));
    });
  }
  void Carry(Host& host, const AppendLeaseRecord& append) {
    const bool is_free =
        !host.is_cut && append.expected_end == LogOffset(this->log.size());
    if (is_free) {
      this->log.push_back(
          {.offset = append.expected_end, .record = append.record});
    }
    const TimePoint sent_at = this->now;
    const LogOffset offset = append.expected_end;
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
    if (!from.has_links || !to.has_links) {
      return;
    }
    this->At(kLinkDelay, [this, id = from.id, &to, message] {
      this->FeedControl(to, PeerReceived{.host = id, .message = message});
    });
  }

  Host* Find(const HostId& id) {
    return std::ranges::find_if(
               this->hosts, [&](const auto& host) { return host->id == id; })
        ->get();
  }

  TargetRecord target{.id = TargetId("t"),
                      .service = ServiceId("s"),
                      .address = "10.0.0.1:1",
                      .data_centre = DataCentreId("dc"),
                      .slots = 1'000'000,
                      .instance = TargetInstance(1)};
  TimePoint now{seconds(1000)};
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<LeaseLogEntry> log;
  std::multimap<TimePoint, std::function<void()>> events;
  std::size_t last_request = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_HOSTS_WORLD_H_
