#include "cicadaloft/usage/usage_codec.h"

#include <charconv>
#include <string_view>

#include "cicadaloft/codec/json.h"
#include "cicadaloft/codec/json_reader.h"
#include "cicadaloft/usage/usage_json.h"

namespace cicadaloft {
namespace {

constexpr std::string_view kKeyPrefix = "slot-";
/// Large enough for the counts of thousands of customers.
constexpr JsonLimits kLimits{.max_bytes = std::size_t{1} << 20,
                             .max_depth = 8,
                             .max_values = 100'000};
/// Higher windows are beyond any clock.
constexpr std::uint64_t kMaxWindow = std::uint64_t{1} << 40U;

}  // namespace

KeyedRecord EncodeUsageRecord(const UsageRecord& record) {
  return KeyedRecord{
      .key = std::string(kKeyPrefix) + std::to_string(UsageSlot(record.window)),
      .value = ToJson(record).dump()};
}

Result<UsageRecord> DecodeUsageRecord(const std::string& bytes) {
  const Result<Json> json = ParseJson(bytes, kLimits, JsonComments::kRefused);
  if (!IsOk(json)) {
    return MakeError(ErrorKind::kRecordMalformed, ErrorOf(json).message);
  }
  JsonReader reader;
  Result<UsageRecord> record =
      reader.Finish(FromJson<UsageRecord>(ValueOf(json), reader),
                    ErrorKind::kRecordMalformed);
  const bool is_impossible =
      IsOk(record) && (ValueOf(record).window.value() > kMaxWindow ||
                       ValueOf(record).settled_before > ValueOf(record).window);
  if (is_impossible) {
    return MakeError(ErrorKind::kRecordMalformed,
                     "expected a window that has been, and is not settled");
  }
  return record;
}

std::optional<std::uint64_t> ParseUsageSlot(const std::string& key) {
  if (!key.starts_with(kKeyPrefix)) {
    return std::nullopt;
  }
  std::uint64_t slot = 0;
  const char* const end = key.data() + key.size();
  const auto [parse_end, error] =
      std::from_chars(key.data() + kKeyPrefix.size(), end, slot);
  return error == std::errc() && parse_end == end && slot < kUsageSlots
             ? std::optional(slot)
             : std::nullopt;
}

}  // namespace cicadaloft
