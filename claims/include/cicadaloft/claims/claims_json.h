#ifndef CICADALOFT_CLAIMS_CLAIMS_JSON_H_
#define CICADALOFT_CLAIMS_CLAIMS_JSON_H_

#include <array>
#include <string_view>
#include <tuple>

#include "cicadaloft/claims/claim_table.h"
#include "cicadaloft/claims/messages.h"
#include "cicadaloft/codec/json_containers.h"
#include "cicadaloft/membership/membership_json.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonTokens<ClaimOutcome> =
    std::to_array<std::string_view>({"running", "ran", "not_run", "unknown"});

template <>
inline constexpr auto kJsonTokens<ClaimVerdict> =
    std::to_array<std::string_view>({"granted", "running", "finished",
                                     "unknown", "mismatch", "unavailable"});

template <>
inline constexpr auto kJsonFields<ClaimKey> =
    std::tuple(Required("customer", &ClaimKey::customer),
               Required("idempotency_key", &ClaimKey::idempotency_key));

template <>
inline constexpr auto kJsonFields<ClaimRecord> =
    std::tuple(Required("key", &ClaimRecord::key),
               Required("fingerprint", &ClaimRecord::fingerprint),
               Required("request", &ClaimRecord::request),
               Required("runner", &ClaimRecord::runner));

template <>
inline constexpr auto kJsonFields<ClaimOutcomeRecord> =
    std::tuple(Required("key", &ClaimOutcomeRecord::key),
               Required("request", &ClaimOutcomeRecord::request),
               Required("outcome", &ClaimOutcomeRecord::outcome),
               Required("http_status", &ClaimOutcomeRecord::http_status));

template <>
inline constexpr auto kJsonFields<ClaimAsk> =
    std::tuple(Required("claim", &ClaimAsk::claim));

template <>
inline constexpr auto kJsonFields<ClaimReply> =
    std::tuple(Required("key", &ClaimReply::key),
               Required("request", &ClaimReply::request),
               Required("verdict", &ClaimReply::verdict),
               Required("http_status", &ClaimReply::http_status));

template <>
inline constexpr auto kJsonFields<ClaimFinished> =
    std::tuple(Required("outcome", &ClaimFinished::outcome));

template <>
inline constexpr auto kJsonFields<Claim> =
    std::tuple(Required("record", &Claim::record),
               Required("offset", &Claim::offset),
               Required("outcome", &Claim::outcome),
               Required("http_status", &Claim::http_status));

}  // namespace cicadaloft

#endif  // CICADALOFT_CLAIMS_CLAIMS_JSON_H_
