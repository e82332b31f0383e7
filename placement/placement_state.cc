#include "cicadaloft/placement/placement_state.h"

#include <variant>

#include "placement_core.h"

namespace cicadaloft {

PlacementState::PlacementState() : core(std::make_unique<PlacementCore>()) {}
PlacementState::~PlacementState() = default;
PlacementState::PlacementState(PlacementState&& other) noexcept = default;
PlacementState& PlacementState::operator=(PlacementState&& other) noexcept =
    default;

Step<PlacementState, PlacementEffect> Decide(PlacementState state,
                                             const PlacementEvent& event,
                                             TimePoint now) {
  PlacementCore& core = *state.core;
  core.SetNow(now);
  std::visit([&](const auto& item) { core.Handle(item); }, event);
  std::vector<PlacementEffect> effects = core.TakeEffects();
  return Step<PlacementState, PlacementEffect>{.state = std::move(state),
                                               .effects = std::move(effects)};
}

}  // namespace cicadaloft
