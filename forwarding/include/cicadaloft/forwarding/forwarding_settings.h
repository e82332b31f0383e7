#ifndef CICADALOFT_FORWARDING_FORWARDING_SETTINGS_H_
#define CICADALOFT_FORWARDING_FORWARDING_SETTINGS_H_

#include <chrono>
#include <compare>
#include <cstddef>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// What one caller, and all callers together, may take up.
struct CallerLimits {
  const std::size_t max_header_bytes = std::size_t{16} * 1024;
  const std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  const std::size_t max_connections = 2000;
  /// To send a header, and then to send a body.
  const Duration read_timeout = std::chrono::seconds(10);
  const Duration idle_timeout = std::chrono::seconds(60);
  /// Without the caller taking one byte of the answer.
  const Duration write_stall_timeout = std::chrono::seconds(30);

  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// How long targets are waited for, and how many connections are kept.
struct TargetLimits {
  /// A lost opening packet is repeated after a second, which is too late for
  /// most requests; another target is nearer.
  const Duration connect_timeout = std::chrono::milliseconds(300);
  /// For targets that don't tell how long they keep a connection.
  const Duration idle_timeout = std::chrono::seconds(2);
  const std::size_t max_idle_connections = 32;  ///< Kept for each address.

  friend auto operator<=>(const TargetLimits&, const TargetLimits&) = default;
  friend bool operator==(const TargetLimits&, const TargetLimits&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_FORWARDING_SETTINGS_H_
