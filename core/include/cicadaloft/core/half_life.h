#ifndef CICADALOFT_CORE_HALF_LIFE_H_
#define CICADALOFT_CORE_HALF_LIFE_H_

#include <chrono>
#include <cmath>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// @return the factor of exponential decay after `age`: 0.5 after one
/// `half_life`, 0.25 after two.
inline double DecayFactor(Duration age, Duration half_life) {
  const std::chrono::duration<double> age_seconds = age;
  const std::chrono::duration<double> half_life_seconds = half_life;
  return std::exp2(-age_seconds.count() / half_life_seconds.count());
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_HALF_LIFE_H_
