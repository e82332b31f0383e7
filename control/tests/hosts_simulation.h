#ifndef CICADALOFT_CONTROL_TESTS_HOSTS_SIMULATION_H_
#define CICADALOFT_CONTROL_TESTS_HOSTS_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/control/control_state.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/entry/entry_state.h"
#include "sent_requests.h"
#include "simulated_forwarding.h"
#include "simulated_hosts.h"
#include "simulated_surroundings.h"
#include "simulation_hooks.h"

namespace cicadaloft {

/// Simulates entry and control of many hosts, with the links and the lease log
/// between them, one customer, and one target that answers all requests.
class HostsSimulation : public SimulatedHosts, public SimulationHooks {
 public:
  static constexpr Duration kLinkDelay = milliseconds(2);
  static constexpr Duration kResponseTime = milliseconds(200);

  explicit HostsSimulation(std::size_t count,
                           const SharedLimit& limit = {},
                           const std::optional<Scaling>& scaling = {})
      : limit(limit), scaling(scaling) {
    for (std::size_t i = 0; i < count; ++i) {
      this->hosts.push_back(
          std::make_unique<Host>(i, this->limit, scaling.has_value()));
      this->Start(*this->hosts.back());
    }
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
    this->FeedAll(EvacuationRequest{.data_centre = this->target.data_centre,
                                    .is_requested = is_requested});
  }

