#ifndef CICADALOFT_STEWARD_LINK_WORK_H_
#define CICADALOFT_STEWARD_LINK_WORK_H_

#include "cicadaloft/steward/messages.h"
#include "steward_parts.h"

namespace cicadaloft {

void TakePeerChange(StewardParts& parts, const PeerChanged& change);

/// Takes or passes on a message from a peer or the own entry.
void TakeLinkMessage(StewardParts& parts, const StewardLinkReceived& received);

/// Holds links and sends heartbeats.
/// @return whether a heartbeat was due.
bool WorkOnLinks(StewardParts& parts);

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_LINK_WORK_H_
