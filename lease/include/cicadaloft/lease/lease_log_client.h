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

/// Does the lease's calls to the store, one at a time.
template <Store S>
class LeaseLogClient {
 public:
  /// The topic whose last record names the holder.
  static constexpr char kTopic[] = "cicadaloft.lease";

  explicit LeaseLogClient(S store) : store(std::move(store)) {}

  boost::asio::awaitable<LeaseEvent> Execute(ReadLeaseLog read) {
    const Result<LogReadOutcome> answer =
        co_await this->store.Read(kTopic, read.from, Duration::zero());
    if (!IsOk(answer)) {
      co_return LeaseEvent(LeaseReadFailed{});
    }
    if (const auto* gone = std::get_if<LogTrimmed>(&ValueOf(answer))) {
      co_return LeaseEvent(LeaseLogRead{.end = gone->first_offset});
    }
    const auto& records = std::get<LogRecords>(ValueOf(answer));
    std::vector<LeaseLogEntry> placed;
    std::uint64_t offset = read.from.value();
    for (const std::string& bytes : records.records) {
      const Result<LeaseRecord> record = DecodeLeaseRecord(bytes);
      if (IsOk(record)) {
        placed.push_back(LeaseLogEntry{.offset = LogOffset(offset),
                                       .record = ValueOf(record)});
      }
      ++offset;
    }
    co_return LeaseEvent(
        LeaseLogRead{.records = std::move(placed), .end = records.next_offset});
  }

  /// @param now the clock by which rights are reckoned.
  boost::asio::awaitable<LeaseEvent> Execute(AppendLeaseRecord append,
                                             TimePoint now) {
    const Result<AppendOutcome> answer = co_await this->store.AppendAt(
        kTopic, append.expected_end, EncodeLeaseRecord(append.record));
    if (!IsOk(answer)) {
      const bool is_refused =
          ErrorOf(answer).kind == ErrorKind::kStoreUnavailable;
      co_return LeaseEvent(
          LeaseAppendEnded{.outcome = is_refused ? LeaseAppendOutcome::kRefused
                                                 : LeaseAppendOutcome::kUnknown,
                           .sent_at = now});
    }
    const auto* done = std::get_if<Appended>(&ValueOf(answer));
    if (done == nullptr) {
      co_return LeaseEvent(LeaseAppendEnded{
          .outcome = LeaseAppendOutcome::kConflict, .sent_at = now});
    }
    co_return LeaseEvent(
        LeaseAppendEnded{.outcome = LeaseAppendOutcome::kWritten,
                         .offset = done->offset,
                         .sent_at = now});
  }

 private:
  S store;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_LEASE_LEASE_LOG_CLIENT_H_
