#ifndef CICADALOFT_STORE_KEYED_FOLLOWER_H_
#define CICADALOFT_STORE_KEYED_FOLLOWER_H_

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/backoff.h"
#include "cicadaloft/core/mailbox.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/store/messages.h"
#include "cicadaloft/store/store.h"
#include "cicadaloft/store/topic_position.h"

namespace cicadaloft {

/// The newest record of every key of the topic. Keys that are not listed have
/// no record.
struct TopicSnapshot {
  std::vector<KeyedRecord> records;
  /// The store has come back from an older copy since the last snapshot, so
  /// that records may be missing that were there before.
  bool is_restored = false;
  bool is_relayed = false;  ///< By another host, not read by this one.
};

/// A key has a new record, or was deleted.
struct KeyChanged {
  KeyedRecord record;
};

/// All records that the topic had at a time have been reported.
struct TopicCaughtUp {
  TimePoint at{};  ///< On the clock of the store's reader.
  StoreEra era;
};

/// Whether the store answers. Reported after each failed call, and after the
/// first successful one since the start or a failure.
struct StoreReachability {
  bool is_reachable = false;
  std::string reason;  ///< The error's message; empty if reachable.
};

/// A record or a snapshot was ignored because it is malformed or outdated.
struct RecordSkipped {
  std::string reason;
};

/// Asks a follower to read a new snapshot of the topic now, because other hosts
/// have read newer records.
struct ResyncRequest {
  /// A snapshot of this era or a later one that has been read suffices; 0: none
  /// does.
  StoreEra era;
  /// Another host has sent a snapshot, which the store's reader has: it is read
  /// at once, also in the pause after a failed call.
  bool is_relayed = false;
};

using FollowerEvent = std::variant<TopicSnapshot,
                                   KeyChanged,
                                   TopicCaughtUp,
                                   StoreReachability,
                                   RecordSkipped>;

/// Topic and timing of a KeyedFollower.
struct FollowerSettings {
  std::string topic;
  /// How long a read waits for a record. A dead connection is detected sooner,
  /// by TCP keep-alive probes.
  Duration long_poll_timeout = std::chrono::milliseconds(3500);
  std::uint64_t jitter_seed = 0;
};

/// Splits a record of a keyed topic into key and value. The encoding is
/// specific to the store.
template <typename D>
concept KeyedDecoder = requires(const D& decode, const std::string& record) {
  { decode(record) } -> std::same_as<Result<KeyedRecord>>;
};

/// Task that reports the content of a keyed topic: first a snapshot, then each
/// change. It takes a new snapshot when the log has been trimmed beyond its
/// position, when the store has come back from an older copy, when several
/// reads in a row have failed, and on request. After the last two it goes on
/// with changes if the store answers no snapshot.
template <Store S, KeyedDecoder Decode, std::invocable<FollowerEvent> Sink>
class KeyedFollower {
 public:
  /// @param resync_requests a message there ends the current read, and a new
  /// snapshot is read.
  KeyedFollower(S store,
                FollowerSettings settings,
                std::shared_ptr<Mailbox<ResyncRequest>> resync_requests,
                Decode decode,
                Sink sink)
      : store(std::move(store)),
        settings(std::move(settings)),
        resync_requests(std::move(resync_requests)),
        decode(std::move(decode)),
        sink(std::move(sink)),
        backoff(kMinBackoff, kMaxBackoff, this->settings.jitter_seed) {}

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run() {
    while (true) {
      const Result<NewestRecords> newest =
          co_await this->store.ReadNewest(this->settings.topic);
      if (!IsOk(newest)) {
        co_await this->HandleFailure(ErrorOf(newest));
        co_await this->GoOnWithoutSnapshot();
        continue;
      }
      const SnapshotKind kind =
          this->position.OnSnapshot(ValueOf(newest), Now());
      if (kind == SnapshotKind::kOutdated) {
        co_await this->HandleFailure(OutdatedAnswer());
        continue;
      }
      this->ReportReachable();
      if (kind == SnapshotKind::kOlder) {
        this->ReportOlderSnapshot();
        co_await this->Sleep(this->backoff.Next());
        continue;
      }
      this->backoff.Reset();
      this->has_older_snapshot = false;
      this->sink(TopicSnapshot{.records = ValueOf(newest).records,
                               .is_restored = kind == SnapshotKind::kRestored,
                               .is_relayed = ValueOf(newest).is_relayed});
      co_await this->FollowChanges();
    }
  }

 private:
  // Delay between attempts while the store is unreachable. Short enough to
  // recover within the time that is allowed once the store answers again; long
  // enough to keep refused calls few, because they are charged too.
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
  /// Failed reads after which a new snapshot is read. What is written during a
  /// shorter outage is read in one call where a snapshot needs one more, or is
  /// relayed without any.
  static constexpr int kMaxFailedReads = 4;

  struct ReadEnded {
    Result<LogReadOutcome> outcome;
  };

  /// What the requests have asked for that came in the pause after a failed
  /// call.
  struct PendingRequests {
    bool is_unconditional = false;  ///< One of them states no era.
    StoreEra era;                   ///< The latest one that is stated.
    bool is_relayed = false;
  };

