#ifndef CICADALOFT_PLACEMENT_PLACEMENT_JSON_H_
#define CICADALOFT_PLACEMENT_PLACEMENT_JSON_H_

#include <array>
#include <string_view>
#include <tuple>

#include "cicadaloft/codec/json_containers.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/placement/placement_table.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonTokens<PlacementAction> =
    std::to_array<std::string_view>({"load", "unload"});

template <>
inline constexpr auto kJsonTokens<PlacementOutcome> =
    std::to_array<std::string_view>({"loaded", "unloaded", "failed"});

template <>
inline constexpr auto kJsonTokens<CheckpointTier> =
    std::to_array<std::string_view>({"remote", "disk", "memory"});

template <>
inline constexpr auto kJsonTokens<ReservationState> =
    std::to_array<std::string_view>({"loading", "loaded", "unloading"});

template <>
inline constexpr auto kJsonFields<PlacementRecord> = std::tuple(
    Required("target", &PlacementRecord::target),
    Required("model", &PlacementRecord::model),
    Required("action", &PlacementRecord::action),
    Required("instance", &PlacementRecord::instance),
    Required("ordered_in_outage", &PlacementRecord::ordered_in_outage));

template <>
inline constexpr auto kJsonFields<PlacementOutcomeRecord> =
    std::tuple(Required("target", &PlacementOutcomeRecord::target),
               Required("model", &PlacementOutcomeRecord::model),
               Required("instance", &PlacementOutcomeRecord::instance),
               Required("outcome", &PlacementOutcomeRecord::outcome));

template <>
inline constexpr auto kJsonFields<TargetInstanceRecord> =
    std::tuple(Required("target", &TargetInstanceRecord::target),
               Required("instance", &TargetInstanceRecord::instance));

template <>
inline constexpr auto kJsonFields<ReportedModel> =
    std::tuple(Required("model", &ReportedModel::model),
               Required("loaded", &ReportedModel::loaded));

template <>
inline constexpr auto kJsonFields<CachedCheckpoint> =
    std::tuple(Required("model", &CachedCheckpoint::model),
               Required("tier", &CachedCheckpoint::tier));

template <>
inline constexpr auto kJsonFields<TargetReport> =
    std::tuple(Required("target", &TargetReport::target),
               Required("instance", &TargetReport::instance),
               Required("running", &TargetReport::running),
               Required("queued", &TargetReport::queued),
               Required("used_mib", &TargetReport::used_mib),
               Required("models", &TargetReport::models),
               Required("checkpoints", &TargetReport::checkpoints));

template <>
inline constexpr auto kJsonFields<ModelDemand> = std::tuple(
    Required("model", &ModelDemand::model),
    Required("waiting_interactive", &ModelDemand::waiting_interactive),
    Required("waiting_batch", &ModelDemand::waiting_batch),
    Required("running", &ModelDemand::running),
    Required("arrived", &ModelDemand::arrived),
    Required("oldest_wait_us", &ModelDemand::oldest_wait));

template <>
inline constexpr auto kJsonFields<Reservation> =
    std::tuple(Required("state", &Reservation::state),
               Required("memory_mib", &Reservation::memory_mib),
               Required("decided", &Reservation::decided));

template <>
inline constexpr auto kJsonFields<TargetMemory> =
    std::tuple(Required("instance", &TargetMemory::instance),
               Required("reservations", &TargetMemory::reservations));

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_PLACEMENT_JSON_H_
