#ifndef CICADALOFT_CORE_BACKOFF_H_
#define CICADALOFT_CORE_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Times between attempts: doubled after each failure up to a limit, and
/// jittered so that hosts don't try again in step.
class Backoff {
 public:
  Backoff(Duration least, Duration most, std::uint64_t seed)
      : least(least), most(most), current(least), generator(seed) {}

  /// @return how long to wait after one more failure.
  Duration Next() {
    const Duration base = this->current;
    this->current = std::min(this->most, 2 * this->current);
    std::uniform_int_distribution<Duration::rep> jitter(base.count() / 2,
                                                        base.count());
    return Duration(jitter(this->generator));
  }
  /// Call it after a success.
  void Reset() { this->current = this->least; }

 private:
  Duration least;
  Duration most;
  Duration current;
  std::mt19937_64 generator;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_BACKOFF_H_
