#include "placement_core.h"

#include <algorithm>
#include <ranges>

namespace cicadaloft {
namespace {

/// Time until an adapter is loaded: 5 to 10 ms from the store according to the
/// platform's data sheets, plus the network delay.
constexpr Duration kAdapterLoadTime = std::chrono::milliseconds(14);

}  // namespace

std::string_view ToString(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kAlready:
      return "already";
    case OrderOutcome::kConflict:
      return "conflict";
    case OrderOutcome::kRejected:
      return "rejected";
    case OrderOutcome::kOtherInstance:
      return "other_instance";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

void PlacementCore::Handle(const PlacementStarted& started) {
  this->token = started.token;
  if (started.is_state_current) {
    return;
  }
  this->store_load_budget.Reset(this->now);
  this->demands.clear();
  for (auto& [id, tracker] : this->trackers) {
    tracker.OnOutcomeUnknown(this->now);
    tracker.MarkStateUnknown(this->now);
    this->UpdateIndexes(tracker);
  }
  this->Plan();
}

void PlacementCore::Handle(const PlacementStopped&) {
  this->token = FencingToken();
}

void PlacementCore::Handle(const ConfigurationChanged& change) {
  const bool is_older =
      this->configuration != nullptr &&
      change.configuration->version() < this->configuration->version();
  if (!is_older) {
    this->configuration = change.configuration;
  }
}

void PlacementCore::Handle(const EvacuationsChanged& change) {
  this->evacuated = change.data_centres;
}

void PlacementCore::Handle(const FleetChanged& change) {
  this->fleet = change.fleet;
  for (const auto& [id, record] : this->fleet->targets) {
    const auto [entry, is_new] = this->trackers.try_emplace(id, record);
    TargetTracker& tracker = entry->second;
    if (is_new || tracker.registry_record() != record) {
      tracker.OnRecord(record, this->now);
      this->UpdateIndexes(tracker);
    }
  }
  std::erase_if(this->trackers, [this](const auto& entry) {
    const bool is_removed = !this->fleet->targets.contains(entry.first);
    if (is_removed) {
      this->loaded_targets.Remove(entry.first);
      this->targets_with_copy.Remove(entry.first);
    }
    return is_removed;
  });
  this->CheckStoreLoads();
}

void PlacementCore::UpdateIndexes(const TargetTracker& tracker) {
  this->loaded_targets.SetKeys(tracker.record().id,
                               tracker.LoadedOrOrderedPaths());
  this->targets_with_copy.SetKeys(tracker.record().id,
                                  tracker.ModelsWithCopy());
}

void PlacementCore::Handle(const HostModelLoadRequest& host_request) {
  const ModelLoadRequest& request = host_request.request;
  this->history.RecordRequest(request.path, this->now);
  if (this->token == FencingToken()) {
    return;
  }
  const DemandKey key{.path = request.path, .software = request.software};
  Demand& demand = this->demands[key];
  const bool is_new = demand.last_requested_at == TimePoint{};
  demand.service = request.service;
  demand.software = request.software;
  demand.latency_objective =
      is_new ? request.latency_objective
             : std::min(demand.latency_objective, request.latency_objective);
  demand.last_requested_at = this->now;
  demand.first_requested_at = is_new ? this->now : demand.first_requested_at;
  demand.requested_by.insert(host_request.host);
  for (const TargetId& target : request.denied_by) {
    const auto found = this->trackers.find(target);
    const bool is_tracked_as_loaded = found != this->trackers.end() &&
                                      found->second.HasPath(request.path) &&
                                      !found->second.loading();
    if (is_tracked_as_loaded) {
      demand.denied_by.insert(target);
    }
    if (is_tracked_as_loaded && found->second.IsFree(this->now)) {
      // The tracked state is wrong, or the target has crashed: no order is sent
      // there before its report.
      found->second.MarkStateUnknown(this->now);
    }
  }
  this->ServeByDeadline({key});
}

void PlacementCore::Handle(const ModelUsageReport& report) {
  this->history.Add(report, this->now);
}

void PlacementCore::Handle(const OrderEnded& ended) {
  const auto found = this->trackers.find(ended.target);
  if (found == this->trackers.end() || !found->second.pending_order()) {
    return;
  }
  TargetTracker& tracker = found->second;
  const SendOrder order = *tracker.pending_order();
  this->LogDecision(
      "place.order_ended",
      {{"target", ended.target.value()},
       {"path", order.path.ToString()},
       {"kind", order.kind == OrderKind::kLoad ? "load" : "unload"},
       {"expect", order.expected_sequence.value()},
       {"outcome", ToString(ended.outcome)}});
  this->RecordOutcome(tracker, order, ended.outcome);
  if (!tracker.IsStateKnown()) {
    this->ReleaseReservations(ended.target);
  }
  const bool is_unload_failed = order.kind == OrderKind::kUnload &&
                                ended.outcome != OrderOutcome::kAccepted &&
                                ended.outcome != OrderOutcome::kAlready &&
                                ended.outcome != OrderOutcome::kNoAnswer;
  if (is_unload_failed) {
    // Hosts were notified of an unload that does not happen.
    this->NotifyHosts(tracker, order.path, true, Duration::zero(),
                      this->InterestedHosts(order.path));
  }
  this->UpdateIndexes(tracker);
  this->ServeDemandsOrderedOn(ended.target);
}

// Updates the tracker with the target's answer, and notifies hosts.
void PlacementCore::RecordOutcome(TargetTracker& tracker,
                                  const SendOrder& order,
                                  OrderOutcome outcome) {
  const bool is_load = order.kind == OrderKind::kLoad;
  const Model* model =
      this->FindModel(tracker.record().service, order.path.model);
  const WeightSource source = tracker.SourceOf(order.path.model);
  const Duration ready_in = !is_load || model == nullptr ? Duration::zero()
                            : order.path.IsAdapter()     ? kAdapterLoadTime
                                                     : LoadTime(*model, source);
  switch (outcome) {
    case OrderOutcome::kAccepted:
      tracker.OnAccepted(source, ready_in, this->now);
      if (is_load && !order.path.IsAdapter() &&
          source == WeightSource::kStore) {
        this->store_loads.OnStarted(order.target, order.path, ready_in,
                                    this->now);
      }
      this->NotifyHosts(tracker, order.path, is_load, ready_in,
                        this->InterestedHosts(order.path));
      if (is_load) {
        this->EndDemands(order.path, tracker);
      }
      break;
    case OrderOutcome::kAlready:
      // A target unloads an unused adapter immediately, answers "already", and
      // counts the order in its sequence. It does not count an order that
      // changes nothing.
      if (!is_load && order.path.IsAdapter()) {
        tracker.OnAccepted(source, ready_in, this->now);
      } else {
        tracker.OnAlready(this->now);
      }
      this->NotifyHosts(tracker, order.path, is_load, Duration::zero(),
                        this->InterestedHosts(order.path));
      break;
    case OrderOutcome::kNoAnswer:
      tracker.OnNoAnswer(this->now);
      break;
    case OrderOutcome::kNotSent:
      // The target may have crashed and would refuse another connection
      // immediately, so no order is sent before its next report.
    case OrderOutcome::kRejected:
    case OrderOutcome::kOtherInstance:
      tracker.OnOutcomeUnknown(this->now);
      break;
    case OrderOutcome::kConflict:
      tracker.OnConflict(this->now);
      break;
  }
}

void PlacementCore::Handle(const TargetReportReceived& received) {
  const auto found = this->trackers.find(received.target);
  if (found == this->trackers.end()) {
    return;
  }
  TargetTracker& tracker = found->second;
  this->LogDecision("place.report",
                    {{"target", received.target.value()},
                     {"sequence", received.report.sequence.value()},
                     {"known_sequence", tracker.sequence().value()},
                     {"instance", received.report.instance.value()},
                     {"known_instance", tracker.record().instance.value()},
                     {"is_busy", received.report.is_busy ? "yes" : "no"},
                     {"loaded", received.report.loaded.size()}});
  tracker.OnReport(received.report, this->now);
  this->UpdateIndexes(tracker);
}

void PlacementCore::Handle(const TargetReportFailed& failed) {
  this->LogDecision("place.report_failed", {{"target", failed.target.value()},
                                            {"why", failed.reason}});
}

void PlacementCore::Handle(const PlacementTick&) {
  for (auto& [id, tracker] : this->trackers) {
    tracker.Tick(this->now);
  }
  this->store_loads.Tick(this->now);
  this->PublishStoreLoadLimit();
  this->history.DropExpired(this->now);
  this->Plan();
}

// Demands for which this target was freeing memory select another target.
void PlacementCore::ReleaseReservations(const TargetId& target) {
  for (auto& [key, demand] : this->demands) {
    if (demand.reserved_target == target) {
      demand.reserved_target.reset();
    }
  }
}

const Engine* PlacementCore::FindEngine(const ServiceId& service) const {
  const Service* found =
      this->configuration ? this->configuration->FindService(service) : nullptr;
  return found != nullptr && found->engine ? &*found->engine : nullptr;
}

const Model* PlacementCore::FindModel(const ServiceId& service,
                                      const ModelId& model) const {
  return this->configuration ? this->configuration->FindModel(service, model)
                             : nullptr;
}

bool PlacementCore::IsUsable(const TargetTracker& tracker) const {
  const TargetRecord& record = tracker.record();
  return !record.is_draining && !this->evacuated.contains(record.data_centre);
}

bool PlacementCore::MayServe(const TargetTracker& tracker,
                             const Demand& demand) const {
  return tracker.record().service == demand.service &&
         (!demand.software || tracker.record().software == *demand.software) &&
         this->IsUsable(tracker);
}

std::uint32_t PlacementCore::LoadedTargetCount(const ServiceId& service,
                                               const ModelPath& path) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      this->loaded_targets.TargetsWith(path), [&](const TargetId& target) {
        const TargetTracker& tracker = this->trackers.at(target);
        return tracker.record().service == service && this->IsUsable(tracker);
      }));
}

