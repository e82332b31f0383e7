#include "entry_core.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>
#include <ranges>
#include <utility>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/entry/event_names.h"

namespace cicadaloft {
namespace {

/// Fraction of the grace period that is left for runs. A run that starts later
/// may be cut off when the process exits, so waiting requests are refused
/// instead and their callers can retry elsewhere.
constexpr double kRunFractionAtStop = 0.5;

/// Upper bound of the time from the last grant of a lease holder until this
/// host is asked for its history by the next one.
constexpr Duration kMaxHolderChangeTime = std::chrono::seconds(6);

}  // namespace

std::string_view ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kCompleted:
      return "completed";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kShed:
      return "shed";
    case AttemptOutcome::kOutdatedHost:
      return "outdated_host";
    case AttemptOutcome::kNotLoaded:
      return "not_loaded";
    case AttemptOutcome::kOtherInstance:
      return "other_instance";
    case AttemptOutcome::kErrorResponse:
      return "failed_answer";
    case AttemptOutcome::kBrokenBeforeResponse:
      return "died_unstarted";
    case AttemptOutcome::kBrokenDuringResponse:
      return "died_started";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kOversizedResponse:
      return "oversized_response";
    case AttemptOutcome::kMemoryLimit:
      return "memory_limit";
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

EntryCore::EntryCore(const EntrySettings& settings)
    : settings(settings),
      sole_origins(settings.is_first_start),
      quota_charges(settings.limit_window + kMaxHolderChangeTime) {}

std::size_t EntryCore::WaitingRequestCount() const {
  return std::accumulate(this->queues.begin(), this->queues.end(),
                         std::size_t{0},
                         [](std::size_t sum, const auto& entry) {
                           return sum + entry.second.requests.size();
                         });
}

void EntryCore::Handle(const ConfigurationChanged& change) {
  const ConfigurationVersion version = change.configuration->version();
  if (this->configuration && version <= this->configuration->version()) {
    if (version < this->configuration->version()) {
      this->Log(event_names::kOlderConfigurationIgnored, RequestId(),
                {{"version", version.value()},
                 {"in_force", this->configuration->version().value()}});
    }
    return;
  }
  this->configuration = change.configuration;
  this->configured_at = this->now;
  this->lag.OnAdopted(version, this->now);
  this->UpdateRankedServices();
  this->UpdateAllShares();
  const Configuration& value = this->configuration->value();
  this->sole_origins.Update(value.routes, this->now);
  this->Log(event_names::kConfigurationAdopted, RequestId(),
            {{"version", version.value()},
             {"routes", value.routes.size()},
             {"customers", value.customers.size()}});
  this->ReleaseHeldArrivals();
  this->DispatchFromAllQueues();
}

void EntryCore::Handle(const EvacuationsChanged& change) {
  if (change.data_centres == this->evacuated) {
    return;
  }
  std::set<DataCentreId> reinstated;
  std::ranges::set_difference(this->evacuated, change.data_centres,
                              std::inserter(reinstated, reinstated.end()));
  this->PresumeCold(reinstated);
  this->evacuated = change.data_centres;
  std::string names;
  for (const DataCentreId& id : this->evacuated) {
    names += (names.empty() ? "" : ",") + id.value();
  }
  this->Log(event_names::kEvacuations, RequestId(), {{"data_centres", names}});
  this->DispatchFromAllQueues();
}

void EntryCore::Handle(const FleetChanged& change) {
  const FleetPtr before = this->fleet;
  this->fleet = change.fleet;
  this->sole_origins.Update(*this->fleet, this->now);
  this->targets_by_service.clear();
  for (const auto& [id, record] : this->fleet->targets) {
    this->targets_by_service[record->service].push_back(id);
    const auto found = this->targets.find(id);
    const bool is_known = found != this->targets.end();
    if (is_known && found->second.record_ptr() == record) {
      continue;
    }
    TargetView& view = is_known ? found->second : this->AddTarget(id, record);
    view.Update(record, this->now);
    this->model_locations.Update(*record, this->now);
  }
  std::erase_if(this->targets, [this](const auto& entry) {
    const bool is_removed = !this->fleet->targets.contains(entry.first);
    if (is_removed) {
      const TargetView& view = entry.second;
      this->lapsed_notices.Keep(entry.first, view.record().instance,
                                view.notices(), this->now);
      this->model_locations.Remove(entry.first);
    }
    return is_removed;
  });
  this->reachability.SetTargetCount(this->targets.size());
  this->DispatchFromAllQueues();
}

TargetView& EntryCore::AddTarget(const TargetId& id,
                                 const TargetRecordPtr& record) {
  const TargetView view(record,
                        this->lapsed_notices.Take(id, record->instance));
  return this->targets.emplace(id, view).first->second;
}

void EntryCore::Handle(const PlacementChange& change) {
  this->model_locations.OnPlacementChange(change, this->now);
  this->DispatchFromAllQueues();
}

void EntryCore::Handle(const SharesChanged& change) {
  if (change == this->shares) {
    return;
  }
  const bool has_host_count_changed =
      change.host_count != this->shares.host_count;
  this->shares = change;
  if (this->configuration) {
    this->UpdateAllShares();
  }
  for (auto& [service, budget] : this->retry_budgets) {
    this->UpdateRetryBudget(budget);
  }
  if (has_host_count_changed) {
    this->Log(event_names::kSharesChanged, RequestId(),
              {{"hosts", this->shares.host_count}});
  }
}

void EntryCore::Handle(const EntryTick&) {
  const TimePoint before = std::exchange(this->ticked_at, this->now);
  this->tick_gap =
      before == TimePoint{} ? Duration::zero() : this->now - before;
  this->ReportStarted();
  this->HandleExpired();
  this->EndExpiredArrivals();
  this->ProbeTargets();
  this->ConfirmHelpingHosts();
  this->ReportPoisonEvidence();
  this->DispatchFromAllQueues();
  if (this->now - this->usage_reported_at >= this->UsageReportInterval()) {
    this->usage_reported_at = this->now;
    this->ReportUsage();
  }
}

Duration EntryCore::UsageReportInterval() const {
  return std::max(kUsageReportInterval,
                  kUsageReportIntervalPerHost * this->shares.host_count);
}

void EntryCore::CountStarted(const OpenRequest& request) {
  if (this->settings.counts_usage && request.customer != nullptr) {
    ++this->started_requests[request.customer->id];
  }
}

void EntryCore::ReportStarted() {
  if (!this->started_requests.empty()) {
    this->effects.emplace_back(
        RequestsStarted{.counts = std::exchange(this->started_requests, {})});
  }
}

void EntryCore::RecordUsage(const OpenRequest& request) {
  ++this->service_counts[request.queue_key.service].arrivals;
  if (!request.queue_key.model) {
    return;
  }
  ModelUsage& usage = this->model_usages[*request.queue_key.model];
  usage.path = *request.queue_key.model;
  ++usage.arrivals;
  usage.interactive += request.IsBatch() ? 0 : 1;
}

void EntryCore::ReportUsage() {
  for (const auto& [id, request] : this->requests) {
    if (request.is_running && !request.via_host && request.queue_key.model) {
      ModelUsage& usage = this->model_usages[*request.queue_key.model];
      usage.path = *request.queue_key.model;
      ++usage.running;
    }
  }
  const auto model_usages = this->model_usages | std::views::values;
  const auto demands =
      this->customer_shares | std::views::transform([this](auto& entry) {
        const auto found = this->demands.find(entry.first);
        const Demand demand =
            found == this->demands.end() ? Demand{} : found->second;
        return CustomerDemand{
            .customer = entry.first,
            .cost = demand.cost,
            .requests = demand.requests,
            .used_fraction = entry.second.UsedFraction(this->now)};
      });
  std::vector<CustomerDemand> reported;
  std::ranges::copy_if(demands, std::back_inserter(reported),
                       [](const CustomerDemand& demand) {
                         return demand.cost > 0 || demand.used_fraction > 0;
                       });
  this->effects.emplace_back(
      UsageReport{.usages = {model_usages.begin(), model_usages.end()},
                  .demands = std::move(reported),
                  .service_loads = this->TakeServiceLoads()});
  this->model_usages.clear();
  this->demands.clear();
}

// Only the services whose number of targets is ordered are reported.
std::vector<ServiceLoad> EntryCore::TakeServiceLoads() {
  const auto counts = std::exchange(this->service_counts, {});
  std::map<ServiceId, ServiceLoad> loads;
  if (this->configuration) {
    for (const Service& service : this->configuration->value().services) {
      if (service.scaling) {
        const auto found = counts.find(service.id);
        const ServiceCounts count =
            found == counts.end() ? ServiceCounts{} : found->second;
        loads.emplace(service.id, ServiceLoad{.service = service.id,
                                              .arrivals = count.arrivals,
                                              .started = count.started,
                                              .running = {}});
      }
    }
  }
  if (loads.empty()) {
    return {};
  }
  std::map<std::pair<ServiceId, DataCentreId>, std::uint32_t> running;
  for (const OpenRequest& request : this->requests | std::views::values) {
    const auto load = loads.find(request.queue_key.service);
    if (load == loads.end()) {
      continue;
    }
    const auto target = this->targets.find(request.target);
    if (!request.is_running) {
      ++load->second.waiting;
    } else if (target != this->targets.end()) {
      ++running[{load->first, target->second.record().data_centre}];
    }
  }
  for (const auto& [key, count] : running) {
    loads.at(key.first).running.push_back(
        DataCentreLoad{.data_centre = key.second, .running = count});
  }
  const auto values = loads | std::views::values;
  return {values.begin(), values.end()};
}

void EntryCore::Handle(const EntryStopRequested& stop) {
  this->is_stopping = true;
  this->stop_requested_at = this->now;
  this->stop_grace_period = stop.grace_period;
  this->stop_wait_deadline =
      this->now + std::chrono::duration_cast<Duration>(
                      stop.grace_period * (1 - kRunFractionAtStop));
  for (auto& [id, request] : this->requests) {
    const TimePoint before = request.wait_deadline;
    request.wait_deadline = std::min(before, this->stop_wait_deadline);
    if (!request.is_running) {
      this->expiries.erase({before, id});
      this->expiries.emplace(request.wait_deadline, id);
    }
  }
}

void EntryCore::Log(const char* event,
                    const RequestId& request,
                    std::vector<LogField> fields) {
  this->effects.emplace_back(DecisionRecord{
      .event = event, .request = request, .fields = std::move(fields)});
}

}  // namespace cicadaloft
