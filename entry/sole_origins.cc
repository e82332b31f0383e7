#include "sole_origins.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace cicadaloft {

void SoleOrigins::Update(const Fleet& fleet, TimePoint now) {
  std::map<ServiceId, SoftwareVersion> current;
  for (const TargetRecordPtr& record : fleet.targets | std::views::values) {
    const auto [entry, is_first] =
        current.try_emplace(record->service, record->software);
    if (!is_first && entry->second != record->software) {
      entry->second = SoftwareVersion();
    }
  }
  for (const auto& [service, software] : current) {
    Version& version = this->versions[service];
    if (version.software != software) {
      version =
          Version{.software = software, .since = this->SinceFor(service, now)};
    }
  }
}

TimePoint SoleOrigins::SinceFor(const ServiceId& service, TimePoint now) {
  const bool is_new = this->seen_services.size() < kMaxServices &&
                      this->seen_services.insert(service).second;
  return is_new && this->is_first_start ? now - kTimeBeforeFirstStart : now;
}

void SoleOrigins::Update(const std::vector<Route>& routes, TimePoint now) {
  const bool has_always_been = this->is_first_start && !this->has_routes;
  this->has_routes = true;
  const TimePoint since = has_always_been ? now - kTimeBeforeFirstStart : now;
  std::map<RouteId, RouteService> updated;
  for (const Route& route : routes) {
    const auto service = route.services.size() == 1
                             ? std::optional(route.services.front().service)
                             : std::nullopt;
    const auto found = this->route_services.find(route.id);
    const bool is_unchanged =
        found != this->route_services.end() && found->second.service == service;
    updated[route.id] = is_unchanged
                            ? found->second
                            : RouteService{.service = service, .since = since};
  }
  this->route_services = std::move(updated);
  std::erase_if(this->versions, [&](const auto& entry) {
    return std::ranges::none_of(
        this->route_services | std::views::values,
        [&](const RouteService& item) { return item.service == entry.first; });
  });
}

void SoleOrigins::Forget(TimePoint now) {
  this->is_first_start = false;
  for (Version& version : this->versions | std::views::values) {
    version.since = now;
  }
}

std::optional<SoleOrigin> SoleOrigins::Find(const RouteId& route) const {
  const auto found = this->route_services.find(route);
  if (found == this->route_services.end() || !found->second.service) {
    return std::nullopt;
  }
  const ServiceId& service = *found->second.service;
  const auto version = this->versions.find(service);
  if (version == this->versions.end() || version->second.software.empty()) {
    return std::nullopt;
  }
  return SoleOrigin{
      .origin = {.service = service, .software = version->second.software},
      .since = std::max(found->second.since, version->second.since)};
}

}  // namespace cicadaloft
