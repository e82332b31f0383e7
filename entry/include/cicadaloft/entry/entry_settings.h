#ifndef CICADALOFT_ENTRY_ENTRY_SETTINGS_H_
#define CICADALOFT_ENTRY_ENTRY_SETTINGS_H_

#include <chrono>
#include <compare>
#include <cstddef>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// What an entry's decisions need to know of its host.
struct EntrySettings {
  const HostId host;
  const DataCentreId data_centre;
  const std::size_t max_waiting = 1000;  ///< Requests in the queue.
  /// A longer gap between two events means that the process was suspended.
  const Duration suspension_limit = std::chrono::seconds(1);
  /// A permit lent to another host is taken back after this time.
  const Duration permit_term = std::chrono::minutes(2);

  friend auto operator<=>(const EntrySettings&, const EntrySettings&) = default;
  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_SETTINGS_H_
