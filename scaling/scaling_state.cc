#include "cicadaloft/scaling/scaling_state.h"

#include <variant>

#include "scaling_core.h"

namespace cicadaloft {

ScalingState::ScalingState() : core(std::make_unique<ScalingCore>()) {}
ScalingState::~ScalingState() = default;
ScalingState::ScalingState(ScalingState&& other) noexcept = default;
ScalingState& ScalingState::operator=(ScalingState&& other) noexcept = default;

Step<ScalingState, ScalingEffect> Decide(ScalingState state,
                                         const ScalingEvent& event,
                                         TimePoint now) {
  ScalingCore& core = *state.core;
  core.SetNow(now);
  std::visit([&](const auto& item) { core.Handle(item); }, event);
  std::vector<ScalingEffect> effects = core.TakeEffects();
  return Step<ScalingState, ScalingEffect>{.state = std::move(state),
                                           .effects = std::move(effects)};
}

}  // namespace cicadaloft
