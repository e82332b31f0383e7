#ifndef CICADALOFT_ROUTING_TARGET_LOAD_H_
#define CICADALOFT_ROUTING_TARGET_LOAD_H_

#include <compare>
#include <cstdint>
#include <optional>

namespace cicadaloft {

/// The load from all hosts that a target reported along with a response.
struct TargetLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes on the target's machine at the moment; 100: as usual.
  /// None if the target doesn't state it. It changes many times a second.
  std::optional<std::uint32_t> work_time_percent;

  friend auto operator<=>(const TargetLoad&, const TargetLoad&) = default;
  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_LOAD_H_
