#ifndef CICADALOFT_ENTRY_ENTRY_SETTINGS_H_
#define CICADALOFT_ENTRY_ENTRY_SETTINGS_H_

#include <chrono>
#include <compare>
#include <cstddef>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Settings of an entry, fixed at its start.
struct EntrySettings {
  HostId host;
  DataCentreId data_centre;
  /// Retries that each request adds to the budget, over all hosts.
  double retry_ratio = 0.2;
  /// Retries beyond the ratio in any window, over all hosts.
  double retry_slack = 10;
  /// Tolerated overshoot of a customer's limit in a window: as a fraction of
  /// what the limit allows in a window, and as a fixed cost, which
  /// applies only to limits in tokens.
  double limit_overshoot = 0;
  double limit_slack = 0;
  /// Window over which customers' limits are enforced; above 0.
  Duration limit_window = std::chrono::seconds(1);
  /// True only when all hosts start together, so that nothing of customers'
  /// limits can have been used yet; false when a process restarts.
  bool is_first_start = false;
  /// Requests that other hosts have forwarded and this host serves at a time:
  /// what its descriptors allow besides its own callers.
  std::size_t max_forwarded_requests = 64;
  /// Whether requests that begin to run are counted, by customer.
  bool counts_usage = false;

  friend auto operator<=>(const EntrySettings&, const EntrySettings&) = default;
  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_SETTINGS_H_
