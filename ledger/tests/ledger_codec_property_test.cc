#define BOOST_TEST_MODULE ledger_codec_property
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "cicadaloft/ledger/ledger_codec.h"
#include "ledger_generators.h"

namespace cicadaloft {
namespace {

bool IsUnreadable(const LogRecord& record) {
  return std::holds_alternative<UnreadableRecord>(record.body);
}

RC_BOOST_PROP(ARecordIsReadAsWritten, ()) {
  const auto record = Draw<LogRecord>();
  const std::string text = EncodeRecord(record);
  const LogRecord again = DecodeRecord(text);
  RC_ASSERT(again == record);
  RC_ASSERT(EncodeRecord(again) == text);
}

RC_BOOST_PROP(ALedgerIsReadAsWritten, ()) {
  const auto ledger = Draw<Ledger>();
  const std::string text = EncodeLedger(ledger);
  const Result<Ledger> again = DecodeLedger(text);
  RC_ASSERT(IsOk(again));
  RC_ASSERT(ValueOf(again) == ledger);
  RC_ASSERT(EncodeLedger(ValueOf(again)) == text);
}

RC_BOOST_PROP(AnyTextIsARecordOrUnreadable, (const std::string& text)) {
  const LogRecord record = DecodeRecord(text);
  RC_ASSERT(!IsUnreadable(record) ||
            !std::get<UnreadableRecord>(record.body).reason.empty());
  RC_ASSERT(!IsOk(DecodeLedger(text)));
}

RC_BOOST_PROP(AMutatedRecordIsARecordOrUnreadable, ()) {
  const std::string text = DrawMutationOf(EncodeRecord(Draw<LogRecord>()));
  const LogRecord record = DecodeRecord(text);
  RC_ASSERT(DecodeRecord(EncodeRecord(record)) == record);
}

RC_BOOST_PROP(AMutatedLedgerIsALedgerOrAnError, ()) {
  const std::string text = DrawMutationOf(EncodeLedger(Draw<Ledger>()));
  const Result<Ledger> ledger = DecodeLedger(text);
  if (IsOk(ledger)) {
    const Result<Ledger> again = DecodeLedger(EncodeLedger(ValueOf(ledger)));
    RC_ASSERT(IsOk(again));
    RC_ASSERT(ValueOf(again) == ValueOf(ledger));
  } else {
    RC_ASSERT(ErrorOf(ledger).kind == ErrorKind::kLogRecordMalformed);
    RC_ASSERT(!ErrorOf(ledger).message.empty());
  }
}

BOOST_AUTO_TEST_CASE(DeeplyNestedRecordsAreUnreadable) {
  constexpr std::size_t kDeep = 1'000'000;
  BOOST_TEST(IsUnreadable(DecodeRecord(std::string(kDeep, '['))));
  BOOST_TEST(!IsOk(DecodeLedger(std::string(kDeep, '['))));
}

}  // namespace
}  // namespace cicadaloft
