#ifndef CICADALOFT_PEERING_LINK_JSON_H_
#define CICADALOFT_PEERING_LINK_JSON_H_

#include <array>
#include <string_view>
#include <tuple>

#include "cicadaloft/admission/share_json.h"
#include "cicadaloft/codec/json_containers.h"
#include "cicadaloft/peering/messages.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonFields<ModelPath> =
    std::tuple(Required("model", &ModelPath::model),
               Required("adapter", &ModelPath::adapter));

template <>
inline constexpr auto kJsonFields<ModelUse> =
    std::tuple(Required("path", &ModelUse::path),
               Required("arrivals", &ModelUse::arrivals),
               Required("running", &ModelUse::running),
               Required("urgent", &ModelUse::interactive));
template <>
inline constexpr bool kIsJsonRow<ModelUse> = true;

template <>
inline constexpr auto kJsonFields<UseReported> =
    std::tuple(Required("host", &UseReported::host),
               Required("uses", &UseReported::usages));

template <>
inline constexpr auto kJsonFields<CustomerDemand> =
    std::tuple(Required("customer", &CustomerDemand::customer),
               Required("cost", &CustomerDemand::cost),
               Required("requests", &CustomerDemand::requests),
               Required("in_use", &CustomerDemand::in_use));
template <>
inline constexpr bool kIsJsonRow<CustomerDemand> = true;

template <>
inline constexpr auto kJsonFields<DemandReported> =
    std::tuple(Required("host", &DemandReported::host),
               Required("grant", &DemandReported::grant_number),
               Required("demands", &DemandReported::demands),
               Required("held", &DemandReported::shares_in_use),
               Required("configuration", &DemandReported::configuration),
               Required("cores", &DemandReported::cores));

template <>
inline constexpr auto kJsonFields<ModelWanted> =
    std::tuple(Required("service", &ModelWanted::service),
               Required("path", &ModelWanted::path),
               Required("waiting", &ModelWanted::waiting),
               Required("latency_aim", &ModelWanted::latency_aim),
               Required("denied_by", &ModelWanted::denied_by));

template <>
inline constexpr auto kJsonFields<PlacementChange> =
    std::tuple(Required("target", &PlacementChange::target),
               Required("instance", &PlacementChange::instance),
               Required("path", &PlacementChange::path),
               Required("is_load", &PlacementChange::is_load),
               Required("ready_in", &PlacementChange::ready_in));

template <>
inline constexpr auto kJsonFields<SharesGranted> =
    std::tuple(Required("grant", &SharesGranted::grant_number),
               Required("hosts", &SharesGranted::host_count),
               Required("customers", &SharesGranted::customers),
               Required("configuration", &SharesGranted::configuration),
               Required("has_right", &SharesGranted::has_right));

template <>
inline constexpr auto kJsonFields<DeathNoticed> =
    std::tuple(Required("fingerprint", &DeathNoticed::fingerprint),
               Required("target", &DeathNoticed::target));

template <>
inline constexpr auto kJsonFields<LimitDrawAsked> =
    std::tuple(Required("host", &LimitDrawAsked::host),
               Required("request", &LimitDrawAsked::request),
               Required("customer", &LimitDrawAsked::customer),
               Required("cost", &LimitDrawAsked::cost));

template <>
inline constexpr auto kJsonFields<LimitDrawn> =
    std::tuple(Required("request", &LimitDrawn::request),
               Required("is_granted", &LimitDrawn::is_granted),
               Required("come_back_in", &LimitDrawn::retry_after));

template <>
inline constexpr auto kJsonFields<WarmupAsked> =
    std::tuple(Required("host", &WarmupAsked::host),
               Required("target", &WarmupAsked::target),
               Required("ask", &WarmupAsked::request_number),
               Required("wanted", &WarmupAsked::count));

template <>
inline constexpr auto kJsonFields<WarmupGranted> =
    std::tuple(Required("target", &WarmupGranted::target),
               Required("ask", &WarmupGranted::request_number),
               Required("count", &WarmupGranted::count));

/// In the order of the variant's alternatives.
template <>
inline constexpr auto kJsonTokens<PeerMessage> =
    std::to_array<std::string_view>(
        {"use_reported", "demand_reported", "model_wanted", "placement_change",
         "shares_granted", "death_noticed", "limit_draw_asked", "limit_drawn",
         "warmup_asked", "warmup_granted"});

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_JSON_H_
