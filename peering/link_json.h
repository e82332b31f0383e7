#ifndef CICADALOFT_PEERING_LINK_JSON_H_
#define CICADALOFT_PEERING_LINK_JSON_H_

#include <array>
#include <string_view>
#include <tuple>

#include "cicadaloft/admission/share_json.h"
#include "cicadaloft/codec/json_containers.h"
#include "cicadaloft/peering/messages.h"
#include "cicadaloft/usage/usage_json.h"

namespace cicadaloft {

// The strings are names on the wire. Some differ from the names of the members.

template <>
inline constexpr auto kJsonFields<ModelPath> =
    std::tuple(Required("model", &ModelPath::model),
               Required("adapter", &ModelPath::adapter));

template <>
inline constexpr auto kJsonFields<ModelUsage> =
    std::tuple(Required("path", &ModelUsage::path),
               Required("arrivals", &ModelUsage::arrivals),
               Required("running", &ModelUsage::running),
               Required("urgent", &ModelUsage::interactive));
template <>
inline constexpr bool kIsJsonRow<ModelUsage> = true;

template <>
inline constexpr auto kJsonFields<ModelUsageReport> =
    std::tuple(Required("host", &ModelUsageReport::host),
               Required("uses", &ModelUsageReport::usages));

template <>
inline constexpr auto kJsonFields<CustomerDemand> =
    std::tuple(Required("customer", &CustomerDemand::customer),
               Required("cost", &CustomerDemand::cost),
               Required("requests", &CustomerDemand::requests),
               Required("in_use", &CustomerDemand::used_fraction));
template <>
inline constexpr bool kIsJsonRow<CustomerDemand> = true;

template <>
inline constexpr auto kJsonFields<DemandReport> =
    std::tuple(Required("host", &DemandReport::host),
               Required("grant", &DemandReport::grant_number),
               Required("demands", &DemandReport::demands),
               Required("held", &DemandReport::shares_in_use),
               Required("configuration", &DemandReport::configuration),
               Required("cores", &DemandReport::cores));

template <>
inline constexpr auto kJsonFields<ModelLoadRequest> =
    std::tuple(Required("service", &ModelLoadRequest::service),
               Required("path", &ModelLoadRequest::path),
               Required("waiting", &ModelLoadRequest::waiting),
               Required("latency_aim", &ModelLoadRequest::latency_objective),
               Required("denied_by", &ModelLoadRequest::denied_by),
               Defaulted("software", &ModelLoadRequest::software));

template <>
inline constexpr auto kJsonFields<PlacementChange> =
    std::tuple(Required("target", &PlacementChange::target),
               Required("instance", &PlacementChange::instance),
               Required("path", &PlacementChange::path),
               Required("is_load", &PlacementChange::is_load),
               Required("ready_in", &PlacementChange::ready_in));

template <>
inline constexpr auto kJsonFields<ShareGrant> =
    std::tuple(Required("grant", &ShareGrant::grant_number),
               Required("hosts", &ShareGrant::host_count),
               Required("customers", &ShareGrant::shares),
               Required("configuration", &ShareGrant::configuration),
               Required("has_right", &ShareGrant::is_lease_valid));

template <>
inline constexpr auto kJsonTokens<FingerprintKind> =
    std::to_array<std::string_view>({"content", "started_content",
                                     "prompt_segment", "adapter", "model",
                                     "path"});

template <>
inline constexpr auto kJsonFields<Fingerprint> =
    std::tuple(Required("kind", &Fingerprint::kind),
               Required("hash", &Fingerprint::hash));
template <>
inline constexpr bool kIsJsonRow<Fingerprint> = true;

template <>
inline constexpr auto kJsonFields<BrokenRequest> =
    std::tuple(Required("fingerprints", &BrokenRequest::fingerprints),
               Required("response_bytes", &BrokenRequest::response_bytes));
template <>
inline constexpr bool kIsJsonRow<BrokenRequest> = true;

template <>
inline constexpr auto kJsonFields<CrashEvidence> =
    std::tuple(Required("target", &CrashEvidence::target),
               Required("instance", &CrashEvidence::instance),
               Required("unreachable", &CrashEvidence::is_unreachable),
               Required("requests", &CrashEvidence::requests),
               Required("age", &CrashEvidence::age));

template <>
inline constexpr auto kJsonFields<SuspectFingerprint> =
    std::tuple(Required("fingerprint", &SuspectFingerprint::fingerprint),
               Required("age", &SuspectFingerprint::age));
template <>
inline constexpr bool kIsJsonRow<SuspectFingerprint> = true;

template <>
inline constexpr auto kJsonFields<PoisonSuspects> =
    std::tuple(Required("suspects", &PoisonSuspects::suspects));

template <>
inline constexpr auto kJsonFields<PoisonRefutation> =
    std::tuple(Required("fingerprints", &PoisonRefutation::fingerprints),
               Required("served_before", &PoisonRefutation::served_before));

template <>
inline constexpr auto kJsonFields<PoisonBlock> =
    std::tuple(Required("fingerprints", &PoisonBlock::fingerprints),
               Required("remaining", &PoisonBlock::remaining));

template <>
inline constexpr auto kJsonFields<QuotaRequest> =
    std::tuple(Required("host", &QuotaRequest::host),
               Required("request", &QuotaRequest::request),
               Required("customer", &QuotaRequest::customer),
               Required("cost", &QuotaRequest::cost));

template <>
inline constexpr auto kJsonFields<QuotaReply> =
    std::tuple(Required("request", &QuotaReply::request),
               Required("is_granted", &QuotaReply::is_granted),
               Required("come_back_in", &QuotaReply::retry_after));

template <>
inline constexpr auto kJsonFields<WarmupRequest> =
    std::tuple(Required("host", &WarmupRequest::host),
               Required("target", &WarmupRequest::target),
               Required("ask", &WarmupRequest::request_number),
               Required("wanted", &WarmupRequest::count));

template <>
inline constexpr auto kJsonFields<WarmupGrant> =
    std::tuple(Required("target", &WarmupGrant::target),
               Required("ask", &WarmupGrant::request_number),
               Required("count", &WarmupGrant::count));

template <>
inline constexpr auto kJsonFields<TargetLeavingReport> =
    std::tuple(Required("target", &TargetLeavingReport::target),
               Required("instance", &TargetLeavingReport::instance));

template <>
inline constexpr auto kJsonFields<RelayRequest> =
    std::tuple(Required("host", &RelayRequest::host),
               Required("number", &RelayRequest::number));

template <>
inline constexpr auto kJsonFields<RelayWelcome> =
    std::tuple(Required("number", &RelayWelcome::request_number),
               Required("time", &RelayWelcome::holder_time));

template <>
inline constexpr auto kJsonFields<RelayedTopic> =
    std::tuple(Required("topic", &RelayedTopic::topic),
               Required("from", &RelayedTopic::from),
               Required("records", &RelayedTopic::records),
               Required("complete_at", &RelayedTopic::complete_at),
               Defaulted("era", &RelayedTopic::era));

template <>
inline constexpr auto kJsonFields<StoreRelay> =
    std::tuple(Required("topics", &StoreRelay::topics));

template <>
inline constexpr auto kJsonFields<KeyedRecord> =
    std::tuple(Required("key", &KeyedRecord::key),
               Defaulted("value", &KeyedRecord::value));
template <>
inline constexpr bool kIsJsonRow<KeyedRecord> = true;

template <>
inline constexpr auto kJsonFields<SnapshotRequest> =
    std::tuple(Required("host", &SnapshotRequest::host));

template <>
inline constexpr auto kJsonFields<RelayedSnapshot> =
    std::tuple(Required("records", &RelayedSnapshot::records),
               Required("end", &RelayedSnapshot::end),
               Defaulted("era", &RelayedSnapshot::era));

template <>
inline constexpr auto kJsonFields<DataCentreLoad> =
    std::tuple(Required("data_centre", &DataCentreLoad::data_centre),
               Required("running", &DataCentreLoad::running));
template <>
inline constexpr bool kIsJsonRow<DataCentreLoad> = true;

template <>
inline constexpr auto kJsonFields<ServiceLoad> =
    std::tuple(Required("service", &ServiceLoad::service),
               Required("arrivals", &ServiceLoad::arrivals),
               Required("started", &ServiceLoad::started),
               Required("waiting", &ServiceLoad::waiting),
               Required("running", &ServiceLoad::running));
template <>
inline constexpr bool kIsJsonRow<ServiceLoad> = true;

template <>
inline constexpr auto kJsonFields<ServiceLoadReport> =
    std::tuple(Required("host", &ServiceLoadReport::host),
               Required("loads", &ServiceLoadReport::loads));

template <>
inline constexpr auto kJsonFields<DetourHost> =
    std::tuple(Required("host", &DetourHost::host),
               Required("address", &DetourHost::address));
template <>
inline constexpr bool kIsJsonRow<DetourHost> = true;

template <>
inline constexpr auto kJsonFields<DetourOffer> =
    std::tuple(Required("host", &DetourOffer::host),
               Required("address", &DetourOffer::address),
               Required("reaches_targets", &DetourOffer::reaches_targets));

template <>
inline constexpr auto kJsonFields<DetourHosts> =
    std::tuple(Required("hosts", &DetourHosts::hosts));

template <>
inline constexpr auto kJsonFields<HostPosition> =
    std::tuple(Required("host", &HostPosition::host),
               Required("position", &HostPosition::position),
               Required("count", &HostPosition::count),
               Required("age", &HostPosition::age));

/// Names on the wire, in the order of the variant's alternatives.
template <>
inline constexpr auto kJsonTokens<PeerMessage> =
    std::to_array<std::string_view>(
        {"use_reported",     "demand_reported",   "model_wanted",
         "placement_change", "shares_granted",    "limit_draw_asked",
         "limit_drawn",      "warmup_asked",      "warmup_granted",
         "target_leaving",   "relay_request",     "relay_welcome",
         "store_relay",      "quota_history",     "crash_evidence",
         "poison_suspects",  "poison_refutation", "poison_block",
         "service_load",     "usage_counts",      "usage_clock",
         "detour_offer",     "detour_hosts",      "host_position",
         "snapshot_request", "relayed_snapshot"});

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_JSON_H_
