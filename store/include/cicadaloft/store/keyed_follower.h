#ifndef CICADALOFT_STORE_KEYED_FOLLOWER_H_
#define CICADALOFT_STORE_KEYED_FOLLOWER_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "cicadaloft/core/backoff.h"
#include "cicadaloft/core/mailbox.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/store/messages.h"
#include "cicadaloft/store/store.h"

namespace cicadaloft {

/// The follower has read the topic as a whole.
struct TopicSnapshot {
  std::vector<KeyedRecord> records;
};

/// A key has a new record, or has been dropped.
struct KeyChanged {
  KeyedRecord record;
};

/// The store answers, or has ceased to.
struct StoreReachability {
  bool is_reachable = false;
  std::string reason;  ///< Of an error; empty when it answers.
};

/// A record has been skipped, since it can't be read.
struct RecordSkipped {
  std::string reason;
};

/// Asks a follower to read the topic as a whole now: others know more.
struct ResyncRequest {};

using FollowerEvent =
    std::variant<TopicSnapshot, KeyChanged, StoreReachability, RecordSkipped>;

/// How a topic is followed.
struct FollowerSettings {
  std::string topic;
  /// How long a read waits for a record. A silent connection shows sooner, by
  /// its probes.
  Duration long_poll_timeout = std::chrono::milliseconds(3500);
  /// Least time between two reads: calls are priced and bounded in number, and
  /// changes that come together are read together.
  Duration min_read_interval{};
  std::uint64_t jitter_seed = 0;
};

/// Splits a record of a keyed topic; the encoding is the store's.
template <typename D>
concept KeyedDecoder = requires(const D& decode, const std::string& record) {
  { decode(record) } -> std::same_as<Result<KeyedRecord>>;
};

/// Task that keeps its user informed of a keyed topic: first all of it, then
/// each change; all of it again when its history has gone or the store has been
/// away.
template <Store S, KeyedDecoder Decode, std::invocable<FollowerEvent> Sink>
class KeyedFollower {
 public:
  /// @param asks what comes there ends the present wait.
  KeyedFollower(S store,
                FollowerSettings settings,
                std::shared_ptr<Mailbox<ResyncRequest>> asks,
                Decode decode,
                Sink sink)
      : store(std::move(store)),
        settings(std::move(settings)),
        asks(std::move(asks)),
        decode(std::move(decode)),
        sink(std::move(sink)),
        backoff(kLeastBackoff, kMostBackoff, this->settings.jitter_seed) {}

  /// Runs for as long as the process.
  boost::asio::awaitable<void> Run() {
    while (true) {
      const Result<NewestRecords> newest =
          co_await this->store.ReadNewest(this->settings.topic);
      if (!IsOk(newest)) {
        co_await this->NoteFailure(ErrorOf(newest));
        continue;
      }
      this->NoteSuccess();
      if (ValueOf(newest).end_offset < this->next) {
        // Logs don't shrink: this answer is older than what has been read.
        this->sink(RecordSkipped{.reason = "an outdated reading"});
        co_await this->Pause(kLeastBackoff);
        continue;
      }
      this->sink(TopicSnapshot{.records = ValueOf(newest).records});
      this->next = ValueOf(newest).end_offset;
      co_await this->ReadOn();
    }
  }

 private:
  // Between attempts while the store is away: soon enough to be back within
  // its return's bounds, seldom enough that refused calls, which are priced
  // too, stay few.
  static constexpr Duration kLeastBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMostBackoff = std::chrono::milliseconds(800);

  // Returns when the topic has to be read as a whole again.
  boost::asio::awaitable<void> ReadOn() {
    using boost::asio::experimental::awaitable_operators::operator||;
    bool goes_on = true;
    while (goes_on) {
      auto answer =
          co_await (this->store.Read(this->settings.topic, this->next,
                                     this->settings.long_poll_timeout) ||
                    Receive(*this->asks));
      if (answer.index() != 0) {
        co_return;
      }
      const Result<LogReadOutcome> read = std::get<0>(std::move(answer));
      if (!IsOk(read)) {
        co_await this->NoteFailure(ErrorOf(read));
        goes_on = false;
      } else if (const auto* records =
                     std::get_if<LogRecords>(&ValueOf(read))) {
        this->NoteSuccess();
        this->Take(*records);
        co_await this->Pause(this->settings.min_read_interval);
      } else {
        goes_on = false;
      }
    }
  }

  void Take(const LogRecords& records) {
    for (const std::string& bytes : records.records) {
      const Result<KeyedRecord> record = this->decode(bytes);
      if (IsOk(record)) {
        this->sink(KeyChanged{.record = ValueOf(record)});
      } else {
        this->sink(RecordSkipped{.reason = ErrorOf(record).message});
      }
    }
    this->next = records.next_offset;
  }

  void NoteSuccess() {
    this->backoff.Reset();
    if (!this->is_reachable) {
      this->is_reachable = true;
      this->sink(StoreReachability{.is_reachable = true});
    }
  }

  boost::asio::awaitable<void> NoteFailure(Error error) {
    this->is_reachable = false;
    this->sink(
        StoreReachability{.is_reachable = false, .reason = error.message});
    co_await this->Pause(this->backoff.Next());
  }

  boost::asio::awaitable<void> Pause(Duration time) {
    if (time > Duration::zero()) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      time);
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }

  S store;
  const FollowerSettings settings;
  const std::shared_ptr<Mailbox<ResyncRequest>> asks;
  const Decode decode;
  const Sink sink;
  Backoff backoff;
  LogOffset next;
  bool is_reachable = false;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STORE_KEYED_FOLLOWER_H_
