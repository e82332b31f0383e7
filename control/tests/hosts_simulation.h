#ifndef CICADALOFT_CONTROL_TESTS_HOSTS_SIMULATION_H_
#define CICADALOFT_CONTROL_TESTS_HOSTS_SIMULATION_H_

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
#include "cicadaloft/entry/entry_state.h"
#include "sent_requests.h"
#include "simulated_host.h"

namespace cicadaloft {

/// Simulates entry and control of many hosts, with the links and the lease log
/// between them, one customer, and one target that answers all requests. Time
/// passes only in RunFor().
class HostsSimulation {
 public:
  static constexpr Duration kLinkDelay = milliseconds(2);
  static constexpr Duration kResponseTime = milliseconds(200);

  explicit HostsSimulation(std::size_t count, const SharedLimit& limit = {})
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

  /// Sends requests to random hosts as a Poisson process.
  /// @param fraction of the customer's rate that all of them cost.
  void SendRequestsFor(Duration time, double fraction) {
    const double mean_cost = (kMinCost + kMaxCost) / 2;
    std::exponential_distribution<double> interarrival_time(
        this->limit.rate_per_second * fraction / mean_cost);
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->RunFor(FromSeconds(interarrival_time(this->random)));
      // Squared, so that some hosts get several times as many requests as
      // others.
      const double uniform =
          std::uniform_real_distribution<double>()(this->random);
      const auto index = static_cast<std::size_t>(
          uniform * uniform * static_cast<double>(this->hosts.size()));
      this->SendRequest(*this->hosts.at(index),
                        std::uniform_real_distribution<double>(
                            kMinCost, kMaxCost)(this->random));
    }
  }

  /// Makes the target cold for this time.
  /// @param seen_by fraction of the hosts that see it in the registry.
  void MakeCold(Duration cold_remaining, double seen_by = 1) {
    this->target.cold_remaining = cold_remaining;
    const auto count = static_cast<std::size_t>(
        seen_by * static_cast<double>(this->hosts.size()));
    for (std::size_t i = 0; i < count; ++i) {
      this->SendTargetRecord(*this->hosts.at(i));
    }
  }

  /// Starts or ends the evacuation of the target's data centre.
  void Evacuate(bool is_requested) {
    for (const auto& host : this->hosts) {
      this->FeedControl(
          *host, EvacuationRequest{.data_centre = this->target.data_centre,
                                   .is_requested = is_requested});
    }
  }

  /// Crashes all processes and starts them again, with the registry read.
  void RestartAll() {
    for (const auto& host : this->hosts) {
      host->Restart(this->limit);
      this->Start(*host);
    }
  }

  /// Crashes all processes but the lease holder's and starts them again.
  void RestartFollowers() {
    const HostId holder = this->lease_log.back().record.holder;
    for (const auto& host : this->hosts) {
      if (host->id != holder) {
        this->FeedControl(*this->Find(holder),
                          PeerLinkChanged{.host = host->id});
        host->Restart(this->limit);
        this->Start(*host);
      }
    }
  }

