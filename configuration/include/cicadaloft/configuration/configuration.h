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

/// Whether the requests of a route may be repeated.
enum class RetryPolicy {
  kIdempotent,  ///< A request may run more than once.
  kAtMostOnce,  ///< A request may run at most once.
  kResumable,   ///< A stream that another target may resume.
};

/// A service with its weight among the services of a route.
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
  bool is_public = false;      ///< Needs no key.
  std::uint32_t max_runs = 1;  ///< Targets that one request may run on.
  int priority = 5;            ///< 0 is served first.
  Duration timeout{};          ///< For the whole response.
  /// Until the response, or a stream's first event.
  Duration latency_objective{};
  /// Longest interval between two events of a stream that is on time; 0: none
  /// is stated.
  Duration event_interval_objective{};
  /// Callers disconnect after this time without data.
  Duration caller_timeout{};
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
  double adapter_mb = 0;  ///< Of each adapter.

  friend auto operator<=>(const Model&, const Model&) = default;
  friend bool operator==(const Model&, const Model&) = default;
};

/// Properties of all targets of a service that runs models.
struct Engine {
  double capacity_mb = 0;  ///< Memory for models and adapters on one target.
  std::uint32_t max_adapters = 0;     ///< Of one target.
  double store_loads_per_second = 0;  ///< Over all targets.
  std::uint32_t slots = 0;   ///< Requests that one target runs at once; 0: not
                             ///< stated.
  double memory_tokens = 0;  ///< Shared by running requests and kept parts of
                             ///< prompts on one target; 0: not stated.
  std::vector<Model> models;

  friend auto operator<=>(const Engine&, const Engine&) = default;
  friend bool operator==(const Engine&, const Engine&) = default;
};

/// Bounds of the number of targets that the operator's platform runs on order.
struct Scaling {
  std::uint32_t min_targets = 0;  ///< In each data centre.
  std::uint32_t max_targets = 0;  ///< In each data centre.
  Duration boot_time{};           ///< From the order until a target serves.

  friend auto operator<=>(const Scaling&, const Scaling&) = default;
  friend bool operator==(const Scaling&, const Scaling&) = default;
};

struct Service {
  ServiceId id;
  std::uint32_t max_connections_per_target = 0;  ///< From all hosts.
  double cold_requests_per_second = 0;  ///< To one cold target; 0: no limit.
  std::optional<Engine> engine;
  std::optional<Scaling> scaling;  ///< None: the number isn't ordered.

  friend auto operator<=>(const Service&, const Service&) = default;
  friend bool operator==(const Service&, const Service&) = default;
};

struct Customer {
  CustomerId id;
  std::vector<std::string> keys;
  int priority = 5;  ///< Takes precedence over the route's priority.
  bool is_limited_by_tokens = false;  ///< Otherwise each request counts as one.
  double default_tokens = 1;   ///< Cost of a request without a token count.
  double rate_per_second = 0;  ///< 0: no limit.
  double burst = 0;

  friend auto operator<=>(const Customer&, const Customer&) = default;
  friend bool operator==(const Customer&, const Customer&) = default;
};

/// Limits on what a caller sends, and on how long it takes.
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

/// The complete configuration of the operator, with its version.
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
