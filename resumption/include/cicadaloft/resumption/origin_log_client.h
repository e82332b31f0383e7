#ifndef CICADALOFT_RESUMPTION_ORIGIN_LOG_CLIENT_H_
#define CICADALOFT_RESUMPTION_ORIGIN_LOG_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <iterator>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/resumption/messages.h"
#include "cicadaloft/resumption/origin_codec.h"
#include "cicadaloft/store/store.h"

namespace cicadaloft {

/// Receives the errors of records that can't be decoded.
using OriginErrorSink = std::function<void(const Error&)>;

/// Reads the log of origins in the store and appends to it, one call at a time.
/// OriginState may have a read and an append under way together; they need a
/// client each.
template <AppendingStore S>
class OriginLogClient {
 public:
  /// The log of origins; each of its records holds a batch of them.
  static constexpr char kTopic[] = "cicadaloft.stream-origins";

  /// @param report_malformed receives the errors of records that are left out.
  OriginLogClient(S store, OriginErrorSink report_malformed)
      : store(std::move(store)),
        report_malformed(std::move(report_malformed)) {}

  boost::asio::awaitable<OriginEvent> Execute(AppendOrigins append) {
    const Result<Appended> outcome = co_await this->store.Append(
        kTopic, EncodeOriginRecords(append.records));
    co_return OriginEvent(OriginAppendEnded{
        .is_acknowledged = IsOk(outcome),
        .era = IsOk(outcome) ? ValueOf(outcome).era : StoreEra()});
  }

  boost::asio::awaitable<OriginEvent> Execute(ReadOrigins read) {
    const Result<LogReadOutcome> outcome =
        co_await this->store.Read(kTopic, read.from, Duration::zero());
    if (!IsOk(outcome)) {
      co_return OriginEvent(OriginReadFailed{});
    }
    if (const auto* trimmed = std::get_if<LogTrimmed>(&ValueOf(outcome))) {
      co_return OriginEvent(
          OriginsTrimmed{.first = trimmed->first_offset, .era = trimmed->era});
    }
    const auto& records = std::get<LogRecords>(ValueOf(outcome));
    OriginsRead origins{.next = records.next_offset,
                        .end = records.end_offset,
                        .era = records.era};
    for (const std::string& bytes : records.records) {
      Result<std::vector<OriginRecord>> batch = DecodeOriginRecords(bytes);
      if (IsOk(batch)) {
        std::ranges::move(TakeValue(std::move(batch)),
                          std::back_inserter(origins.records));
      } else {
        this->report_malformed(ErrorOf(batch));
      }
    }
    co_return OriginEvent(std::move(origins));
  }

 private:
  S store;
  OriginErrorSink report_malformed;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RESUMPTION_ORIGIN_LOG_CLIENT_H_
