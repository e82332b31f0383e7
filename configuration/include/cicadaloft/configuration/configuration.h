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
enum class Repetition {
  kAny,        ///< A request may run more than once.
  kOnce,       ///< It may run at most once.
  kResumable,  ///< A stream that another target may go on with.
};

/// A service's part of a route's requests.
struct RouteShare {
  ServiceId service;
  double weight = 1;

  friend auto operator<=>(const RouteShare&, const RouteShare&) = default;
  friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

struct Route {
  RouteId id;
  std::string hostname;
  std::string path_prefix;  ///< Begins and ends with a slash.
  Repetition repetition = Repetition::kOnce;
  bool is_stream = false;
  bool is_public = false;       ///< Needs no key.
  std::uint32_t most_runs = 1;  ///< Targets that one request may run on.
  int rank = 5;                 ///< 0 goes first.
  Duration timeout{};           ///< For the whole answer.
  Duration latency_aim{};       ///< To the answer, or a stream's first event.
  Duration patience{};  ///< Callers leave when nothing comes for so long.
  std::vector<RouteShare> services;  ///< Never empty.

  friend auto operator<=>(const Route&, const Route&) = default;
  friend bool operator==(const Route&, const Route&) = default;
};

struct Model {
  ModelId id;
  double weights_mb = 0;
  Duration store_load{};   ///< From the weight store.
  Duration disk_load{};    ///< From the target's own disk.
  Duration memory_load{};  ///< From the target's host memory.
  std::uint32_t adapters = 0;
  double adapter_mb = 0;  ///< Each.

  friend auto operator<=>(const Model&, const Model&) = default;
  friend bool operator==(const Model&, const Model&) = default;
};

/// What the targets of a service that runs models have in common.
struct Engine {
  double capacity_mb = 0;  ///< Room for models and adapters on one target.
  std::uint32_t adapter_slots = 0;    ///< Adapters that one target holds.
  double store_loads_per_second = 0;  ///< Over all targets.
  std::vector<Model> models;

  friend auto operator<=>(const Engine&, const Engine&) = default;
  friend bool operator==(const Engine&, const Engine&) = default;
};

struct Service {
  ServiceId id;
  std::uint32_t most_connections = 0;   ///< To one target, from all hosts.
  double cold_requests_per_second = 0;  ///< To one cold target; 0: no limit.
  std::optional<Engine> engine;

  friend auto operator<=>(const Service&, const Service&) = default;
  friend bool operator==(const Service&, const Service&) = default;
};

struct Customer {
  CustomerId id;
  std::vector<std::string> keys;
  int rank = 5;                ///< Goes before the route's rank.
  bool counts_tokens = false;  ///< Else each request counts as one.
  double plain_tokens = 1;     ///< Cost of a request that states no tokens.
  double rate_per_second = 0;  ///< 0: no limit.
  double burst = 0;

  friend auto operator<=>(const Customer&, const Customer&) = default;
  friend bool operator==(const Customer&, const Customer&) = default;
};

/// What a caller may send, and how long it may take.
struct CallerBounds {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  Duration header_time = std::chrono::seconds(10);
  Duration idle_time = std::chrono::seconds(60);

  friend auto operator<=>(const CallerBounds&, const CallerBounds&) = default;
  friend bool operator==(const CallerBounds&, const CallerBounds&) = default;
};

/// Everything that the operator decides, as one numbered whole.
struct Configuration {
  ConfigurationVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Customer> customers;
  CallerBounds caller_limits;

  friend auto operator<=>(const Configuration&, const Configuration&) = default;
  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONFIGURATION_CONFIGURATION_H_
