#ifndef CICADALOFT_CORE_BACKOFF_H_
#define CICADALOFT_CORE_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <random>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// Exponential backoff up to a limit, with jitter so that hosts don't retry at
/// the same time.
class Backoff {
 public:
  Backoff(Duration min_delay, Duration max_delay, std::uint64_t seed)
      : min_delay(min_delay),
        max_delay(max_delay),
        next_delay(min_delay),
        generator(seed) {}

  /// @return the delay after one more failure.
  Duration Next() {
    const Duration delay = this->next_delay;
    this->next_delay = std::min(this->max_delay, 2 * this->next_delay);
    std::uniform_int_distribution<Duration::rep> jitter(delay.count() / 2,
                                                        delay.count());
    return Duration(jitter(this->generator));
  }
  /// Call it after a success.
  void Reset() { this->next_delay = this->min_delay; }

 private:
  Duration min_delay;
  Duration max_delay;
  Duration next_delay;
  std::mt19937_64 generator;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_BACKOFF_H_
