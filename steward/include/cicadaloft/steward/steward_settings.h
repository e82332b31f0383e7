#ifndef CICADALOFT_STEWARD_STEWARD_SETTINGS_H_
#define CICADALOFT_STEWARD_STEWARD_SETTINGS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/membership/messages.h"

namespace cicadaloft {

/// What a steward's decisions need to know of its host and of time limits.
struct StewardSettings {
  const Member self;
  const DataCentreId data_centre;
  const std::string peer_address;  ///< "IP:port" that other hosts reach.
  const Duration lease_term = std::chrono::seconds(6);
  const Duration renew_interval = std::chrono::seconds(2);
  /// Allowed for clocks that run at different speeds, per lease term.
  const Duration drift_bound = std::chrono::milliseconds(500);
  /// A longer gap between two events means that the process was suspended.
  const Duration suspension_limit = std::chrono::seconds(1);
  const Duration heartbeat_interval = std::chrono::milliseconds(500);
  const Duration poll_interval = std::chrono::milliseconds(250);
  /// No order to a target takes effect later than this after it was sent.
  const Duration order_term = std::chrono::seconds(30);
  /// A checkpoint is written after this many records.
  const std::uint64_t checkpoint_records = 2000;

  friend auto operator<=>(const StewardSettings&,
                          const StewardSettings&) = default;
  friend bool operator==(const StewardSettings&,
                         const StewardSettings&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_STEWARD_SETTINGS_H_
