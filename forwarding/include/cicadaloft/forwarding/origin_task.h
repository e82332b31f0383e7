#ifndef CICADALOFT_FORWARDING_ORIGIN_TASK_H_
#define CICADALOFT_FORWARDING_ORIGIN_TASK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/spawn.h"
#include "cicadaloft/core/step.h"
#include "cicadaloft/forwarding/boot_clock.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/origin_messages.h"
#include "cicadaloft/resumption/origin_log_client.h"
#include "cicadaloft/resumption/origin_state.h"
#include "cicadaloft/telemetry/log.h"
#include "cicadaloft/telemetry/log_task_failure.h"

namespace cicadaloft {

/// Receives the replies to lookups.
template <typename R>
concept OriginReplySink = std::invocable<const R&, const OriginLookedUp&>;

/// Sends the replies to the entry task.
class OriginReplies {
 public:
  explicit OriginReplies(std::shared_ptr<EntryTaskMailbox> entry)
      : entry(std::move(entry)) {}

  void operator()(const OriginLookedUp& looked_up) const {
    Post(*this->entry, EntryTaskMessage(EntryEvent(looked_up)));
  }

 private:
  std::shared_ptr<EntryTaskMailbox> entry;
};

/// Task that keeps the origins of streams: passes each message to the state and
/// executes the effects. Each call to the store is a task of its own.
template <AppendingStore S, EntryClock Clock, OriginReplySink Replies>
class OriginTask {
 public:
  /// @param append_store for appends, one at a time.
  /// @param read_store for reads, one at a time.
  OriginTask(boost::asio::any_io_executor executor,
             S append_store,
             S read_store,
             std::shared_ptr<OriginTaskMailbox> inbox,
             Clock clock,
             Replies replies)
      : executor(std::move(executor)),
        append_log(std::move(append_store), &LogMalformedRecord),
        read_log(std::move(read_store), &LogMalformedRecord),
        inbox(std::move(inbox)),
        clock(std::move(clock)),
        replies(std::move(replies)) {}

  /// Runs until the inbox is closed.
  boost::asio::awaitable<void> Run() {
    auto message = co_await Receive(*this->inbox);
    while (message != nullptr) {
      std::visit([this](const auto& item) { this->Handle(item); }, *message);
      message = co_await Receive(*this->inbox);
    }
  }

 private:
  static void LogMalformedRecord(const Error& error) {
    Log("host").Warn("record of stream origins skipped: " + error.message);
  }

  void Handle(const OriginRecordCall& call) {
    this->last_ticket = this->last_ticket.Next();
    this->reply_mailboxes.emplace(this->last_ticket, call.reply_to);
    this->Handle(OriginEvent(
        RecordOrigin{.ticket = this->last_ticket, .record = call.record}));
  }

  void Handle(const LookUpOrigin& lookup) { this->Handle(OriginEvent(lookup)); }

  void Handle(const OriginEvent& event) {
    auto step = Decide(std::move(this->state), event, this->clock.Now());
    this->state = std::move(step.state);
    for (const OriginEffect& effect : step.effects) {
      std::visit([this](const auto& item) { this->Execute(item); }, effect);
    }
  }

  void Execute(const OriginRecorded& recorded) {
    const auto found = this->reply_mailboxes.find(recorded.ticket);
    if (found != this->reply_mailboxes.end()) {
      TrySend(*found->second, recorded);
      this->reply_mailboxes.erase(found);
    }
  }

  void Execute(const OriginLookedUp& looked_up) { this->replies(looked_up); }

  void Execute(const AppendOrigins& append) {
    this->Call("append of stream origins", this->append_log.Execute(append),
               OriginAppendEnded{.is_acknowledged = false});
  }

  void Execute(const ReadOrigins& read) {
    this->Call("read of stream origins", this->read_log.Execute(read),
               OriginReadFailed{});
  }

  // The state waits for the outcome of each call.
  // @param failure the outcome if an exception ends the call.
  void Call(std::string name,
            boost::asio::awaitable<OriginEvent> call,
            const OriginEvent& failure) {
    const auto run = [](auto inbox, auto call) -> boost::asio::awaitable<void> {
      OriginEvent event = co_await std::move(call);
      Post(*inbox, OriginTaskMessage(std::move(event)));
    };
    Spawn(this->executor, std::move(name), run(this->inbox, std::move(call)),
          [inbox = this->inbox, failure](const TaskFailure& reason) {
            LogTaskFailure{}(reason);
            Post(*inbox, OriginTaskMessage(failure));
          });
  }

  const boost::asio::any_io_executor executor;
  OriginLogClient<S> append_log;
  OriginLogClient<S> read_log;
  const std::shared_ptr<OriginTaskMailbox> inbox;
  const Clock clock;
  const Replies replies;
  OriginState state;
  OriginTicket last_ticket;
  /// By ticket.
  std::map<OriginTicket, std::shared_ptr<OriginRecordedMailbox>>
      reply_mailboxes;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ORIGIN_TASK_H_
