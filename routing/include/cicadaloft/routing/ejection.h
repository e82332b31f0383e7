#ifndef CICADALOFT_ROUTING_EJECTION_H_
#define CICADALOFT_ROUTING_EJECTION_H_

#include <chrono>
#include <cstdint>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Keeps new work off a target that fails twice in a row, for a time that
/// doubles with each further failure. One failure may be the request's own.
class Ejection {
 public:
  static constexpr Duration kMinBackoff = std::chrono::seconds(1);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(30);
  /// A target that refuses for overload rests this long.
  static constexpr Duration kOverloadBackoff = std::chrono::milliseconds(50);

  void OnFailure(TimePoint now);
  void OnOverload(TimePoint now);
  void OnSuccess();

  bool IsEjected(TimePoint now) const { return now < this->ejected_until; }
  TimePoint until() const { return this->ejected_until; }

 private:
  std::uint32_t failures_in_a_row = 0;
  std::uint32_t ejections_in_a_row = 0;
  TimePoint ejected_until{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_EJECTION_H_
