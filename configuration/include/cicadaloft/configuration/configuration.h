#ifndef CICADALOFT_CONFIGURATION_CONFIGURATION_H_
#define CICADALOFT_CONFIGURATION_CONFIGURATION_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// What may be repeated on a route.
enum class RetryPolicy {
  kIdempotent,  ///< A request may run more than once.
  kAtMostOnce,  ///< It may run at most once.
  kResumable,   ///< A stream that another target may go on with.
};

/// A service's part of a route's requests.
struct WeightedService {
  ServiceId service;
  double weight = 1;

  friend auto operator<=>(const WeightedService&,
                          const WeightedService&) = default;
  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

struct Route {
  RouteId id;
  std::string hostname;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RetryPolicy retry_policy = RetryPolicy::kAtMostOnce;
  bool is_stream = false;
  bool is_public = false;        ///< Needs no key.
  std::uint32_t max_runs = 1;    ///< Targets that one request may run on.
  int priority = 5;              ///< 0 goes first.
  Duration timeout{};            ///< For the whole answer.
  Duration latency_objective{};  ///< To the answer, or a stream's first event.
  Duration caller_timeout{};  ///< Callers leave when nothing comes for so long.
  std::vector<WeightedService> services;  ///< Never empty.

  friend auto operator<=>(const Route&, const Route&) = default;
  friend bool operator==(const Route&, const Route&) = default;
};

struct Model {
  ModelId id;
  double weights_mb = 0;
  Duration store_load_time{};   ///< From the weight store.
  Duration disk_load_time{};    ///< From the target's own disk.
  Duration memory_load_time{};  ///< From the target's host memory.
  std::uint32_t adapter_count = 0;
  double adapter_mb = 0;  ///< Each.

  friend auto operator<=>(const Model&, const Model&) = default;
  friend bool operator==(const Model&, const Model&) = default;
};

/// What the targets of a service that runs models have in common.
struct Engine {
  double capacity_mb = 0;  ///< Room for models and adapters on one target.
  std::uint32_t max_adapters = 0;     ///< Adapters that one target holds.
  double store_loads_per_second = 0;  ///< Over all targets.
  std::vector<Model> models;

  friend auto operator<=>(const Engine&, const Engine&) = default;
  friend bool operator==(const Engine&, const Engine&) = default;
};

struct Service {
  ServiceId id;
  std::uint32_t max_connections_per_target =
      0;                                ///< To one target, from all hosts.
  double cold_requests_per_second = 0;  ///< To one cold target; 0: no limit.
  std::optional<Engine> engine;

  friend auto operator<=>(const Service&, const Service&) = default;
  friend bool operator==(const Service&, const Service&) = default;
};

struct Customer {
  CustomerId id;
  std::vector<std::string> keys;
  int priority = 5;                   ///< Goes before the route's priority.
  bool is_limited_by_tokens = false;  ///< Else each request counts as one.
  double default_tokens = 1;   ///< Cost of a request that states no tokens.
  double rate_per_second = 0;  ///< 0: no limit.
  double burst = 0;

  friend auto operator<=>(const Customer&, const Customer&) = default;
  friend bool operator==(const Customer&, const Customer&) = default;
};

/// What a caller may send, and how long it may take.
struct ConfiguredCallerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);

  friend auto operator<=>(const ConfiguredCallerLimits&,
                          const ConfiguredCallerLimits&) = default;
  friend bool operator==(const ConfiguredCallerLimits&,
                         const ConfiguredCallerLimits&) = default;
};

/// Everything that the operator decides, as one numbered whole.
struct Configuration {
  ConfigurationVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Customer> customers;
  ConfiguredCallerLimits caller_limits;

  friend auto operator<=>(const Configuration&, const Configuration&) = default;
  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONFIGURATION_CONFIGURATION_H_
