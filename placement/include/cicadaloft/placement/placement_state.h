#ifndef CICADALOFT_PLACEMENT_PLACEMENT_STATE_H_
#define CICADALOFT_PLACEMENT_PLACEMENT_STATE_H_

#include <memory>

#include "cicadaloft/core/step.h"
#include "cicadaloft/placement/messages.h"

namespace cicadaloft {

class PlacementCore;

/// State of the decisions on which target loads which model or adapter, on the
/// host that holds the lease. Only Decide() changes it.
class PlacementState {
 public:
  PlacementState();
  ~PlacementState();
  PlacementState(PlacementState&& other) noexcept;
  PlacementState& operator=(PlacementState&& other) noexcept;

 private:
  friend Step<PlacementState, PlacementEffect>
  Decide(PlacementState state, const PlacementEvent& event, TimePoint now);

  std::unique_ptr<PlacementCore> core;
};

Step<PlacementState, PlacementEffect> Decide(PlacementState state,
                                             const PlacementEvent& event,
                                             TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_PLACEMENT_STATE_H_
