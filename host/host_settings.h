#ifndef CICADALOFT_HOST_HOST_SETTINGS_H_
#define CICADALOFT_HOST_HOST_SETTINGS_H_

#include <compare>
#include <string>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/settings/settings_reader.h"

namespace cicadaloft {

/// What one host is told by its settings file.
struct HostSettings {
  HostId host;
  DataCentreId data_centre;
  std::string listen;        ///< For callers.
  std::string ready_listen;  ///< For readiness questions.
  std::string admin_listen;  ///< For operators: metrics, status, explain.
  std::string peer_listen;   ///< For links from other hosts.
  std::string own_listen;    ///< For the product's own interface; may be "".
  std::string store;
  bool is_first_start = false;  ///< The hosts start together.
  double cores = 1;             ///< That this host may use.
  Duration stop_time{};         ///< Between a planned stop and the kill.
  double retry_ratio = 0;
  double retry_slack = 0;
  double limit_overshoot = 0;  ///< Tolerated over a customer's limit.
  double limit_slack = 0;      ///< The same, as a fixed amount.
  Duration limit_window{};     ///< In which limits are judged.
  Duration drain_time{};       ///< A target that leaves serves on for so long.
  Duration handover_delay{};   ///< Between the orders of two holders.
  std::string log_level;

  friend auto operator<=>(const HostSettings&, const HostSettings&) = default;
  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

/// @return the settings, or kSettingsInvalid with one line that names file,
/// field and what was expected.
Result<HostSettings> ReadHostSettings(SettingsReader reader);

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_HOST_SETTINGS_H_
