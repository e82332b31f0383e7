#include "cicadaloft/routing/ejection.h"

#include <algorithm>

namespace cicadaloft {
namespace {

/// Doubling stops to matter after this many steps.
constexpr std::uint32_t kMostDoublings = 5;

}  // namespace

void Ejection::OnFailure(FailureKind kind, TimePoint now) {
  // Requests that fail together are one failure of the target.
  const bool is_same_failure = this->failures_in_a_row > 0 &&
                               now - this->last_failure < kLastResortPause;
  this->last_failure = now;
  if (!is_same_failure) {
    ++this->failures_in_a_row;
  }
  if (kind == FailureKind::kDoubtful && this->failures_in_a_row < 2) {
    return;
  }
  const std::uint32_t doublings =
      std::min(this->failures_in_a_row - 1, kMostDoublings);
  const Duration back_off =
      std::min(kLongestBackOff, kFirstBackOff * (1 << doublings));
  this->ejected_until = now + back_off;
}

void Ejection::OnOverload(TimePoint now) {
  this->ejected_until = std::max(this->ejected_until, now + kOverloadPause);
  this->last_failure = now;
}

void Ejection::OnGoodAnswer() {
  this->failures_in_a_row = 0;
}

void Ejection::Forget() {
  *this = Ejection();
}

bool Ejection::IsLastResort(TimePoint now) const {
  return now - this->last_failure >= kLastResortPause;
}

}  // namespace cicadaloft
