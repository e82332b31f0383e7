#include "cicadaloft/routing/ejection.h"

#include <algorithm>

namespace cicadaloft {
namespace {

constexpr std::uint32_t kFailuresToEject = 2;

/// Doubling stops to matter after this many steps.
constexpr std::uint32_t kMostDoublings = 5;

}  // namespace

void Ejection::OnFailure(TimePoint now) {
  ++this->failures_in_a_row;
  // Requests that fail together don't double the time.
  if (this->failures_in_a_row < kFailuresToEject || this->IsEjected(now)) {
    return;
  }
  const std::uint32_t doublings =
      std::min(this->ejections_in_a_row++, kMostDoublings);
  this->ejected_until =
      now + std::min(kMaxBackoff, kMinBackoff * (1 << doublings));
}

void Ejection::OnOverload(TimePoint now) {
  this->ejected_until = std::max(this->ejected_until, now + kOverloadBackoff);
}

void Ejection::OnSuccess() {
  this->failures_in_a_row = 0;
  this->ejections_in_a_row = 0;
}

}  // namespace cicadaloft
