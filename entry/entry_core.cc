#include "entry_core.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>
#include <ranges>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/entry/reasons.h"

namespace cicadaloft {
namespace {

/// A run that begins later before the end of a stop seldom ends in time; who
/// waits is told to go elsewhere instead.
constexpr Duration kLeastRunAtStop = std::chrono::seconds(1);

}  // namespace

bool OpenRequest::IsBatch() const {
  // Requests that nobody waits for in front of a screen.
  constexpr Duration kBatchAim = std::chrono::seconds(1);
  return this->arrival.is_batch || this->route->latency_objective >= kBatchAim;
}

int OpenRequest::Rank() const {
  // Batch work yields to what is awaited: its aim leaves it the time.
  constexpr int kBatchRank = 7;
  constexpr int kMostRank = 9;
  return this->IsBatch() ? kBatchRank
                         : std::clamp(this->route->priority, 0, kMostRank);
}

std::string_view ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kCompleted:
      return "completed";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kShed:
      return "shed";
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
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

EntryCore::EntryCore(const EntrySettings& settings) : settings(settings) {}

std::size_t EntryCore::WaitingRequestCount() const {
  return std::accumulate(this->lines.begin(), this->lines.end(), std::size_t{0},
                         [](std::size_t sum, const auto& entry) {
                           return sum + entry.second.queue.size();
                         });
}

void EntryCore::Take(const ConfigurationChanged& change) {
  const ConfigurationVersion version = change.configuration->version();
  if (this->configuration && version <= this->configuration->version()) {
    if (version < this->configuration->version()) {
      this->Log(reasons::kOlderConfigurationIgnored, RequestId(),
                {{"version", version.value()},
                 {"in_force", this->configuration->version().value()}});
    }
    return;
  }
  this->configuration = change.configuration;
  this->configured_at = this->now;
  this->SetAllShares();
  const Configuration& value = this->configuration->value();
  this->Log(reasons::kConfigurationAdopted, RequestId(),
            {{"version", version.value()},
             {"routes", value.routes.size()},
             {"customers", value.customers.size()}});
  this->PumpAll();
}

void EntryCore::Take(const EvacuationsChanged& change) {
  if (change.data_centres == this->evacuated) {
    return;
  }
  std::set<DataCentreId> given_back;
  std::ranges::set_difference(this->evacuated, change.data_centres,
                              std::inserter(given_back, given_back.end()));
  this->PresumeCold(given_back);
  this->evacuated = change.data_centres;
  std::string names;
  for (const DataCentreId& id : this->evacuated) {
    names += (names.empty() ? "" : ",") + id.value();
  }
  this->Log(reasons::kEvacuations, RequestId(), {{"data_centres", names}});
  this->PumpAll();
}

void EntryCore::Take(const FleetChanged& change) {
  const FleetPtr before = this->fleet;
  this->fleet = change.fleet;
  this->targets_of.clear();
  for (const auto& [id, record] : this->fleet->targets) {
    this->targets_of[record->service].push_back(id);
    const auto found = this->targets.find(id);
    const bool is_known = found != this->targets.end();
    if (is_known && found->second.record_ptr() == record) {
      continue;
    }
    if (is_known && found->second.record().instance != record->instance) {
      this->TellDeaths(
          this->suspects.OnTargetCrashed(id, record->instance, this->now));
    }
    TargetView& view =
        is_known ? found->second
                 : this->targets.emplace(id, TargetView(record)).first->second;
    view.Update(record, this->now);
    this->whereabouts.Update(*record, this->now);
  }
  std::erase_if(this->targets, [this](const auto& entry) {
    const bool is_gone = !this->fleet->targets.contains(entry.first);
    if (is_gone) {
      this->whereabouts.Remove(entry.first);
      this->TellDeaths(
          this->suspects.OnTargetCrashed(entry.first, std::nullopt, this->now));
    }
    return is_gone;
  });
  this->PumpAll();
}

void EntryCore::Take(const PlacementChange& change) {
  this->whereabouts.OnPlacementChange(change, this->now);
  this->PumpAll();
}

void EntryCore::Take(const SharesChanged& change) {
  if (change == this->shares) {
    return;
  }
  const bool has_new_hosts = change.host_count != this->shares.host_count;
  this->shares = change;
  if (this->configuration) {
    this->SetAllShares();
  }
  for (auto& [service, budget] : this->budgets) {
    this->SetBudget(budget);
  }
  if (has_new_hosts) {
    this->Log(reasons::kSharesChanged, RequestId(),
              {{"hosts", this->shares.host_count}});
  }
}

void EntryCore::Take(const EntryTick&) {
  this->EndExpired();
  this->PumpAll();
  const Duration interval =
      std::max(kUsageReportInterval,
               kUsageReportIntervalPerHost * this->shares.host_count);
  if (this->now - this->usage_reported >= interval) {
    this->usage_reported = this->now;
    this->ReportUsage();
  }
}

void EntryCore::CountUse(const OpenRequest& request) {
  if (!request.line.model) {
    return;
  }
  ModelUsage& use = this->uses[*request.line.model];
  use.path = *request.line.model;
  ++use.arrivals;
  use.interactive += request.IsBatch() ? 0 : 1;
}

void EntryCore::ReportUsage() {
  for (const auto& [id, request] : this->requests) {
    if (request.is_running && request.line.model) {
      ModelUsage& use = this->uses[*request.line.model];
      use.path = *request.line.model;
      ++use.running;
    }
  }
  const auto uses = this->uses | std::views::values;
  const auto demands =
      this->customer_shares | std::views::transform([this](auto& entry) {
        const auto asked = this->demands.find(entry.first);
        const Demand demand =
            asked == this->demands.end() ? Demand{} : asked->second;
        return CustomerDemand{
            .customer = entry.first,
            .cost = demand.cost,
            .requests = demand.requests,
            .used_fraction = entry.second.UsedFraction(this->now)};
      });
  std::vector<CustomerDemand> told;
  std::ranges::copy_if(demands, std::back_inserter(told),
                       [](const CustomerDemand& demand) {
                         return demand.cost > 0 || demand.used_fraction > 0;
                       });
  this->effects.emplace_back(UsageReport{.usages = {uses.begin(), uses.end()},
                                         .demands = std::move(told)});
  this->uses.clear();
  this->demands.clear();
}

void EntryCore::Take(const EntryStopRequested& stop) {
  this->is_stopping = true;
  this->stopped_at = this->now;
  this->waits_end = this->now + stop.grace_period - kLeastRunAtStop;
  for (auto& [id, request] : this->requests) {
    const TimePoint before = request.gives_up_at;
    request.gives_up_at = std::min(before, this->waits_end);
    if (!request.is_running) {
      this->expiries.erase({before, id});
      this->expiries.emplace(request.gives_up_at, id);
    }
  }
}

void EntryCore::Log(const char* reason,
                    const RequestId& request,
                    std::vector<LogField> fields) {
  this->effects.emplace_back(DecisionRecord{
      .event = reason, .request = request, .fields = std::move(fields)});
}

}  // namespace cicadaloft
