#include "cicadaloft/configuration/active_configuration.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cicadaloft {
namespace {

// A hostname contains no line break, so that the key is unambiguous.
std::string RouteKey(std::string_view hostname, std::string_view prefix) {
  std::string key(hostname);
  key += '\n';
  key += prefix;
  return key;
}

template <typename Map, typename Key>
typename Map::mapped_type FindOrNull(const Map& map, const Key& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : found->second;
}

}  // namespace

ActiveConfiguration::ActiveConfiguration(Configuration value,
                                         std::string record)
    : configuration(std::move(value)), operator_record(std::move(record)) {
  for (const Route& route : this->configuration.routes) {
    this->routes_by_key.emplace(RouteKey(route.hostname, route.path_prefix),
                                &route);
  }
  for (const Customer& customer : this->configuration.customers) {
    this->customers.emplace(customer.id, &customer);
    for (const std::string& key : customer.keys) {
      this->customers_by_key.emplace(key, &customer);
    }
  }
  for (const Service& service : this->configuration.services) {
    this->services.emplace(service.id, &service);
    if (!service.engine) {
      continue;
    }
    auto& service_models = this->models[service.id];
    for (const Model& model : service.engine->models) {
      service_models.emplace(model.id, &model);
    }
  }
}

const Route* ActiveConfiguration::FindRoute(std::string_view hostname,
                                            std::string_view path) const {
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto found =
        this->routes_by_key.find(RouteKey(hostname, path.substr(0, end + 1)));
    if (found != this->routes_by_key.end()) {
      return found->second;
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
  }
  return nullptr;
}

const Route* ActiveConfiguration::FindRoute(const RouteId& id) const {
  const auto found =
      std::ranges::find(this->configuration.routes, id, &Route::id);
  return found == this->configuration.routes.end() ? nullptr : &*found;
}

const Customer* ActiveConfiguration::FindCustomerByKey(
    const std::string& key) const {
  return FindOrNull(this->customers_by_key, key);
}

const Customer* ActiveConfiguration::FindCustomer(const CustomerId& id) const {
  return FindOrNull(this->customers, id);
}

const Service* ActiveConfiguration::FindService(const ServiceId& id) const {
  return FindOrNull(this->services, id);
}

const Model* ActiveConfiguration::FindModel(const ServiceId& service,
                                            const ModelId& model) const {
  const auto service_models = this->models.find(service);
  return service_models == this->models.end()
             ? nullptr
             : FindOrNull(service_models->second, model);
}

const Service* ActiveConfiguration::FindServiceOfModel(
    const ModelId& model) const {
  const auto found = std::ranges::find_if(this->models, [&](const auto& entry) {
    return entry.second.contains(model);
  });
  return found == this->models.end() ? nullptr
                                     : this->FindService(found->first);
}

ServiceId PickService(const Route& route, std::uint64_t draw) {
  const double total =
      std::accumulate(route.services.begin(), route.services.end(), 0.0,
                      [](double sum, const WeightedService& service) {
                        return sum + service.weight;
                      });
  constexpr std::uint64_t kResolution = 1'000'000;
  const double fraction = static_cast<double>(draw % kResolution) /
                          static_cast<double>(kResolution);
  if (total <= 0) {
    const auto index = static_cast<std::size_t>(
        fraction * static_cast<double>(route.services.size()));
    return route.services[index].service;
  }
  double remaining_weight = fraction * total;
  const auto picked =
      std::ranges::find_if(route.services, [&](const WeightedService& service) {
        remaining_weight -= service.weight;
        return remaining_weight < 0;
      });
  return picked == route.services.end() ? route.services.back().service
                                        : picked->service;
}

}  // namespace cicadaloft
