#ifndef CICADALOFT_RELAY_RELAYED_STORE_H_
#define CICADALOFT_RELAY_RELAYED_STORE_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <concepts>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "cicadaloft/core/mailbox.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/relay/messages.h"
#include "cicadaloft/relay/relay_reader.h"
#include "cicadaloft/store/store.h"

namespace cicadaloft {

using RelayMailbox = Mailbox<RelayInput>;

/// Clock of relayed times.
template <typename C>
concept RelayTimeSource = requires(const C& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// A store of which one topic is followed. Reads of the log are answered from
/// what another host relays, as long as that is complete and recent; otherwise
/// from the store.
template <Store S, RelayTimeSource Clock, std::invocable<StoreRead> Sink>
class RelayedStore {
 public:
  /// @param sink receives what is read from the store itself.
  RelayedStore(S store,
               const RelayedStoreSettings& settings,
               std::shared_ptr<RelayMailbox> inbox,
               Clock clock,
               Sink sink)
      : store(std::move(store)),
        reader(settings),
        inbox(std::move(inbox)),
        clock(std::move(clock)),
        sink(std::move(sink)) {}

  /// A snapshot that another host relays is taken before the store's answer:
  /// it is requested only if the store doesn't answer, or not in time.
  boost::asio::awaitable<Result<NewestRecords>> ReadNewest(std::string topic) {
    using boost::asio::experimental::awaitable_operators::operator||;
    const TimePoint sent_at = this->clock.Now();
    this->DrainInbox();
    if (auto snapshot = this->reader.TakeSnapshot(sent_at)) {
      co_return ToNewestRecords(std::move(*snapshot));
    }
    auto first = co_await (this->AwaitSnapshot() || this->CallNewest(topic));
    if (first.index() == 0) {
      co_return ToNewestRecords(std::get<0>(std::move(first)));
    }
    Result<NewestRecords> newest = std::get<1>(std::move(first)).outcome;
    this->reader.OnStoreCall(sent_at, this->clock.Now());
    if (IsOk(newest)) {
      this->reader.OnPosition(ValueOf(newest).end_offset);
      this->reader.OnAnswer(ValueOf(newest).era);
      this->sink(StoreRead{.topic = topic,
                           .from = ValueOf(newest).end_offset,
                           .sent_at = sent_at,
                           .era = ValueOf(newest).era});
    }
    co_return newest;
  }

  boost::asio::awaitable<Result<LogReadOutcome>> Read(std::string topic,
                                                      LogOffset from,
                                                      Duration wait) {
    const TimePoint deadline = this->clock.Now() + wait;
    this->reader.OnPosition(from);
    while (true) {
      this->DrainInbox();
      const TimePoint now = this->clock.Now();
      RelayReadStep step = this->reader.Next(from, wait, deadline, now);
      if (auto* answer = std::get_if<AnswerFromRelay>(&step)) {
        const LogOffset end(from.value() + answer->records.size());
        co_return LogReadOutcome(
            LogRecords{.records = std::move(answer->records),
                       .next_offset = end,
                       .end_offset = end,
                       .era = this->reader.answer_era(),
                       .complete_at = answer->complete_at});
      }
      if (const auto* read = std::get_if<ReadFromStore>(&step)) {
        co_return co_await this->ReadStore(topic, from, read->wait);
      }
      co_await this->Wait(std::get<WaitForRelay>(step).until - now);
    }
  }

  boost::asio::awaitable<Result<AppendOutcome>> AppendAt(std::string topic,
                                                         LogOffset offset,
                                                         std::string record) {
    return this->store.AppendAt(std::move(topic), offset, std::move(record));
  }

 private:
  // An awaitable of a std::variant, which a Result is, would have each of its
  // alternatives as one of the results of operator||.
  struct NewestRead {
    Result<NewestRecords> outcome;
  };

  static NewestRecords ToNewestRecords(RelayedSnapshot snapshot) {
    return NewestRecords{.records = std::move(snapshot.records),
                         .end_offset = snapshot.end,
                         .era = snapshot.era,
                         .is_relayed = true};
  }

  boost::asio::awaitable<NewestRead> CallNewest(std::string topic) {
    Result<NewestRecords> outcome =
        co_await this->store.ReadNewest(std::move(topic));
    co_return NewestRead{std::move(outcome)};
  }

  boost::asio::awaitable<RelayedSnapshot> AwaitSnapshot() {
    this->DrainInbox();
    while (true) {
      if (auto snapshot = this->reader.TakeSnapshot(this->clock.Now())) {
        co_return std::move(*snapshot);
      }
      const auto message = co_await Receive(*this->inbox);
      if (message != nullptr) {
        this->reader.OnInput(*message);
      }
    }
  }

  boost::asio::awaitable<Result<LogReadOutcome>> ReadStore(std::string topic,
                                                           LogOffset from,
                                                           Duration wait) {
    const TimePoint sent_at = this->clock.Now();
    Result<LogReadOutcome> outcome =
        co_await this->store.Read(topic, from, wait);
    // A failed call is repeated after the follower's backoff, not after the
    // interval between reads: changes would be known too late.
    if (IsOk(outcome)) {
      this->reader.OnAnswer(EraOf(ValueOf(outcome)));
      this->reader.OnStoreCall(sent_at, this->clock.Now());
    }
    const auto* records =
        IsOk(outcome) ? std::get_if<LogRecords>(&ValueOf(outcome)) : nullptr;
    if (records != nullptr) {
      // Without a complete read it isn't known what the log held.
      const bool is_complete = records->next_offset >= records->end_offset;
      this->sink(StoreRead{.topic = topic,
                           .from = from,
                           .records = records->records,
                           .sent_at = is_complete ? sent_at : TimePoint{},
                           .era = records->era});
      co_return LogReadOutcome(LogRecords{
          .records = records->records,
          .next_offset = records->next_offset,
          .end_offset = records->end_offset,
          .era = records->era,
          .complete_at = is_complete ? std::optional(sent_at) : std::nullopt});
    }
    co_return outcome;
  }

  // Waits for a message, at most for `time`.
  boost::asio::awaitable<void> Wait(Duration time) {
    using boost::asio::experimental::awaitable_operators::operator||;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    time);
    auto first = co_await (
        Receive(*this->inbox) ||
        timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable)));
    if (first.index() == 0 && std::get<0>(first) != nullptr) {
      this->reader.OnInput(*std::get<0>(first));
    }
  }

  void DrainInbox() {
    bool has_message = true;
    while (has_message) {
      has_message = this->inbox->channel().try_receive(
          [this](boost::system::error_code error,
                 const std::shared_ptr<const RelayInput>& message) {
            if (!error) {
              this->reader.OnInput(*message);
            }
          });
    }
  }

  S store;
  RelayReader reader;
  std::shared_ptr<RelayMailbox> inbox;
  Clock clock;
  Sink sink;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RELAY_RELAYED_STORE_H_
