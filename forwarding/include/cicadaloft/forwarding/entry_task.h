#ifndef CICADALOFT_FORWARDING_ENTRY_TASK_H_
#define CICADALOFT_FORWARDING_ENTRY_TASK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/boot_clock.h"
#include "cicadaloft/forwarding/decision_history.h"
#include "cicadaloft/forwarding/effect_executor.h"
#include "cicadaloft/forwarding/entry_metrics.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/protocols.h"

namespace cicadaloft {

/// A state that decides on an entry's events; EntryState is the real one.
template <typename S>
concept EntryDecider =
    std::movable<S> &&
    requires(S state, const S& seen, const EntryEvent& event, TimePoint now) {
      {
        Decide(std::move(state), event, now)
      } -> std::same_as<Step<S, EntryEffect>>;
      { seen.IsReady() } -> std::convertible_to<bool>;
      { seen.OpenRequestCount() } -> std::convertible_to<std::size_t>;
    };

/// Where decision lines go.
template <typename L>
concept DecisionSink = std::invocable<const L&, const DecisionRecord&>;

/// What the entry tells the host's control.
using EntryNotification = std::variant<ModelLoadRequest,
                                       UsageReport,
                                       QuotaRequest,
                                       WarmupRequest,
                                       TargetCrashReport>;
using EntryNotificationMailbox = Mailbox<EntryNotification>;
/// No request is open, or none can be waited for. Said after a DrainRequest
/// alone: requests may come until then, also after a moment without any.
struct EntryDrained {};
using DrainedMailbox = Mailbox<EntryDrained>;

/// The mailboxes at the node task's borders.
struct EntryTaskMailboxes {
  const std::shared_ptr<EntryTaskMailbox> inbox;
  const std::shared_ptr<EntryNotificationMailbox>
      notifications;                              ///< To the host's control.
  const std::shared_ptr<DrainedMailbox> drained;  ///< To the program.
};

/// Messages that may wait for the node task.
inline constexpr std::size_t kEntryTaskMailboxCapacity = 1024;

/// Owns the entry's state: feeds it events and carries its effects.
template <EntryDecider State,
          TargetProtocol Wire,
          EntryClock Clock,
          DecisionSink Sink>
class EntryTask {
 public:
  EntryTask(boost::asio::any_io_executor executor,
            State state,
            EntryTaskMailboxes links,
            const TargetLimits& limits,
            Clock clock,
            Sink sink)
      : state(std::move(state)),
        links(std::move(links)),
        clock(std::move(clock)),
        sink(std::move(sink)),
        carrier(std::move(executor), this->links.inbox, limits) {}

  /// Runs until the inbox is closed.
  boost::asio::awaitable<void> Run() {
    auto message = co_await Receive(*this->links.inbox);
    while (message != nullptr) {
      std::visit([this](const auto& item) { this->Take(item); }, *message);
      message = co_await Receive(*this->links.inbox);
    }
  }

 private:
  void Take(const EntryEvent& event) {
    this->pending.push_back(event);
    while (!this->pending.empty()) {
      const EntryEvent next = this->pending.front();
      this->pending.pop_front();
      this->Feed(next);
    }
  }

  void Take(const RequestReceived& arrived) {
    this->carrier.Admit(arrived, this->clock.Now());
    this->Take(EntryEvent(arrived.request->arrival));
  }

  void Take(const RequestFinished& done) {
    this->carrier.Forget(done.request);
    this->TellDrained();
  }

  void Take(const CallerRejected& rejected) {
    const ErrorInfo& answer = GetErrorInfo(rejected.kind);
    this->metrics.CountRefusal(rejected.kind);
    this->Carry(DecisionRecord{.event = "caller.rejected",
                               .request = rejected.request,
                               .fields = {{"kind", answer.token}}});
  }

  void Take(const ConnectionReleased& freed) {
    this->carrier.KeepConnection(freed, this->clock.Now());
  }

  void Take(const DrainRequest& asked) {
    this->is_drain_asked = true;
    if (asked.is_forced) {
      this->LogCuts();
      TrySend(*this->links.drained, EntryDrained{});
      return;
    }
    this->TellDrained();
  }

