#ifndef CICADALOFT_RELAY_RELAYED_STORE_H_
#define CICADALOFT_RELAY_RELAYED_STORE_H_

#include <algorithm>
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
#include "cicadaloft/relay/relay_buffer.h"
#include "cicadaloft/store/store.h"

namespace cicadaloft {

using RelayMailbox = Mailbox<RelayInput>;

/// Clock of relayed times.
template <typename C>
concept RelayTimeSource = requires(const C& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// Intervals of a RelayedStore.
struct RelayedStoreSettings {
  /// Minimum time between two reads. Calls to the store are charged and rate
  /// limited, and changes that are written close together are read in one call.
  Duration min_read_interval{};
  /// The same while this host reads for others.
  Duration reader_interval{};
  /// How long a read waits for a record while this host reads for others. The
  /// age of what they know counts from the sending of a read.
  Duration reader_wait{};
  /// Relayed knowledge of this age is no longer used.
  Duration max_relay_age{};
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
        settings(settings),
        inbox(std::move(inbox)),
        clock(std::move(clock)),
        sink(std::move(sink)),
        buffer(settings.max_relay_age) {}

  boost::asio::awaitable<Result<NewestRecords>> ReadNewest(std::string topic) {
    const TimePoint sent_at = this->clock.Now();
    Result<NewestRecords> newest = co_await this->store.ReadNewest(topic);
    this->last_read_at = this->clock.Now();
    if (IsOk(newest)) {
      this->sink(StoreRead{.topic = topic,
                           .from = ValueOf(newest).end_offset,
                           .sent_at = sent_at});
    }
    co_return newest;
  }

  boost::asio::awaitable<Result<LogReadOutcome>> Read(std::string topic,
                                                      LogOffset from,
                                                      Duration wait) {
    const TimePoint deadline = this->clock.Now() + wait;
    while (true) {
      this->DrainInbox();
      const TimePoint now = this->clock.Now();
      const bool is_relayed = !this->is_reader && this->buffer.IsFresh(now) &&
                              this->buffer.Covers(from);
      if (is_relayed) {
        std::vector<std::string> records = this->buffer.RecordsFrom(from);
        if (!records.empty() || now >= deadline) {
          const LogOffset end(from.value() + records.size());
          co_return LogReadOutcome(LogRecords{.records = std::move(records),
                                              .next_offset = end,
                                              .end_offset = end});
        }
        co_await this->Wait(std::min(deadline, this->buffer.FreshUntil()) -
                            now);
        continue;
      }
      const TimePoint due = this->last_read_at + this->ReadInterval();
      if (now >= due) {
        co_return co_await this->ReadStore(topic, from, wait);
      }
      co_await this->Wait(due - now);
    }
  }

  boost::asio::awaitable<Result<AppendOutcome>> AppendAt(std::string topic,
                                                         LogOffset offset,
                                                         std::string record) {
    return this->store.AppendAt(std::move(topic), offset, std::move(record));
  }

 private:
  Duration ReadInterval() const {
    return this->is_reader ? this->settings.reader_interval
                           : this->settings.min_read_interval;
  }

  boost::asio::awaitable<Result<LogReadOutcome>> ReadStore(std::string topic,
                                                           LogOffset from,
                                                           Duration wait) {
    const TimePoint sent_at = this->clock.Now();
    Result<LogReadOutcome> outcome = co_await this->store.Read(
        topic, from, this->is_reader ? this->settings.reader_wait : wait);
    this->last_read_at = this->clock.Now();
    const auto* records =
        IsOk(outcome) ? std::get_if<LogRecords>(&ValueOf(outcome)) : nullptr;
    if (records != nullptr) {
      // Without a complete read it isn't known what the log held.
      const bool is_complete = records->next_offset >= records->end_offset;
      this->sink(StoreRead{.topic = topic,
                           .from = from,
                           .records = records->records,
                           .sent_at = is_complete ? sent_at : TimePoint{}});
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
      this->Handle(*std::get<0>(first));
    }
  }

  void DrainInbox() {
    bool has_message = true;
    while (has_message) {
      has_message = this->inbox->channel().try_receive(
          [this](boost::system::error_code error,
                 const std::shared_ptr<const RelayInput>& message) {
            if (!error) {
              this->Handle(*message);
            }
          });
    }
  }

  void Handle(const RelayInput& input) {
    std::visit(Overloaded{[this](const RelayReceived& received) {
                            this->buffer.Add(received);
                          },
                          [this](const RelayRole& role) {
                            this->is_reader = role.is_reader;
                          }},
               input);
  }

  S store;
  RelayedStoreSettings settings;
  std::shared_ptr<RelayMailbox> inbox;
  Clock clock;
  Sink sink;
  RelayBuffer buffer;
  bool is_reader = false;
  TimePoint last_read_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RELAY_RELAYED_STORE_H_
