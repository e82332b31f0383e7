#ifndef CICADALOFT_CORE_STEP_H_
#define CICADALOFT_CORE_STEP_H_

#include <vector>

namespace cicadaloft {

/// What a decision yields: the state after it, and what is to be done.
template <typename State, typename Effect>
struct Step {
  State state;
  std::vector<Effect> effects;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_STEP_H_
