#ifndef CICADALOFT_USAGE_USAGE_TOPIC_CLIENT_H_
#define CICADALOFT_USAGE_USAGE_TOPIC_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/store/store.h"
#include "cicadaloft/usage/messages.h"
#include "cicadaloft/usage/usage_codec.h"

namespace cicadaloft {

/// Joins a keyed record's key and value in the store's format.
template <typename E>
concept KeyedEncoder = requires(const E& encode, const KeyedRecord& record) {
  { encode(record) } -> std::same_as<std::string>;
};

/// Reads the records of closed windows in the store and appends to them, one
/// call at a time.
template <Store S, KeyedEncoder Encoder>
class UsageTopicClient {
 public:
  /// The keyed topic; each slot keeps the newest window of those that share it.
  static constexpr char kTopic[] = "keyed.cicadaloft.usage";

  UsageTopicClient(S store, Encoder encode)
      : store(std::move(store)), encode(std::move(encode)) {}

  boost::asio::awaitable<UsageEvent> Execute(ReadUsageTopic) {
    const Result<NewestRecords> outcome =
        co_await this->store.ReadNewest(kTopic);
    if (!IsOk(outcome)) {
      co_return UsageEvent(UsageTopicReadFailed{});
    }
    UsageTopicRead read{.end = ValueOf(outcome).end_offset,
                        .era = ValueOf(outcome).era};
    for (const KeyedRecord& keyed : ValueOf(outcome).records) {
      const auto slot = ParseUsageSlot(keyed.key);
      if (!slot || !keyed.value) {
        continue;
      }
      Result<UsageRecord> record = DecodeUsageRecord(*keyed.value);
      if (IsOk(record) && UsageSlot(ValueOf(record).window) == *slot) {
        read.records.push_back(TakeValue(std::move(record)));
      } else {
        read.unreadable_slots.insert(*slot);
      }
    }
    co_return UsageEvent(std::move(read));
  }

  boost::asio::awaitable<UsageEvent> Execute(AppendUsageRecord append) {
    const Result<AppendOutcome> outcome = co_await this->store.AppendAt(
        kTopic, append.expected_end,
        this->encode(EncodeUsageRecord(append.record)));
    co_return UsageEvent(UsageAppendEnded{.outcome = OutcomeOf(outcome)});
  }

 private:
  static UsageAppendOutcome OutcomeOf(const Result<AppendOutcome>& outcome) {
    if (!IsOk(outcome)) {
      return ErrorOf(outcome).kind == ErrorKind::kStoreUnavailable
                 ? UsageAppendOutcome::kRefused
                 : UsageAppendOutcome::kUnknown;
    }
    return std::holds_alternative<Appended>(ValueOf(outcome))
               ? UsageAppendOutcome::kWritten
               : UsageAppendOutcome::kConflict;
  }

  S store;
  Encoder encode;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_USAGE_TOPIC_CLIENT_H_