  void LogCuts() {
    for (const RequestId& caller_request_id : this->carrier.OpenCallerIds()) {
      this->Carry(
          DecisionRecord{.event = "caller.cut",
                         .request = caller_request_id,
                         .fields = {{"why", "the time to stop is over"}}});
    }
  }

  void Take(const AdminCall& question) {
    const AdminReply reply =
        std::visit([this](const auto& ask) { return this->Answer(ask); },
                   question.request);
    TrySend(*question.reply_to, reply);
  }

  void Feed(const EntryEvent& event) {
    this->Note(event);
    Step<State, EntryEffect> step =
        Decide(std::move(this->state), event, this->clock.Now());
    this->state = std::move(step.state);
    for (const EntryEffect& effect : step.effects) {
      std::visit([this](const auto& item) { this->Carry(item); }, effect);
    }
  }

  // What metrics and the carrier learn from an event before it is decided on.
  void Note(const EntryEvent& event) {
    const TimePoint now = this->clock.Now();
    if (const auto* started = std::get_if<ResponseStarted>(&event)) {
      if (const auto arrival =
              this->carrier.ArrivalOf(started->request, started->attempt)) {
        this->metrics.CountStart(now - *arrival);
      }
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      const auto arrival =
          this->carrier.ArrivalOf(ended->request, ended->attempt);
      if (ended->outcome == AttemptOutcome::kCompleted && arrival) {
        this->metrics.CountAnswer(ended->http_status, now - *arrival);
      }
      this->carrier.NoteEnd(*ended);
    } else if (std::holds_alternative<EntryStopRequested>(event)) {
      this->is_stopping = true;
    }
  }

  void Carry(const Dispatch& dispatch) {
    const auto ended =
        this->carrier.Carry(dispatch, this->is_stopping, this->clock.Now());
    if (ended) {
      this->pending.emplace_back(*ended);
    }
  }

  void Carry(const CancelAttempt& cancel) { this->carrier.Carry(cancel); }

  void Carry(const Refuse& refusal) {
    this->metrics.CountRefusal(refusal.error.kind);
    this->carrier.Carry(refusal);
  }

  // Control that is behind loses asks; they are repeated while requests wait.
  void Carry(const ModelLoadRequest& wanted) { this->TellControl(wanted); }
  void Carry(const UsageReport& measured) { this->TellControl(measured); }
  void Carry(const QuotaRequest& asked) { this->TellControl(asked); }
  void Carry(const WarmupRequest& asked) { this->TellControl(asked); }
  void Carry(const TargetCrashReport& notice) { this->TellControl(notice); }

  void TellControl(EntryNotification news) {
    if (!TrySend(*this->links.notifications, std::move(news))) {
      this->metrics.CountLostMessage();
    }
  }

  void Carry(const DecisionRecord& line) {
    this->metrics.CountDecision(line.event);
    this->history.Add(this->clock.UnixMilliseconds(), line);
    this->sink(line);
  }

  // The program may end when the last answer has been written, too.
  void TellDrained() {
    if (this->is_drain_asked && this->carrier.open_requests() == 0) {
      TrySend(*this->links.drained, EntryDrained{});
    }
  }

  StatusReply Status() const {
    return StatusReply{.is_ready = this->state.IsReady() && !this->is_stopping,
                       .is_stopping = this->is_stopping,
                       .open_requests = this->carrier.open_requests(),
                       .running_attempts = this->carrier.running_attempts()};
  }

  AdminReply Answer(const StatusRequest&) const { return this->Status(); }
  AdminReply Answer(const MetricsRequest&) {
    return this->metrics.Read(this->Status());
  }
  AdminReply Answer(const ExplanationRequest& ask) const {
    return this->history.Find(ask.request);
  }

  State state;
  const EntryTaskMailboxes links;
  const Clock clock;
  const Sink sink;
  EffectExecutor<Wire> carrier;
  EntryMetrics metrics;
  DecisionHistory history;
  std::deque<EntryEvent> pending;
  bool is_stopping = false;
  bool is_drain_asked = false;
};

/// Sends an EntryTick at each kEntryTickInterval until the inbox is closed.
boost::asio::awaitable<void> RunTicks(std::shared_ptr<EntryTaskMailbox> inbox);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ENTRY_TASK_H_
