#include "cicadaloft/usage/wall_clock.h"

namespace cicadaloft {
namespace {

bool IsClose(Duration left, Duration right) {
  return std::chrono::abs(left - right) <= kMaxClockDifference;
}

}  // namespace

void WallClock::OnRead(Duration since_1970, TimePoint now) {
  const Duration offset = since_1970 - now.time_since_epoch();
  if (!this->own_offset || IsClose(*this->own_offset, offset)) {
    this->own_offset = offset;
    this->jump.reset();
    return;
  }
  if (!this->jump || !IsClose(this->jump->offset, offset)) {
    this->jump = Jump{.offset = offset, .since = now};
  }
  if (now - this->jump->since >= kJumpDelay) {
    this->own_offset = offset;
    this->jump.reset();
  }
}

void WallClock::OnCorrection(Duration since_1970, TimePoint now) {
  this->corrected_offset = since_1970 - now.time_since_epoch();
}

Duration WallClock::Time(TimePoint now) const {
  const bool is_corrected =
      this->corrected_offset &&
      !IsClose(*this->corrected_offset, *this->own_offset);
  return now.time_since_epoch() +
         (is_corrected ? *this->corrected_offset : *this->own_offset);
}

Duration WallClock::OwnTime(TimePoint now) const {
  return now.time_since_epoch() + *this->own_offset;
}

}  // namespace cicadaloft
