#ifndef CICADALOFT_ROUTING_EJECTION_H_
#define CICADALOFT_ROUTING_EJECTION_H_

#include <chrono>
#include <cstdint>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

enum class FailureKind {
  kPlain,     ///< The target can't be reached or broke off without an answer.
  kDoubtful,  ///< It was slow or cut an answer: counts from the second one on.
};

/// Keeps new work off a target that fails, for a time that doubles with each
/// further failure.
class Ejection {
 public:
  static constexpr Duration kFirstBackOff = std::chrono::seconds(1);
  static constexpr Duration kLongestBackOff = std::chrono::seconds(30);
  /// A target that refuses for overload rests this long.
  static constexpr Duration kOverloadPause = std::chrono::milliseconds(50);
  /// Where all targets of a path are ejected, one that failed this long ago is
  /// tried all the same.
  static constexpr Duration kLastResortPause = std::chrono::milliseconds(250);

  void OnFailure(FailureKind kind, TimePoint now);
  void OnOverload(TimePoint now);
  void OnGoodAnswer();
  /// Another process runs there: its predecessor's faults don't count.
  void Forget();

  bool IsEjected(TimePoint now) const { return now < this->ejected_until; }
  /// @return whether it may be tried although it is ejected.
  bool IsLastResort(TimePoint now) const;
  TimePoint until() const { return this->ejected_until; }
  std::uint32_t failures() const { return this->failures_in_a_row; }

 private:
  std::uint32_t failures_in_a_row = 0;
  TimePoint last_failure{};
  TimePoint ejected_until{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_EJECTION_H_
