#ifndef CICADALOFT_CORE_STEP_H_
#define CICADALOFT_CORE_STEP_H_

#include <vector>

namespace cicadaloft {

/// The result of a decision: the new state, and the effects to carry out.
template <typename State, typename Effect>
struct Step {
  State state;
  std::vector<Effect> effects;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_STEP_H_
