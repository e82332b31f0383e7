#ifndef CICADALOFT_ENTRY_SOLE_ORIGINS_H_
#define CICADALOFT_ENTRY_SOLE_ORIGINS_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/configuration/configuration.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/fleet/target_record.h"
#include "cicadaloft/resumption/stream_origin.h"

namespace cicadaloft {

/// The only origin that the streams of a route have had for some time.
struct SoleOrigin {
  StreamOrigin origin;
  TimePoint since{};

  friend auto operator<=>(const SoleOrigin&, const SoleOrigin&) = default;
  friend bool operator==(const SoleOrigin&, const SoleOrigin&) = default;
};

/// Keeps for how long all targets of a service have had one known version, as
/// seen from this host.
class SoleOrigins {
 public:
  /// @param is_first_start no stream has begun before this process, on any
  /// host: what a service or route has when it is first seen, it has always
  /// had.
  explicit SoleOrigins(bool is_first_start) : is_first_start(is_first_start) {}

  /// Takes the versions of all targets into account. A service that has no
  /// target keeps what it had.
  void Update(const Fleet& fleet, TimePoint now);
  /// Replaces the routes, and forgets services to which none leads.
  void Update(const std::vector<Route>& routes, TimePoint now);

  /// What was known of the time before is no longer certain.
  void Forget(TimePoint now);

  /// @return the origin of all streams of the route since a time; none if there
  /// may have been others, as with several services.
  std::optional<SoleOrigin> Find(const RouteId& route) const;

 private:
  struct Version {
    SoftwareVersion software;  ///< Empty: several, or one that isn't known.
    TimePoint since{};
  };
  struct RouteService {
    std::optional<ServiceId> service;  ///< None: several.
    TimePoint since{};
  };

  /// Long before any stream that could still be taken up.
  static constexpr Duration kTimeBeforeFirstStart = std::chrono::hours(24);
  /// Services that can count as seen for the first time.
  static constexpr std::size_t kMaxServices = 1024;

  /// @return since when a service that was just found to have another version
  /// has had it.
  TimePoint SinceFor(const ServiceId& service, TimePoint now);

  bool is_first_start;
  std::set<ServiceId> seen_services;
  bool has_routes = false;
  std::map<ServiceId, Version> versions;
  std::map<RouteId, RouteService> route_services;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_SOLE_ORIGINS_H_