  /// Crashes processes and starts them again, with the registry read.
  /// @param keeps_holder whether the lease holder's process goes on.
  void RestartAll(bool keeps_holder = false) {
    for (const auto& host : this->hosts) {
      if (keeps_holder && host->id == this->Holder()) {
        continue;
      }
      if (keeps_holder) {
        this->Feed(this->Holder(), PeerLinkChanged{.host = host->id});
      }
      host->Restart(this->limit);
      this->Start(*host);
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

  /// Feeds an event to the control of one host.
  void Feed(const HostId& host, const ControlEvent& event) {
    this->FeedControl(*this->Find(host), event);
  }
  void SendRequest(std::size_t index, const SimulatedRequest& request) {
    Host& host = *this->hosts.at(index);
    if (host.is_alive) {
      ++this->request_count;
      host.costs[request.id] = request.cost;
      this->FeedEntry(host, MakeArrival(request));
    }
  }
  /// Feeds an event to the entry of one host.
  void FeedEntry(const HostId& host, const EntryEvent& event) {
    this->FeedEntry(*this->Find(host), event);
  }
  /// Feeds an event to the control of all hosts.
  void FeedAll(const ControlEvent& event) {
    for (const auto& host : this->hosts) {
      this->FeedControl(*host, event);
    }
  }

  /// Crashes the process that holds the lease.
  void CrashHolder() {
    Host& holder = *this->Find(this->lease_log.Holder());
    holder.is_alive = false;
    this->FeedAll(PeerLinkChanged{.host = holder.id});
  }

  /// Stops the holder's process; what arrives meanwhile is lost.
  void FreezeHolder(Duration time) {
    Host& holder = *this->Find(this->lease_log.Holder());
    holder.is_alive = false;
    this->Schedule(time, [this, &holder] {
      holder.is_alive = true;
      this->TickControl(holder, holder.process);
      this->TickEntry(holder, holder.process);
    });
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
  std::map<RequestId, ErrorKind> refusals;
  SentRequests sent;
  std::mt19937 random{1};

 private:
  static constexpr double kMinCost = 300;
  static constexpr double kMaxCost = 2'500;

  void Start(Host& host) {
    this->FeedControl(
        host, ConfigurationRead{
                  .configuration = MakeSimulatedConfiguration(
                      this->limit, this->cold_rate_limit, this->scaling)});
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
    const RequestId id("r" + std::to_string(++this->last_request_number));
    this->SendRequest(host.index, SimulatedRequest{.id = id, .cost = cost});
  }

  void FeedControl(Host& host, const ControlEvent& event) {
    if (!host.is_alive ||
        host.Defers([=, this, &host] { this->FeedControl(host, event); })) {
      return;
    }
    auto step = Decide(std::move(*host.control), event, this->now);
    host.control = std::move(step.state);
    for (const ControlEffect& effect : step.effects) {
      if (this->on_effect) {
        this->on_effect(host.id, effect);
      }
      std::visit([&](const auto& item) { this->Execute(host, item); }, effect);
    }
  }

  void FeedEntry(Host& host, const EntryEvent& event) {
    if (!host.is_alive ||
        host.Defers([=, this, &host] { this->FeedEntry(host, event); })) {
      return;
    }
    this->forwarding.OnEvent(host.id, event);
    auto step = Decide(std::move(*host.entry), event, this->now);
    host.entry = std::move(step.state);
    for (const EntryEffect& effect : step.effects) {
      if (this->on_entry_effect) {
        this->on_entry_effect(host.id, effect);
      }
      std::visit(
          [&](const auto& item) { this->ExecuteEntryEffect(host, item); },
          effect);
    }
  }

  void ExecuteEntryEffect(Host& host, const Dispatch& dispatch) {
    if (dispatch.via_host) {
      this->Find(*dispatch.via_host)->costs[dispatch.request] =
          host.costs[dispatch.request];
      this->forwarding.Forward(host.id, dispatch);
      return;
    }
    this->sent.Add(this->now, host.costs[dispatch.request]);
    if (this->run_attempt) {
      this->run_attempt(host.id, dispatch);
      return;
    }
    const RequestId request = dispatch.request;
    const AttemptNumber attempt = dispatch.attempt;
    this->Schedule(kResponseTime, [this, &host, request, attempt] {
      this->FeedEntry(host, AttemptEnded{.request = request,
                                         .attempt = attempt,
                                         .http_status = 200});
    });
  }
  void ExecuteEntryEffect(Host& host, const Refuse& refusal) {
    if (!this->forwarding.Execute(host.id, refusal)) {
      ++this->refused_count;
      this->refusals.insert_or_assign(refusal.request, refusal.error.kind);
    }
  }
  void ExecuteEntryEffect(Host& host, const CancelAttempt& cancel) {
    this->forwarding.Execute(host.id, cancel);
  }
  void ExecuteEntryEffect(Host&, const RunMeasured&) {}
  void ExecuteEntryEffect(Host&, const DecisionRecord&) {}
  void ExecuteEntryEffect(Host&, const WaitMeasured&) {}
  void ExecuteEntryEffect(Host& host, const ProbeTarget& probe) {
    const TargetId target = probe.target;
    const bool is_reached =
        !this->reaches_target || this->reaches_target(host.id, target);
    this->Schedule(kLinkDelay, [this, &host, target, is_reached] {
      this->FeedEntry(host,
                      TargetProbed{.target = target, .is_reached = is_reached});
    });
  }
  void ExecuteEntryEffect(Host& host, const CompareConfigurations& compare) {
    const RequestId id("comparison-" +
                       std::to_string(this->comparisons.size()));
    this->comparisons.emplace(
        id, Comparison{.asking = host.id, .asked = compare.host});
    this->Schedule(kLinkDelay, [this, id, &host, compare] {
      if (!this->IsRunning(compare.host)) {
        this->FeedEntry(host, ConfigurationsCompared{.host = compare.host});
        return;
      }
      this->FeedEntry(
          *this->Find(compare.host),
          ComparisonArrived{.request = id,
                            .host = host.id,
                            .version = compare.version,
                            .configuration = compare.configuration});
    });
  }
  void ExecuteEntryEffect(Host&, const AnswerComparison& answer) {
    const Comparison comparison = this->comparisons.at(answer.request);
    this->Schedule(kLinkDelay, [this, comparison, answer] {
      this->FeedEntry(
          *this->Find(comparison.asking),
          ConfigurationsCompared{.host = comparison.asked,
                                 .version = answer.version,
                                 .newer = answer.newer,
                                 .reaches_targets = answer.reaches_targets});
    });
  }
  // No route of the simulation has streams that are resumed.
  void ExecuteEntryEffect(Host&, const LookUpOrigin&) {}
  template <typename Message>
  void ExecuteEntryEffect(Host& host, const Message& message) {
    this->FeedControl(host, message);
  }

  void Execute(Host& host, const SendToEntry& send) {
    if (const auto* shares = std::get_if<SharesChanged>(&send.event)) {
      host.shares = *shares;
    }
    if (const auto* change = std::get_if<FleetChanged>(&send.event)) {
      const auto found = change->fleet->targets.find(this->target.id);
      host.sees_draining_target =
          found != change->fleet->targets.end() && found->second->is_draining;
    }
    this->FeedEntry(host, send.event);
  }
  void Execute(Host&, const RereadTopics&) {}
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
    this->Reply(host, host.is_cut_from_log
                          ? LeaseEvent(LeaseReadFailed{})
                          : LeaseEvent(this->lease_log.Read(read.from)));
  }
  void Execute(Host& host, const AppendLeaseRecord& append) {
    this->Reply(
        host, this->lease_log.Append(append, host.is_cut_from_log, this->now));
  }
  void Reply(Host& host, const LeaseEvent& event) {
    this->Schedule(kLinkDelay,
                   [this, &host, event] { this->FeedControl(host, event); });
  }
  void Execute(Host& host, const OrderTargetCount& order) {
    if (this->order_targets) {
      this->order_targets(host.id, order);
    }
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

  /// Of the configurations of two hosts.
  struct Comparison {
    HostId asking;
    HostId asked;
  };

  std::map<RequestId, Comparison> comparisons;  ///< All that have begun.
  SimulatedForwarding forwarding{
      [this](const HostId& host, const EntryEvent& event) {
        this->Schedule(kLinkDelay, [=, this, to = this->Find(host)] {
          this->FeedEntry(*to, event);
        });
      }};
  TargetRecord target = MakeSimulatedTarget();
  std::optional<Scaling> scaling;
  std::size_t last_request_number = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_HOSTS_SIMULATION_H_
