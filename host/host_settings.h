#ifndef CICADALOFT_HOST_HOST_SETTINGS_H_
#define CICADALOFT_HOST_HOST_SETTINGS_H_

#include <compare>
#include <optional>
#include <string>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/duties/duty_settings.h"
#include "cicadaloft/settings/settings_reader.h"

namespace cicadaloft {

/// The settings file of one host.
struct HostSettings {
  HostId host;
  DataCentreId data_centre;
  std::string listen;        ///< Requests of callers.
  std::string ready_listen;  ///< Readiness probes.
  std::string admin_listen;  ///< For operators: metrics, status, explain.
  std::string peer_listen;   ///< Links from other hosts.
  /// Requests that other hosts forward; none are taken if empty.
  std::string forward_listen;
  /// Whether forward_listen is the default. Another process may have this port
  /// then, and the host starts without it.
  bool is_forward_listen_default = false;
  std::string own_listen;  ///< The native interface; not served if empty.
  std::string store;       ///< Address of the metadata store.
  /// Whether all hosts of a new system start together, so that customers can't
  /// have used any of their limits yet; not when a process restarts.
  bool is_first_start = false;
  double cores = 1;        ///< Number of cores that this host may use.
  Duration stop_time{};    ///< From the stop signal to the kill.
  double retry_ratio = 0;  ///< Retries per request, over all hosts.
  /// Retries allowed beyond retry_ratio in any window, over all hosts.
  double retry_slack = 0;
  /// Tolerated excess over a customer's limit, as a fraction of the limit.
  double limit_overshoot = 0;
  /// Tolerated excess beyond limit_overshoot, in the unit of the limit.
  double limit_slack = 0;
  Duration limit_window{};  ///< The window over which limits are measured.
  Duration drain_time{};    ///< How long a leaving target still serves.
  /// Minimum time from the last order of a lease holder to the first order of
  /// the next one.
  Duration handover_delay{};
  std::string log_level;
  /// Calls to the platform for all hosts; none if the platform has no use for
  /// them.
  std::optional<DutySettings> duties;

  friend auto operator<=>(const HostSettings&, const HostSettings&) = default;
  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

/// Without `forward_listen` it is the address of `peer_listen` with the port
/// below, if that lies above the port of `admin_listen` at the same IP: the
/// platform reserves a range of ports for traffic between hosts and operators,
/// of which these two are the last and the first. Else it is empty.
/// @return the settings, or kSettingsInvalid with one line that names the file,
/// the field and what was expected.
Result<HostSettings> ReadHostSettings(SettingsReader reader);

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_HOST_SETTINGS_H_
