#ifndef CICADALOFT_PEERING_MESSAGES_H_
#define CICADALOFT_PEERING_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

#include "cicadaloft/admission/share_messages.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/warmup/warmup_messages.h"

namespace cicadaloft {

/// What hosts tell the holder of the lease, and it tells them.
using PeerMessage = std::variant<ModelUsageReport,
                                 DemandReport,
                                 ModelLoadRequest,
                                 PlacementChange,
                                 ShareGrant,
                                 TargetCrashReport,
                                 QuotaRequest,
                                 QuotaReply,
                                 WarmupRequest,
                                 WarmupGrant>;

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_MESSAGES_H_
