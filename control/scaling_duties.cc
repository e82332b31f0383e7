#include <algorithm>
#include <utility>
#include <variant>

#include "cicadaloft/control/control_state.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft {

void ControlState::FeedScaling(const ScalingEvent& event) {
  if (!this->orders_target_counts) {
    return;
  }
  auto step = Decide(std::move(this->scaling), event, this->now);
  this->scaling = std::move(step.state);
  for (const ScalingEffect& effect : step.effects) {
    std::visit(
        Overloaded{
            [this](const OrderTargetCount& order) {
              OrderTargetCount bounded = order;
              bounded.valid_until = std::min(this->lease_valid_until,
                                             this->now + kMaxDutySendDelay);
              this->effects.emplace_back(std::move(bounded));
            },
            [this](const auto& other) { this->effects.emplace_back(other); }},
        effect);
  }
}

void ControlState::Handle(const TargetCountOrderEnded& ended) {
  this->FeedScaling(ended);
}

void ControlState::OnPeerMessage(const HostId&,
                                 const ServiceLoadReport& report) {
  if (this->is_limit_coordinator) {
    this->FeedScaling(report);
  }
}

}  // namespace cicadaloft
