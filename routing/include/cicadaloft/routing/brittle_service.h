#ifndef CICADALOFT_ROUTING_BRITTLE_SERVICE_H_
#define CICADALOFT_ROUTING_BRITTLE_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "cicadaloft/core/time.h"
#include "cicadaloft/routing/target_notice.h"

namespace cicadaloft {

/// What a host knows of all targets of a service. It holds for a target from
/// which the host has heard nothing lately.
class BrittleService {
 public:
  /// A target of the service has answered, with this limit in its head.
  void OnAnswer(const std::optional<std::uint32_t>& rejection_limit,
                TimePoint now) {
    this->has_answer = true;
    if (rejection_limit) {
      this->stated_limit = rejection_limit;
      this->stated_at = now;
    } else if (now - this->stated_at >= kBrittleTtl) {
      this->stated_limit.reset();
    }
  }

  /// @return whether any target has answered yet.
  bool HasAnswer() const { return this->has_answer; }
  /// @return the limit that was stated last; none if targets have answered
  /// without one for kBrittleTtl.
  const std::optional<std::uint32_t>& RejectionLimit() const {
    return this->stated_limit;
  }

 private:
  bool has_answer = false;
  std::optional<std::uint32_t> stated_limit;
  TimePoint stated_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_BRITTLE_SERVICE_H_