  // Reads changes from where they ended, while the store answers no snapshot:
  // others may relay them. Requests for a snapshot that have come meanwhile are
  // answered by the next attempt.
  boost::asio::awaitable<void> GoOnWithoutSnapshot() {
    bool has_request = true;
    while (has_request) {
      const bool has_message = this->resync_requests->channel().try_receive(
          [&](boost::system::error_code,
              const std::shared_ptr<const ResyncRequest>& request) {
            has_request = request != nullptr;
            this->Note(request.get());
          });
      has_request &= has_message;
    }
    const PendingRequests requested = std::exchange(this->pending, {});
    if (this->is_position_valid && !requested.is_relayed &&
        this->position.HasReached(requested.era)) {
      co_await this->FollowChanges();
    }
  }

  // @param request null once there are no more.
  void Note(const ResyncRequest* request) {
    if (request != nullptr) {
      this->pending.is_unconditional |= request->era == StoreEra();
      this->pending.era = std::max(this->pending.era, request->era);
      this->pending.is_relayed |= request->is_relayed;
    }
  }

  // Returns when another host has sent a snapshot.
  boost::asio::awaitable<void> AwaitRelayedSnapshot() {
    while (!this->pending.is_relayed) {
      const auto request = co_await Receive(*this->resync_requests);
      if (request == nullptr) {
        // Closed: the pause ends by itself.
        co_await this->Sleep(kMaxBackoff);
      }
      this->Note(request.get());
    }
  }

  // Returns when a new snapshot is needed.
  boost::asio::awaitable<void> FollowChanges() {
    using boost::asio::experimental::awaitable_operators::operator||;
    bool is_following = true;
    int failed_reads = 0;
    this->is_position_valid = true;
    while (is_following) {
      auto first_completed =
          co_await (this->ReadOn() || Receive(*this->resync_requests));
      if (first_completed.index() != 0) {
        is_following = this->HasAnswered(std::get<1>(first_completed).get());
        continue;
      }
      const Result<LogReadOutcome> outcome =
          std::get<0>(std::move(first_completed)).outcome;
      if (!IsOk(outcome)) {
        co_await this->HandleFailure(ErrorOf(outcome));
        is_following =
            ++failed_reads < kMaxFailedReads && !this->IsSnapshotPending();
        continue;
      }
      const auto* records = std::get_if<LogRecords>(&ValueOf(outcome));
      if (records == nullptr || !this->position.HasReached(records->era)) {
        this->is_position_valid = false;
        co_return;
      }
      failed_reads = 0;
      this->ReportReachable();
      this->backoff.Reset();
      this->HandleRecords(*records);
    }
  }

  // An awaitable of a std::variant, which a Result is, would have each of its
  // alternatives as one of the results of operator||.
  boost::asio::awaitable<ReadEnded> ReadOn() {
    Result<LogReadOutcome> outcome = co_await this->store.Read(
        this->settings.topic, this->position.next_offset(),
        this->settings.long_poll_timeout);
    const bool is_outdated =
        IsOk(outcome) && this->position.OnAnswer(EraOf(ValueOf(outcome))) ==
                             EraChange::kOutdated;
    co_return ReadEnded{is_outdated ? OutdatedAnswer() : std::move(outcome)};
  }

  // @return whether a request that came in a pause needs a snapshot.
  bool IsSnapshotPending() {
    const PendingRequests requested = std::exchange(this->pending, {});
    return requested.is_unconditional ||
           !this->position.HasReached(requested.era);
  }

  // @return whether no snapshot has to be read for the request.
  bool HasAnswered(const ResyncRequest* request) const {
    return request != nullptr && request->era != StoreEra() &&
           this->position.HasReached(request->era);
  }

  static Error OutdatedAnswer() {
    return MakeError(ErrorKind::kStoreUnanswered,
                     "the answer is of an outdated era of the store");
  }

  static TimePoint Now() {
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }

  void HandleRecords(const LogRecords& records) {
    for (const std::string& bytes : records.records) {
      const Result<KeyedRecord> record = this->decode(bytes);
      if (IsOk(record)) {
        this->sink(KeyChanged{.record = ValueOf(record)});
      } else {
        this->sink(RecordSkipped{.reason = ErrorOf(record).message});
      }
    }
    this->position.MoveTo(records.next_offset);
    if (records.complete_at) {
      this->sink(TopicCaughtUp{.at = *records.complete_at, .era = records.era});
    }
  }

  // Reports the first one in a row only: it is read again until it is newer.
  void ReportOlderSnapshot() {
    if (!std::exchange(this->has_older_snapshot, true)) {
      this->sink(RecordSkipped{
          .reason = "snapshot is older than the records already read"});
    }
  }

  void ReportReachable() {
    if (!this->is_reachable) {
      this->is_reachable = true;
      this->sink(StoreReachability{.is_reachable = true});
    }
  }

  boost::asio::awaitable<void> HandleFailure(Error error) {
    this->pending = {};
    this->is_reachable = false;
    this->sink(
        StoreReachability{.is_reachable = false, .reason = error.message});
    using boost::asio::experimental::awaitable_operators::operator||;
    co_await (this->Sleep(this->backoff.Next()) ||
              this->AwaitRelayedSnapshot());
  }

  boost::asio::awaitable<void> Sleep(Duration duration) {
    if (duration > Duration::zero()) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      duration);
      co_await timer.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }

  S store;
  const FollowerSettings settings;
  const std::shared_ptr<Mailbox<ResyncRequest>> resync_requests;
  const Decode decode;
  const Sink sink;
  Backoff backoff;
  TopicPosition position;
  bool has_older_snapshot = false;  ///< The last one was older.
  /// The log is known to go on from `position`.
  bool is_position_valid = false;
  PendingRequests pending;
  bool is_reachable = false;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STORE_KEYED_FOLLOWER_H_
