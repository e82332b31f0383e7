#ifndef CICADALOFT_ROUTING_TARGET_LOAD_H_
#define CICADALOFT_ROUTING_TARGET_LOAD_H_

#include <compare>
#include <cstdint>

namespace cicadaloft {

/// The load from all hosts that a target reported along with a response.
struct TargetLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  friend auto operator<=>(const TargetLoad&, const TargetLoad&) = default;
  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_LOAD_H_
