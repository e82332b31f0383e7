#include "cicadaloft/routing/ejection.h"

#include <algorithm>

namespace cicadaloft {
namespace {

constexpr std::uint32_t kFailuresToEject = 2;

/// After this many doublings the backoff is at its maximum.
constexpr std::uint32_t kMaxDoublings = 5;

}  // namespace

void Ejection::OnFailure(TimePoint now) {
  ++this->consecutive_failures;
  // Concurrent requests that fail together double the backoff only once.
  if (this->consecutive_failures < kFailuresToEject || this->IsEjected(now)) {
    return;
  }
  const std::uint32_t doublings =
      std::min(this->consecutive_ejections++, kMaxDoublings);
  this->ejected_at = now;
  this->ejected_until =
      now + std::min(kMaxBackoff, kMinBackoff * (1 << doublings));
}

void Ejection::LiftSince(TimePoint since) {
  if (this->ejected_at >= since) {
    *this = Ejection();
  }
}

void Ejection::OnOverload(TimePoint now) {
  this->ejected_until = std::max(this->ejected_until, now + kOverloadBackoff);
}

void Ejection::OnSuccess() {
  this->consecutive_failures = 0;
  this->consecutive_ejections = 0;
}

}  // namespace cicadaloft
