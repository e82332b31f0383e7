#ifndef CICADALOFT_LEDGER_RECORD_JSON_H_
#define CICADALOFT_LEDGER_RECORD_JSON_H_

#include <array>
#include <string_view>
#include <tuple>

#include "cicadaloft/claims/claims_json.h"
#include "cicadaloft/codec/json_containers.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/ledger/messages.h"
#include "cicadaloft/membership/membership_json.h"
#include "cicadaloft/placement/placement_json.h"
#include "cicadaloft/tickets/item_json.h"

namespace cicadaloft {

template <>
struct JsonCodec<Ledger> {
  static Json Encode(const Ledger& ledger);
  static Ledger Decode(const Json& json, JsonReader& reader);
};

/// The state stands with its digest, and is only taken if both agree.
template <>
struct JsonCodec<CheckpointRecord> {
  static Json Encode(const CheckpointRecord& record);
  static CheckpointRecord Decode(const Json& json, JsonReader& reader);
};

template <>
inline constexpr auto kJsonTokens<RecordBody> = std::to_array<std::string_view>(
    {"ticket", "join", "renew", "leave", "evict", "handover", "placement",
     "placement_outcome", "target_instance", "claim", "claim_outcome",
     "checkpoint", "unreadable"});

template <>
inline constexpr auto kJsonFields<UnreadableRecord> =
    std::tuple(Required("reason", &UnreadableRecord::reason));

template <>
inline constexpr auto kJsonFields<LogRecord> =
    std::tuple(Required("writer", &LogRecord::writer),
               Required("sequence", &LogRecord::sequence),
               Required("body", &LogRecord::body));

template <>
inline constexpr auto kJsonFields<PlacedRecord> =
    std::tuple(Required("offset", &PlacedRecord::offset),
               Required("record", &PlacedRecord::record));

}  // namespace cicadaloft

#endif  // CICADALOFT_LEDGER_RECORD_JSON_H_
