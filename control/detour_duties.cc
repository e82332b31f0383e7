#include "cicadaloft/control/control_state.h"

namespace cicadaloft {

void ControlState::Handle(const TargetReachabilityChanged&) {}

void ControlState::OnPeerMessage(const HostId&, const DetourOffer&) {}

void ControlState::OnPeerMessage(const HostId&, const DetourHosts&) {}

}  // namespace cicadaloft
