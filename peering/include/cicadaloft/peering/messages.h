#ifndef CICADALOFT_PEERING_MESSAGES_H_
#define CICADALOFT_PEERING_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

#include "cicadaloft/admission/host_positions.h"
#include "cicadaloft/admission/share_messages.h"
#include "cicadaloft/detour/detour_messages.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/relay/messages.h"
#include "cicadaloft/scaling/messages.h"
#include "cicadaloft/usage/messages.h"
#include "cicadaloft/warmup/warmup_messages.h"

namespace cicadaloft {

/// Messages between the lease holder and the other hosts, in either direction.
using PeerMessage = std::variant<ModelUsageReport,
                                 DemandReport,
                                 ModelLoadRequest,
                                 PlacementChange,
                                 ShareGrant,
                                 QuotaRequest,
                                 QuotaReply,
                                 WarmupRequest,
                                 WarmupGrant,
                                 TargetLeavingReport,
                                 RelayRequest,
                                 RelayWelcome,
                                 StoreRelay,
                                 QuotaHistory,
                                 CrashEvidence,
                                 PoisonSuspects,
                                 PoisonRefutation,
                                 PoisonBlock,
                                 ServiceLoadReport,
                                 UsageCounts,
                                 UsageClock,
                                 DetourOffer,
                                 DetourHosts,
                                 HostPosition,
                                 SnapshotRequest,
                                 RelayedSnapshot>;

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_MESSAGES_H_
