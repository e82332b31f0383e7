#ifndef CICADALOFT_STEWARD_MIRROR_WORK_H_
#define CICADALOFT_STEWARD_MIRROR_WORK_H_

#include "cicadaloft/peering/messages.h"
#include "steward_parts.h"

namespace cicadaloft {

/// Tells all linked mates of a queued record while the log is out.
void TellMates(StewardParts& parts, SequenceNumber sequence);

void TakeMirrorRecord(StewardParts& parts,
                      const HostId& from,
                      const MirrorRecord& mirror);
void TakeMirrorAck(StewardParts& parts,
                   const HostId& from,
                   const MirrorAck& ack);
void TakeMirrorRequest(StewardParts& parts,
                       const HostId& from,
                       const MirrorRequest& request);
void TakeMirrorReply(StewardParts& parts,
                     const HostId& from,
                     const MirrorReply& reply);

/// Collects the mirrors of duties that were taken over, and forgets those that
/// stand in the log.
void WorkOnMirrors(StewardParts& parts);

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_MIRROR_WORK_H_
