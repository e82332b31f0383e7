#ifndef CICADALOFT_USAGE_USAGE_SETTINGS_H_
#define CICADALOFT_USAGE_USAGE_SETTINGS_H_

#include <chrono>
#include <compare>
#include <cstdint>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Settings of usage reports, fixed at the start of a process.
struct UsageSettings {
  HostId host;
  /// Distinguishes the successive processes of one host; later ones have higher
  /// numbers.
  std::uint64_t process = 0;
  Duration window = std::chrono::seconds(5);  ///< Length of a window.
  /// A window's report is due this long after the window's end.
  Duration delay = std::chrono::seconds(10);
  /// Calls that the platform accepts from all hosts, for all duties.
  double calls_per_second = 50;

  friend auto operator<=>(const UsageSettings&, const UsageSettings&) = default;
  friend bool operator==(const UsageSettings&, const UsageSettings&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_USAGE_SETTINGS_H_
