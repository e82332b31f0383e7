#include "cicadaloft/ledger/ledger_codec.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <ranges>
#include <utility>

#include "cicadaloft/core/sha256.h"
#include "cicadaloft/ledger/record_json.h"

namespace cicadaloft {

/// One claim. Most of a ledger's size is in its claims.
struct ClaimRow {
  const CustomerId customer;
  const std::string idempotency_key;
  const std::uint64_t fingerprint;
  const RequestId request;
  const HostId host;
  const Incarnation incarnation;
  const LogOffset offset;
  const ClaimOutcome outcome;
  const int http_status;
};

template <>
inline constexpr bool kIsJsonRow<ClaimRow> = true;

template <>
inline constexpr auto kJsonFields<ClaimRow> =
    std::tuple(Required("customer", &ClaimRow::customer),
               Required("idempotency_key", &ClaimRow::idempotency_key),
               Required("fingerprint", &ClaimRow::fingerprint),
               Required("request", &ClaimRow::request),
               Required("host", &ClaimRow::host),
               Required("incarnation", &ClaimRow::incarnation),
               Required("offset", &ClaimRow::offset),
               Required("outcome", &ClaimRow::outcome),
               Required("http_status", &ClaimRow::http_status));

/// What a Ledger is made of.
struct LedgerParts {
  const LogOffset next;
  const Config config;
  const std::map<HostId, MemberInfo> members;
  const std::map<DutyId, DutyHolder> duties;
  const std::map<DataCentreId, LogOffset> claim_homes;
  const std::deque<Allocation> shares;
  const std::map<TargetId, TargetMemory> placements;
  const std::vector<ClaimRow> claims;
  const std::map<Member, SequenceNumber> writers;
};

template <>
inline constexpr auto kJsonFields<LedgerParts> =
    std::tuple(Required("next", &LedgerParts::next),
               Required("config", &LedgerParts::config),
               Required("members", &LedgerParts::members),
               Required("duties", &LedgerParts::duties),
               Required("claim_homes", &LedgerParts::claim_homes),
               Required("shares", &LedgerParts::shares),
               Required("placements", &LedgerParts::placements),
               Required("claims", &LedgerParts::claims),
               Required("writers", &LedgerParts::writers));

namespace {

constexpr JsonLimits kRecordLimits{.max_bytes = std::size_t{64} << 20,
                                   .max_depth = 32,
                                   .max_values = 4'000'000};

std::string DigestOf(const Json& state) {
  return Sha256Hex(state.dump());
}

ClaimRow RowOf(const Claim& claim) {
  const ClaimRecord& record = claim.record;
  return ClaimRow{.customer = record.key.customer,
                  .idempotency_key = record.key.idempotency_key,
                  .fingerprint = record.fingerprint,
                  .request = record.request,
                  .host = record.runner.host,
                  .incarnation = record.runner.incarnation,
                  .offset = claim.offset,
                  .outcome = claim.outcome,
                  .http_status = claim.http_status};
}

Claim ClaimOf(const ClaimRow& row) {
  return Claim{
      .record = {.key = {.customer = row.customer,
                         .idempotency_key = row.idempotency_key},
                 .fingerprint = row.fingerprint,
                 .request = row.request,
                 .runner = {.host = row.host, .incarnation = row.incarnation}},
      .offset = row.offset,
      .outcome = row.outcome,
      .http_status = row.http_status};
}

std::vector<ClaimRow> RowsOf(const ClaimTable& table) {
  std::vector<ClaimRow> rows;
  rows.reserve(table.claims().size());
  std::ranges::transform(table.claims() | std::views::values,
                         std::back_inserter(rows), RowOf);
  return rows;
}

ClaimTable TableOf(const std::vector<ClaimRow>& rows, JsonReader& reader) {
  std::map<ClaimKey, Claim> claims;
  std::ranges::for_each(rows, [&](const ClaimRow& row) {
    const Claim claim = ClaimOf(row);
    claims.emplace(claim.record.key, claim);
  });
  if (claims.size() != rows.size()) {
    reader.Fail("expected each claim once");
  }
  return ClaimTable(std::move(claims));
}

/// @return what the field holds, or any value if it holds none.
template <typename T>
T ReadLeniently(const Json& json, const char* field) {
  JsonReader reader;
  const auto found = json.find(field);
  if (found == json.end()) {
    return T{};
  }
  auto value = FromJson<T>(*found, reader);
  return reader.failed() ? T{} : value;
}

/// @return a record in the place of one that can't be read. Its writer's
/// number counts, if it can be told, so that the writer doesn't repeat it.
LogRecord Unreadable(const Json& json, const std::string& reason) {
  return LogRecord{.writer = ReadLeniently<Member>(json, "writer"),
                   .sequence = ReadLeniently<SequenceNumber>(json, "sequence"),
                   .body = UnreadableRecord{.reason = reason}};
}

}  // namespace

Json JsonCodec<Ledger>::Encode(const Ledger& ledger) {
  return ToJson(LedgerParts{.next = ledger.next(),
                            .config = ledger.config(),
                            .members = ledger.members().members(),
                            .duties = ledger.members().duties(),
                            .claim_homes = ledger.members().claim_homes(),
                            .shares = ledger.shares().allocations(),
                            .placements = ledger.placements().targets(),
                            .claims = RowsOf(ledger.claims()),
                            .writers = ledger.writers()});
}

Ledger JsonCodec<Ledger>::Decode(const Json& json, JsonReader& reader) {
  const auto parts = FromJson<LedgerParts>(json, reader);
  return Ledger(parts.next, parts.config,
                MemberTable(parts.members, parts.duties, parts.claim_homes),
                ShareTable(parts.shares), PlacementTable(parts.placements),
                TableOf(parts.claims, reader), parts.writers);
}

Json JsonCodec<CheckpointRecord>::Encode(const CheckpointRecord& record) {
  Json state = ToJson(*record.state);
  std::string digest = DigestOf(state);
  return Json::object({{"offset", ToJson(record.offset)},
                       {"digest", std::move(digest)},
                       {"state", std::move(state)}});
}

CheckpointRecord JsonCodec<CheckpointRecord>::Decode(const Json& json,
                                                     JsonReader& reader) {
  constexpr auto kFields =
      std::to_array<std::string_view>({"offset", "digest", "state"});
  const auto none = [] {
    return CheckpointRecord{.state = std::make_shared<const Ledger>()};
  };
  if (!CheckFields(json, kFields, reader)) {
    return none();
  }
  if (json.size() != kFields.size()) {
    reader.Fail("expected the fields " + ListOf(kFields));
    return none();
  }
  const Json& state = json.at("state");
  const Json& digest = json.at("digest");
  if (!digest.is_string() || digest != DigestOf(state)) {
    reader.Fail("expected the state to have its digest");
    return none();
  }
  auto ledger = std::make_shared<const Ledger>(
      reader.InField("state", [&] { return FromJson<Ledger>(state, reader); }));
  const auto offset = reader.InField(
      "offset", [&] { return FromJson<LogOffset>(json.at("offset"), reader); });
  if (offset != ledger->next()) {
    reader.Fail("expected the offset of the state");
  }
  return CheckpointRecord{.offset = offset, .state = std::move(ledger)};
}

std::string EncodeRecord(const LogRecord& record) {
  return ToJson(record).dump();
}

LogRecord DecodeRecord(std::string_view text) {
  const Result<Json> json =
      ParseJson(text, kRecordLimits, JsonComments::kRefused);
  if (!IsOk(json)) {
    return Unreadable(Json::object(), ErrorOf(json).message);
  }
  JsonReader reader;
  const Result<LogRecord> record =
      reader.Finish(FromJson<LogRecord>(ValueOf(json), reader),
                    ErrorKind::kLogRecordMalformed);
  return IsOk(record) ? ValueOf(record)
                      : Unreadable(ValueOf(json), ErrorOf(record).message);
}

std::string EncodeLedger(const Ledger& ledger) {
  return ToJson(ledger).dump();
}

Result<Ledger> DecodeLedger(std::string_view text) {
  const Result<Json> json =
      ParseJson(text, kRecordLimits, JsonComments::kRefused);
  if (!IsOk(json)) {
    return Fail(ErrorKind::kLogRecordMalformed, ErrorOf(json).message);
  }
  JsonReader reader;
  return reader.Finish(FromJson<Ledger>(ValueOf(json), reader),
                       ErrorKind::kLogRecordMalformed);
}

}  // namespace cicadaloft
