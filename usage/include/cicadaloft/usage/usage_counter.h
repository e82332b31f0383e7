#ifndef CICADALOFT_USAGE_USAGE_COUNTER_H_
#define CICADALOFT_USAGE_USAGE_COUNTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "cicadaloft/core/time.h"
#include "cicadaloft/usage/messages.h"
#include "cicadaloft/usage/usage_settings.h"

namespace cicadaloft {

/// @return the window that contains a wall time.
UsageWindow WindowAt(Duration since_1970, Duration window);
/// @return the wall time at which a window begins.
Duration WindowBegin(UsageWindow index, Duration window);

/// @return the time between two messages with a host's counts. The lease holder
/// receives up to 100 a second from 100 hosts, and one from each host beyond.
Duration UsageCountInterval(std::size_t host_count);

/// Counts the requests that begin to run at one host, by window and customer.
class UsageCounter {
 public:
  /// Number of windows that a host keeps for a new lease holder.
  static constexpr std::uint64_t kKeptWindows = 24;

  explicit UsageCounter(UsageSettings settings);

  /// @param since_1970 the wall time at which counting began; later calls have
  /// no effect.
  void Begin(Duration since_1970);
  void Add(const UsageByCustomer& counts, Duration since_1970);

  /// @param since_1970 the wall time now.
  /// @param own_time the same by the host's own clock.
  /// @param has_all_windows whether to include all windows that are kept, or
  /// only the current one and one that has just ended.
  UsageCounts Report(Duration since_1970,
                     Duration own_time,
                     bool has_all_windows);
  /// @return the number of the last report.
  std::uint64_t last_number() const { return this->number; }

  /// @return the newest window that has ended since the last call, with its
  /// counts.
  std::optional<std::pair<UsageWindow, UsageByCustomer>> TakeEnded(
      Duration since_1970);

 private:
  UsageSettings settings;
  std::optional<Duration> begun_at;
  std::uint64_t number = 0;
  std::map<UsageWindow, UsageByCustomer> windows;
  std::optional<UsageWindow> current;  ///< At the last call of TakeEnded().
};

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_USAGE_COUNTER_H_
