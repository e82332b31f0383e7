#ifndef CICADALOFT_CORE_HALF_LIFE_H_
#define CICADALOFT_CORE_HALF_LIFE_H_

#include <chrono>
#include <cmath>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// @return what is left of 1 after `age`, if half of it goes in each
/// `half_life`.
inline double DecayFactor(Duration age, Duration half_life) {
  const std::chrono::duration<double> passed = age;
  const std::chrono::duration<double> half = half_life;
  return std::exp2(-passed.count() / half.count());
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_HALF_LIFE_H_