  /// Cuts the links of the first hosts; they can't make new ones.
  /// @param fraction of the hosts that are cut off.
  void CutLinks(double fraction) {
    const auto count = static_cast<std::size_t>(
        fraction * static_cast<double>(this->hosts.size()));
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

  /// Cuts the holder off from the lease's log; its links stay up.
  void CutHolderFromLog() {
    for (const auto& host : this->hosts) {
      host->is_cut_from_log |= host->id == this->lease_log.back().record.holder;
    }
  }

  /// Cuts all hosts off from the lease's log.
  void CutAllFromLog() {
    for (const auto& host : this->hosts) {
      host->is_cut_from_log = true;
    }
  }

  /// The holder has read records of a topic from the store.
  void ReadStore(const std::string& topic,
                 LogOffset from,
                 std::vector<std::string> records) {
    this->FeedControl(*this->Find(this->lease_log.back().record.holder),
                      StoreRead{.topic = topic,
                                .from = from,
                                .records = std::move(records),
                                .sent_at = this->now});
  }

  /// One host has seen in a response that the target leaves.
  void ReportLeavingTarget(std::size_t host) {
    this->FeedControl(*this->hosts.at(host),
                      TargetLeavingReport{.target = this->target.id,
                                          .instance = this->target.instance});
  }

  /// @return the hosts that live and don't hold the lease.
  std::vector<const SimulatedHost*> Followers() const {
    std::vector<const SimulatedHost*> followers;
    for (const auto& host : this->hosts) {
      if (host->is_alive && host->id != this->lease_log.back().record.holder) {
        followers.push_back(host.get());
      }
    }
    return followers;
  }

  TimePoint Now() const { return this->now; }

  /// Crashes the process that holds the lease.
  void CrashHolder() {
    for (const auto& host : this->hosts) {
      if (!this->lease_log.empty() &&
          host->id == this->lease_log.back().record.holder) {
        host->is_alive = false;
        for (const auto& other : this->hosts) {
          this->FeedControl(*other, PeerLinkChanged{.host = host->id});
        }
      }
    }
  }

  void ResetCounts() {
    this->request_count = 0;
    this->refused_count = 0;
    this->sent = SentRequests();
  }

  SharedLimit limit;
  ColdRateLimit cold_rate_limit;
  std::size_t request_count = 0;
  std::size_t refused_count = 0;
  SentRequests sent;
  std::mt19937 random{1};

 private:
  static constexpr double kMinCost = 300;
  static constexpr double kMaxCost = 2'500;

  using Host = SimulatedHost;

  void Start(Host& host) {
    this->FeedControl(
        host, ConfigurationRead{.configuration = this->MakeConfiguration()});
    this->FeedControl(host, FleetEvent(RegistryReachability{true}));
    this->SendTargetRecord(host);
    // Spreads the ticks of the hosts over one interval.
    const Duration phase = milliseconds(20) * static_cast<int>(host.index) /
                           static_cast<int>(this->hosts.size());
    const int process = host.process;
    this->Schedule(phase, [this, &host, process] {
      this->TickControl(host, process);
      this->TickEntry(host, process);
    });
  }

  void SendTargetRecord(Host& host) {
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
                      .cold_requests_per_second =
                          this->cold_rate_limit.rate_per_second}},
        .customers = {{.id = CustomerId("c"),
                       .keys = {"key"},
                       .is_limited_by_tokens = true,
                       .rate_per_second = this->limit.rate_per_second,
                       .burst = this->limit.burst}}});
  }

  void Schedule(Duration delay, std::function<void()> action) {
    this->events.emplace(this->now + delay, std::move(action));
  }

  void TickControl(Host& host, int process) {
    if (host.is_alive && host.process == process) {
      this->FeedControl(host, ControlTick{});
      this->Schedule(kControlTickInterval, [this, &host, process] {
        this->TickControl(host, process);
      });
    }
  }

  void TickEntry(Host& host, int process) {
    if (host.is_alive && host.process == process) {
      this->FeedEntry(host, EntryTick{});
      this->Schedule(kEntryTickInterval, [this, &host, process] {
        this->TickEntry(host, process);
      });
    }
  }

  void SendRequest(Host& host, double cost) {
    if (!host.is_alive) {
      return;
    }
    const RequestId id("r" + std::to_string(++this->last_request_number));
    ++this->request_count;
    host.costs[id] = cost;
    this->FeedEntry(
        host,
        RequestArrived{.request = id,
                       .caller_request_id = id,
                       .credential = "key",
                       .destination = ByHostAndPath{.host = "h", .path = "/x"},
                       .tokens = cost,
                       .timeout = seconds(10)});
  }

  void FeedControl(Host& host, const ControlEvent& event) {
    if (!host.is_alive) {
      return;
    }
    auto step = Decide(std::move(*host.control), event, this->now);
    host.control = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      std::visit([&](const auto& item) { this->Execute(host, item); }, effect);
    }
  }

  void FeedEntry(Host& host, const EntryEvent& event) {
    if (!host.is_alive) {
      return;
    }
    auto step = Decide(std::move(*host.entry), event, this->now);
    host.entry = std::move(step.state);
    for (const EntryEffect& effect : step.effects) {
      std::visit(
          [&](const auto& item) { this->ExecuteEntryEffect(host, item); },
          effect);
    }
  }

  void ExecuteEntryEffect(Host& host, const Dispatch& dispatch) {
    this->sent.Add(this->now, host.costs[dispatch.request]);
    const RequestId request = dispatch.request;
    const AttemptNumber attempt = dispatch.attempt;
    this->Schedule(kResponseTime, [this, &host, request, attempt] {
      this->FeedEntry(host, AttemptEnded{.request = request,
                                         .attempt = attempt,
                                         .http_status = 200});
    });
  }
  void ExecuteEntryEffect(Host&, const Refuse&) { ++this->refused_count; }
  void ExecuteEntryEffect(Host&, const CancelAttempt&) {}
  void ExecuteEntryEffect(Host&, const DecisionRecord&) {}
  template <typename Message>
  void ExecuteEntryEffect(Host& host, const Message& message) {
    this->FeedControl(host, message);
  }

  void Execute(Host& host, const SendToEntry& send) {
    if (const auto* change = std::get_if<FleetChanged>(&send.event)) {
      const auto found = change->fleet->targets.find(this->target.id);
      host.sees_draining_target =
          found != change->fleet->targets.end() && found->second->is_draining;
    }
    this->FeedEntry(host, send.event);
  }
  void Execute(Host& host, const RelayReceived& received) {
    host.relayed.insert_or_assign(received.topic.topic, received);
  }
  void Execute(Host& host, const SendToHosts& send) {
    for (const HostId& id : send.hosts) {
      this->Deliver(host, *this->Find(id), send.message);
    }
  }
  void Execute(Host& host, const ConnectToHolder& connect) {
    if (host.holder && *host.holder != host.id) {
      Host* previous = this->Find(*host.holder);
      this->Schedule(kLinkDelay, [this, &host, previous] {
        this->FeedControl(*previous, PeerLinkChanged{.host = host.id});
      });
    }
    host.holder = connect.record.holder;
    if (connect.record.holder == host.id) {
      return;
    }
    Host* holder = this->Find(connect.record.holder);
    this->Schedule(kLinkDelay, [this, &host, holder] {
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
  void Execute(Host& host, const SendToHolder& send) {
    if (host.holder && *host.holder != host.id) {
      this->Deliver(host, *this->Find(*host.holder), send.message);
    }
  }
  void Execute(Host& host, const SendToHost& send) {
    this->Deliver(host, *this->Find(send.host), send.message);
  }
  void Execute(Host& host, const SendToAllHosts& send) {
    for (const auto& other : this->hosts) {
      if (other->id != host.id) {
        this->Deliver(host, *other, send.message);
      }
    }
  }
  void Execute(Host& host, const ReadLeaseLog& read) {
    if (host.is_cut_from_log) {
      this->Schedule(kLinkDelay, [this, &host] {
        this->FeedControl(host, LeaseEvent(LeaseReadFailed{}));
      });
      return;
    }
    std::vector<LeaseLogEntry> records;
    std::ranges::copy_if(
        this->lease_log, std::back_inserter(records),
        [&](const auto& entry) { return entry.offset >= read.from; });
    const LogOffset end(this->lease_log.size());
    this->Schedule(kLinkDelay, [this, &host, records, end] {
      this->FeedControl(host, LeaseEvent(LeaseLogRead{.entries = records,
                                                      .next_offset = end}));
    });
  }
  void Execute(Host& host, const AppendLeaseRecord& append) {
    const bool is_written =
        !host.is_cut_from_log &&
        append.expected_end == LogOffset(this->lease_log.size());
    if (is_written) {
      this->lease_log.push_back(
          {.offset = append.expected_end, .record = append.record});
    }
    const TimePoint sent_at = this->now;
    const LogOffset offset = append.expected_end;
    this->Schedule(kLinkDelay, [this, &host, is_written, offset, sent_at] {
      this->FeedControl(
          host,
          LeaseEvent(LeaseAppendEnded{
              .outcome = is_written             ? LeaseAppendOutcome::kWritten
                         : host.is_cut_from_log ? LeaseAppendOutcome::kRefused
                                                : LeaseAppendOutcome::kConflict,
              .offset = offset,
              .sent_at = sent_at}));
    });
  }
  template <typename Other>
  void Execute(Host&, const Other&) {}

  void Deliver(Host& from, Host& to, const PeerMessage& message) {
    if (!from.has_links || !to.has_links) {
      return;
    }
    this->Schedule(kLinkDelay, [this, id = from.id, &to, message] {
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
  std::vector<LeaseLogEntry> lease_log;
  std::multimap<TimePoint, std::function<void()>> events;
  std::size_t last_request_number = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_HOSTS_SIMULATION_H_
