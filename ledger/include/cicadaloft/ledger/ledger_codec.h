#ifndef CICADALOFT_LEDGER_LEDGER_CODEC_H_
#define CICADALOFT_LEDGER_LEDGER_CODEC_H_

#include <string>
#include <string_view>

#include "cicadaloft/core/result.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/ledger/messages.h"

namespace cicadaloft {

/// @return the record as one JSON object, as it stands in the log.
std::string EncodeRecord(const LogRecord& record);

/// @return the record; an UnreadableRecord body where the text is none.
LogRecord DecodeRecord(std::string_view text);

/// @return the whole state as canonical JSON: equal ledgers, equal texts.
std::string EncodeLedger(const Ledger& ledger);

/// @return the state, or kLogRecordMalformed.
Result<Ledger> DecodeLedger(std::string_view text);

}  // namespace cicadaloft

#endif  // CICADALOFT_LEDGER_LEDGER_CODEC_H_
