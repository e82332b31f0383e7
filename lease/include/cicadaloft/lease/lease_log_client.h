#ifndef CICADALOFT_LEASE_LEASE_LOG_CLIENT_H_
#define CICADALOFT_LEASE_LEASE_LOG_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/lease/lease_codec.h"
#include "cicadaloft/lease/messages.h"
#include "cicadaloft/store/store.h"

namespace cicadaloft {

/// Reads the lease's log in the store and appends to it, one call at a time.
template <Store S>
class LeaseLogClient {
 public:
  /// The lease's log; its last record names the holder.
  static constexpr char kTopic[] = "cicadaloft.lease";

  explicit LeaseLogClient(S store) : store(std::move(store)) {}

  boost::asio::awaitable<LeaseEvent> Execute(ReadLeaseLog read) {
    const Result<LogReadOutcome> outcome =
        co_await this->store.Read(kTopic, read.from, Duration::zero());
    if (!IsOk(outcome)) {
      co_return LeaseEvent(LeaseReadFailed{});
    }
    if (const auto* trimmed = std::get_if<LogTrimmed>(&ValueOf(outcome))) {
      co_return LeaseEvent(LeaseLogRead{.next_offset = trimmed->first_offset,
                                        .era = trimmed->era});
    }
    const auto& records = std::get<LogRecords>(ValueOf(outcome));
    std::vector<LeaseLogEntry> entries;
    std::uint64_t offset = read.from.value();
    for (const std::string& bytes : records.records) {
      const Result<LeaseRecord> record = DecodeLeaseRecord(bytes);
      if (IsOk(record)) {
        entries.push_back(LeaseLogEntry{.offset = LogOffset(offset),
                                        .record = ValueOf(record)});
      }
      ++offset;
    }
    co_return LeaseEvent(LeaseLogRead{.entries = std::move(entries),
                                      .next_offset = records.next_offset,
                                      .era = records.era});
  }

  /// @param now when the call is sent; the lease's validity counts from then.
  boost::asio::awaitable<LeaseEvent> Execute(AppendLeaseRecord append,
                                             TimePoint now) {
    const Result<AppendOutcome> outcome = co_await this->store.AppendAt(
        kTopic, append.expected_end, EncodeLeaseRecord(append.record));
    if (!IsOk(outcome)) {
      const bool is_refused =
          ErrorOf(outcome).kind == ErrorKind::kStoreUnavailable;
      co_return LeaseEvent(
          LeaseAppendEnded{.outcome = is_refused ? LeaseAppendOutcome::kRefused
                                                 : LeaseAppendOutcome::kUnknown,
                           .sent_at = now});
    }
    const auto* appended = std::get_if<Appended>(&ValueOf(outcome));
    if (appended == nullptr) {
      co_return LeaseEvent(LeaseAppendEnded{
          .outcome = LeaseAppendOutcome::kConflict,
          .sent_at = now,
          .era = std::get<AppendConflict>(ValueOf(outcome)).era});
    }
    co_return LeaseEvent(
        LeaseAppendEnded{.outcome = LeaseAppendOutcome::kWritten,
                         .offset = appended->offset,
                         .sent_at = now,
                         .era = appended->era});
  }

 private:
  S store;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_LEASE_LEASE_LOG_CLIENT_H_
