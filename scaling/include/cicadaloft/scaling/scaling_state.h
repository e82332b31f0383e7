#ifndef CICADALOFT_SCALING_SCALING_STATE_H_
#define CICADALOFT_SCALING_SCALING_STATE_H_

#include <memory>

#include "cicadaloft/core/step.h"
#include "cicadaloft/scaling/messages.h"

namespace cicadaloft {

class ScalingCore;

/// State of the decision how many targets of each service with `scaling` run in
/// each data centre. Every host tracks the load that it is told of; only the
/// lease holder orders.
class ScalingState {
 public:
  ScalingState();
  ~ScalingState();
  ScalingState(ScalingState&& other) noexcept;
  ScalingState& operator=(ScalingState&& other) noexcept;

  friend Step<ScalingState, ScalingEffect> Decide(ScalingState state,
                                                  const ScalingEvent& event,
                                                  TimePoint now);

 private:
  std::unique_ptr<ScalingCore> core;
};

Step<ScalingState, ScalingEffect> Decide(ScalingState state,
                                         const ScalingEvent& event,
                                         TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_SCALING_SCALING_STATE_H_
