#include "scaling_core.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <string_view>

namespace cicadaloft {
namespace {

/// Fraction of the hosts that must have reported.
constexpr double kMinReportedFraction = 0.9;
/// The same of the hosts that were there within the last minute, among them
/// those that were lost with their data centre.
constexpr double kMinReportedFractionOfKnown = 0.5;

/// A data centre without targets counts as lost for this long. After that it
/// counts as given up.
constexpr Duration kLostZoneTtl = std::chrono::minutes(10);

constexpr Duration kSampleInterval = std::chrono::milliseconds(200);

}  // namespace

void ScalingCore::Handle(const ScalingStarted& started) {
  this->token = started.token;
  if (started.is_state_current) {
    return;
  }
  this->started_at = this->now;
  this->has_complete_reports = false;
  for (ScaledService& scaled : this->services | std::views::values) {
    for (Zone& zone : scaled.zones | std::views::values) {
      zone.ordered = OrderedCount();
    }
  }
}

void ScalingCore::Handle(const ScalingStopped&) {
  this->token = FencingToken();
  this->PublishCounts();
}

void ScalingCore::Handle(const ConfigurationChanged& change) {
  const bool is_older =
      this->configuration != nullptr &&
      change.configuration->version() < this->configuration->version();
  if (is_older) {
    return;
  }
  this->configuration = change.configuration;
  std::erase_if(this->services, [this](const auto& entry) {
    const Service* service = this->configuration->FindService(entry.first);
    return service == nullptr || !service->scaling;
  });
  for (const Service& service : this->configuration->value().services) {
    if (service.scaling) {
      for (Zone& zone : this->services[service.id].zones | std::views::values) {
        zone.ordered.OnConfigurationChanged();
      }
    }
  }
  this->UpdateZones();
}

void ScalingCore::Handle(const EvacuationsChanged& change) {
  this->evacuated = change.data_centres;
}

void ScalingCore::Handle(const FleetChanged& change) {
  this->fleet = change.fleet;
  this->UpdateZones();
}

void ScalingCore::UpdateZones() {
  if (this->fleet == nullptr) {
    return;
  }
  for (auto& [id, scaled] : this->services) {
    for (Zone& zone : scaled.zones | std::views::values) {
      zone.running = 0;
    }
    double slots = 0;
    std::uint32_t count = 0;
    for (const TargetRecordPtr& record :
         this->fleet->targets | std::views::values) {
      if (record->service != id) {
        continue;
      }
      Zone& zone = scaled.zones[record->data_centre];
      zone.last_seen_at = this->now;
      zone.running += record->is_draining ? 0 : 1;
      slots += record->slots;
      ++count;
    }
    scaled.slots = count == 0 ? scaled.slots : slots / count;
    std::erase_if(scaled.zones, [this](const auto& entry) {
      return this->now - entry.second.last_seen_at >= kLostZoneTtl;
    });
  }
}

void ScalingCore::Handle(const ServiceLoadReport& report) {
  this->reported_at[report.host] = this->now;
  for (const ServiceLoad& load : report.loads) {
    const auto found = this->services.find(load.service);
    if (found != this->services.end()) {
      found->second.load.Add(report.host, load, this->now);
    }
  }
}

void ScalingCore::Handle(const ModelUsageReport& report) {
  this->models_in_use.Add(report, this->now);
}

void ScalingCore::Handle(const TargetCountOrderEnded& ended) {
  const auto service = this->services.find(ended.call.service);
  if (service == this->services.end()) {
    return;
  }
  const auto zone = service->second.zones.find(ended.call.data_centre);
  if (zone == service->second.zones.end() ||
      !zone->second.ordered.OnEnded(ended, this->now)) {
    return;
  }
  this->Log("scaling.order_ended",
            {{"service", ended.call.service.value()},
             {"data_centre", ended.call.data_centre.value()},
             {"count", ended.call.count},
             {"token", ended.call.token.value()},
             {"outcome", ToString(ended.outcome)}});
}

void ScalingCore::Handle(const ScalingTick& tick) {
  this->host_count = tick.host_count;
  this->linked_host_count = tick.linked_host_count;
  if (this->now - this->last_tick_at < kSampleInterval) {
    return;
  }
  this->last_tick_at = this->now;
  std::erase_if(this->reported_at, [this](const auto& entry) {
    return this->now - entry.second >= LoadHistory::kReportTtl;
  });
  this->has_complete_reports |= this->HaveLinkedHostsReported();
  for (ScaledService& scaled : this->services | std::views::values) {
    scaled.load.Sample(this->now);
  }
  if (this->MayOrder()) {
    for (const Service& service : this->configuration->value().services) {
      const auto found = this->services.find(service.id);
      if (found != this->services.end()) {
        this->Plan(service, found->second);
      }
    }
  }
  this->PublishCounts();
}

bool ScalingCore::MayOrder() const {
  return this->token != FencingToken() && this->configuration != nullptr &&
         this->fleet != nullptr && this->has_complete_reports;
}

bool ScalingCore::HaveLinkedHostsReported() const {
  const auto reported = static_cast<double>(this->reported_at.size());
  return reported >= kMinReportedFraction * this->linked_host_count &&
         reported >= kMinReportedFractionOfKnown * this->host_count;
}

bool ScalingCore::HaveAllHostsReported() const {
  return static_cast<double>(this->reported_at.size()) >=
         kMinReportedFraction * this->host_count;
}

void ScalingCore::PublishCounts() {
  std::vector<TargetCount> counts;
  if (this->token != FencingToken()) {
    for (const auto& [service, scaled] : this->services) {
      for (const auto& [data_centre, zone] : scaled.zones) {
        counts.push_back(TargetCount{.service = service,
                                     .data_centre = data_centre,
                                     .running = zone.running,
                                     .ordered = zone.ordered.accepted()});
      }
    }
  }
  if (counts != this->published) {
    this->published = counts;
    this->effects.emplace_back(TargetCountsChanged{.counts = counts});
  }
}

void ScalingCore::Log(const char* event, std::vector<LogField> fields) {
  this->effects.emplace_back(
      DecisionRecord{.event = event, .fields = std::move(fields)});
}

}  // namespace cicadaloft
