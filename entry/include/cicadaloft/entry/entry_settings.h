#ifndef CICADALOFT_ENTRY_ENTRY_SETTINGS_H_
#define CICADALOFT_ENTRY_ENTRY_SETTINGS_H_

#include <chrono>
#include <compare>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// What an entry is told at its start.
struct EntrySettings {
  HostId host;
  DataCentreId data_centre;
  /// Repeated sends that each request allows, over all hosts.
  double retry_ratio = 0.2;
  /// Repeated sends in a window beyond the ratio, over all hosts.
  double retry_slack = 10;
  /// The operator tolerates so much over a customer's limit in a window, as a
  /// part of what the limit allows then and as a fixed amount.
  double limit_overshoot = 0;
  double limit_slack = 0;
  /// In which customers' limits are kept; above 0.
  Duration limit_window = std::chrono::seconds(1);
  /// Whether nothing can have been spent of customers' limits before: only
  /// when the hosts start together, not when a process comes back.
  bool is_first_start = false;

  friend auto operator<=>(const EntrySettings&, const EntrySettings&) = default;
  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_SETTINGS_H_
