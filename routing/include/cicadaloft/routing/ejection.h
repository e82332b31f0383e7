#ifndef CICADALOFT_ROUTING_EJECTION_H_
#define CICADALOFT_ROUTING_EJECTION_H_

#include <chrono>
#include <cstdint>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Ejects a target that fails twice in a row: it gets no new requests for a
/// backoff that doubles with each further ejection. A single failure may be
/// caused by the request itself.
class Ejection {
 public:
  static constexpr Duration kMinBackoff = std::chrono::seconds(1);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(30);
  /// Backoff for a target that refused a request because it is overloaded.
  static constexpr Duration kOverloadBackoff = std::chrono::milliseconds(50);

  void OnFailure(TimePoint now);
  void OnOverload(TimePoint now);
  void OnSuccess();
  /// Ends an ejection that began at `since` or later.
  void LiftSince(TimePoint since);

  bool IsEjected(TimePoint now) const { return now < this->ejected_until; }
  TimePoint until() const { return this->ejected_until; }

 private:
  std::uint32_t consecutive_failures = 0;
  std::uint32_t consecutive_ejections = 0;
  TimePoint ejected_at{};  ///< Begin of the last ejection.
  TimePoint ejected_until{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_EJECTION_H_