double PlacementCore::UsedMb(const TargetTracker& tracker) const {
  double used = 0;
  for (const ModelPath& path : tracker.paths()) {
    const Model* model = this->FindModel(tracker.record().service, path.model);
    if (model != nullptr) {
      used += path.IsAdapter() ? model->adapter_mb : model->weights_mb;
    }
  }
  return used;
}

std::uint32_t PlacementCore::AdapterCountOn(
    const TargetTracker& tracker) const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(tracker.paths(), &ModelPath::IsAdapter));
}

Duration PlacementCore::LoadTime(const Model& model, WeightSource source) {
  /// For the order's network delay and the end of the load.
  constexpr Duration kMargin = std::chrono::milliseconds(15);
  switch (source) {
    case WeightSource::kMemory:
      return model.memory_load_time + kMargin;
    case WeightSource::kDisk:
      return model.disk_load_time + kMargin;
    case WeightSource::kStore:
      return model.store_load_time + kMargin;
  }
  return model.store_load_time + kMargin;
}

void PlacementCore::IssueOrder(TargetTracker& tracker,
                               OrderKind kind,
                               const ModelPath& path,
                               const char* event) {
  const SendOrder order{.target = tracker.record().id,
                        .address = tracker.record().address,
                        .kind = kind,
                        .path = path,
                        .expected_sequence = tracker.sequence(),
                        .token = this->token};
  this->LogDecision(
      event,
      {{"target", order.target.value()},
       {"path", path.ToString()},
       {"expect", order.expected_sequence.value()},
       {"token", order.token.value()},
       {"used_mb", static_cast<std::int64_t>(this->UsedMb(tracker))},
       {"holders", this->LoadedTargetCount(tracker.record().service, path)}});
  tracker.OnOrderSent(order);
  this->UpdateIndexes(tracker);
  this->effects.emplace_back(order);
  if (kind == OrderKind::kUnload) {
    // Hosts should send no requests there while the running ones finish.
    this->NotifyHosts(tracker, path, false, Duration::zero(),
                      this->InterestedHosts(path));
  }
}

std::set<HostId> PlacementCore::InterestedHosts(const ModelPath& path) const {
  std::set<HostId> hosts = this->history.HostsUsing(path, this->now);
  for (auto demand = this->demands.lower_bound({.path = path});
       demand != this->demands.end() && demand->first.path == path; ++demand) {
    hosts.insert(demand->second.requested_by.begin(),
                 demand->second.requested_by.end());
  }
  return hosts;
}

void PlacementCore::NotifyHosts(const TargetTracker& tracker,
                                const ModelPath& path,
                                bool is_load,
                                Duration ready_in,
                                std::set<HostId> hosts) {
  this->effects.emplace_back(
      SendPlacementChange{.change = {.target = tracker.record().id,
                                     .instance = tracker.record().instance,
                                     .path = path,
                                     .is_load = is_load,
                                     .ready_in = ready_in},
                          .hosts = std::move(hosts)});
}

void PlacementCore::LogDecision(const char* event,
                                std::vector<LogField> fields) {
  this->effects.emplace_back(
      DecisionRecord{.event = event, .fields = std::move(fields)});
}

}  // namespace cicadaloft
