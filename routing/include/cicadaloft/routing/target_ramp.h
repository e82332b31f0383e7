#ifndef CICADALOFT_ROUTING_TARGET_RAMP_H_
#define CICADALOFT_ROUTING_TARGET_RAMP_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// Splits `total` over hosts: each gets the whole quotient, and those that
/// rank highest for the target one more. The parts add up to `total`, and a
/// host's part grows with `total` and shrinks with more hosts.
/// @return the part of `self`; 0 if it is not among `hosts`.
std::uint32_t PartOf(std::uint32_t total,
                     const TargetId& target,
                     const std::vector<HostId>& hosts,
                     const HostId& self);

/// Orders hosts by how early they get a part of the target's cap.
std::vector<HostId> RankHosts(const TargetId& target,
                              const std::vector<HostId>& hosts);

/// What one host may have running on a target at the beginning and at most.
struct RampBounds {
  const std::uint32_t initial = 0;
  const std::uint32_t most = 0;

  friend auto operator<=>(const RampBounds&, const RampBounds&) = default;
};

/// One host's part of a target's cap. Each host begins at its part of the
/// initial concurrency and grows by one for each limit's worth of good answers
/// up to its part of the whole; so the sum over hosts begins at the initial
/// concurrency and stays within the whole without any message.
class TargetRamp {
 public:
  /// Sets the bounds; a limit outside of them is clipped.
  void SetBounds(const RampBounds& bounds);
  /// A fresh process, or one that has failed: back to the beginning.
  void Restart();
  void OnGoodAnswer();
  /// The target was overloaded: half of the limit, not below the beginning.
  void OnOverload();

  std::uint32_t limit() const { return this->current; }

 private:
  std::uint32_t initial = 0;
  std::uint32_t most = 0;
  std::uint32_t current = 0;
  std::uint32_t good_answers = 0;  ///< Since the last step.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_RAMP_H_
