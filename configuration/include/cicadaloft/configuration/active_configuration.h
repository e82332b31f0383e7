#ifndef CICADALOFT_CONFIGURATION_ACTIVE_CONFIGURATION_H_
#define CICADALOFT_CONFIGURATION_ACTIVE_CONFIGURATION_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cicadaloft/configuration/configuration.h"

namespace cicadaloft {

/// A configuration with its look-up tables. Immutable; a request keeps the one
/// under which it was admitted.
class ActiveConfiguration {
 public:
  /// @param record as the operator has written it, for other hosts; empty if
  /// it is not to be sent to any.
  explicit ActiveConfiguration(Configuration configuration,
                               std::string record = {});
  ActiveConfiguration(const ActiveConfiguration&) = delete;
  ActiveConfiguration& operator=(const ActiveConfiguration&) = delete;

  const Configuration& value() const { return this->configuration; }
  ConfigurationVersion version() const { return this->configuration.version; }
  const std::string& record() const { return this->operator_record; }

  /// @param path without a query.
  /// @return the route with this hostname and the longest prefix of the path,
  /// or null.
  const Route* FindRoute(std::string_view hostname,
                         std::string_view path) const;
  const Route* FindRoute(const RouteId& id) const;
  /// @return null for an unknown key.
  const Customer* FindCustomerByKey(const std::string& key) const;
  const Customer* FindCustomer(const CustomerId& id) const;
  const Service* FindService(const ServiceId& id) const;
  /// @return null if the service has no such model.
  const Model* FindModel(const ServiceId& service, const ModelId& model) const;
  /// @return the first service whose engine has the model, or null.
  const Service* FindServiceOfModel(const ModelId& model) const;

 private:
  const Configuration configuration;
  const std::string operator_record;
  std::unordered_map<std::string, const Route*> routes_by_key;
  std::unordered_map<std::string, const Customer*> customers_by_key;
  std::map<CustomerId, const Customer*> customers;
  std::map<ServiceId, const Service*> services;
  std::map<ServiceId, std::map<ModelId, const Model*>> models;
};

using ActiveConfigurationPtr = std::shared_ptr<const ActiveConfiguration>;

/// Picks the service of one request according to the route's weights.
/// @param draw a number that is uniformly distributed over requests.
/// @return the service; if all weights are 0, they count as equal.
ServiceId PickService(const Route& route, std::uint64_t draw);

}  // namespace cicadaloft

#endif  // CICADALOFT_CONFIGURATION_ACTIVE_CONFIGURATION_H_
