#include <utility>
#include <variant>

#include "cicadaloft/control/control_state.h"
#include "cicadaloft/core/result.h"

namespace cicadaloft {

void ControlState::Handle(const UsageEvent& event) {
  this->FeedUsage(event);
}

void ControlState::FeedUsage(const UsageEvent& event) {
  if (!this->usage) {
    return;
  }
  auto step = Decide(std::move(*this->usage), event, this->now);
  this->usage = std::move(step.state);
  for (const UsageEffect& effect : step.effects) {
    std::visit(Overloaded{[this](const SendUsageCounts& send) {
                            if (this->connected_holder) {
                              this->effects.emplace_back(
                                  SendToHolder{.message = send.counts});
                            }
                          },
                          [this](const CopyUsageCounts& copy) {
                            this->effects.emplace_back(SendToHosts{
                                .hosts = copy.hosts, .message = copy.counts});
                          },
                          [this](const SendUsageClock& send) {
                            this->effects.emplace_back(SendToHost{
                                .host = send.host, .message = send.clock});
                          },
                          [this](const auto& other) {
                            this->effects.emplace_back(other);
                          }},
               effect);
  }
}

void ControlState::OnPeerMessage(const HostId& host,
                                 const UsageCounts& counts) {
  this->FeedUsage(UsageCountsReceived{.from = host, .counts = counts});
}

void ControlState::OnPeerMessage(const HostId& host, const UsageClock& clock) {
  if (this->holder == host) {
    this->FeedUsage(clock);
  }
}

}  // namespace cicadaloft
