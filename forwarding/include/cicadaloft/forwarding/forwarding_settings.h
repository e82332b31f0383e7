#ifndef CICADALOFT_FORWARDING_FORWARDING_SETTINGS_H_
#define CICADALOFT_FORWARDING_FORWARDING_SETTINGS_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <memory>

#include "cicadaloft/core/memory_budget.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

inline constexpr std::size_t kMaxCallerConnections = 2000;
/// Connections over the limit that still get an error response.
inline constexpr std::size_t kMaxRejectedConnections = 100;
/// Connections from other hosts that still get an error response.
inline constexpr std::size_t kMaxRejectedForwardedConnections = 20;
/// Hosts keep an idle connection to another host for less than
/// TargetLimits::idle_timeout.
inline constexpr Duration kForwardedIdleTimeout = std::chrono::seconds(5);

/// Limits on one caller, and on all callers together.
struct CallerLimits {
  const std::size_t max_header_bytes = std::size_t{16} * 1024;
  const std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  const std::size_t max_connections = kMaxCallerConnections;
  const std::size_t max_rejected_connections = kMaxRejectedConnections;
  /// Limit for receiving a request's header, and separately for its body.
  const Duration read_timeout = std::chrono::seconds(10);
  const Duration idle_timeout = std::chrono::seconds(60);
  /// Longest time without the caller accepting a byte of the response.
  const Duration write_stall_timeout = std::chrono::seconds(30);
  /// For requests; shared by all connections of the host.
  const std::shared_ptr<MemoryBudget> memory = MakePeerMemoryBudget();

  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// Timeouts for targets, and how many idle connections are kept.
struct TargetLimits {
  /// A lost SYN packet is retransmitted after 1 s, which is too late for most
  /// requests; trying another target is faster.
  const Duration connect_timeout = std::chrono::milliseconds(300);
  /// For targets that don't state how long they keep a connection.
  const Duration idle_timeout = std::chrono::seconds(2);
  const std::size_t max_idle_connections = 32;  ///< Per address.
  /// For heads of responses; shared by all connections of the host.
  const std::shared_ptr<MemoryBudget> memory = MakePeerMemoryBudget();

  friend auto operator<=>(const TargetLimits&, const TargetLimits&) = default;
  friend bool operator==(const TargetLimits&, const TargetLimits&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_FORWARDING_SETTINGS_H_
