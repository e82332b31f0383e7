#ifndef CICADALOFT_USAGE_USAGE_CODEC_H_
#define CICADALOFT_USAGE_USAGE_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cicadaloft/core/result.h"
#include "cicadaloft/store/messages.h"
#include "cicadaloft/usage/messages.h"

namespace cicadaloft {

/// @return the record of the keyed topic that keeps the window's counts, as
/// JSON under the key of its slot.
KeyedRecord EncodeUsageRecord(const UsageRecord& record);

/// @return the record, or kRecordMalformed if the bytes are not a valid record.
Result<UsageRecord> DecodeUsageRecord(const std::string& bytes);

/// @return the slot of a key, or none for a key that isn't one of a slot.
std::optional<std::uint64_t> ParseUsageSlot(const std::string& key);

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_USAGE_CODEC_H_
