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

#include "cicadaloft/alignment/comparison_task.h"
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

/// A state whose Decide() handles the events of an entry; EntryState in
/// production.
template <typename S>
concept EntryDecider = std::movable<S> && requires(S state,
                                                   const S& const_state,
                                                   const EntryEvent& event,
                                                   TimePoint now) {
  {
    Decide(std::move(state), event, now)
  } -> std::same_as<Step<S, EntryEffect>>;
  { const_state.IsReady() } -> std::convertible_to<bool>;
  { const_state.OpenRequestCount() } -> std::convertible_to<std::size_t>;
};

/// Receives every decision record.
template <typename L>
concept DecisionSink = std::invocable<const L&, const DecisionRecord&>;

/// Messages from the entry to the host's control task.
using EntryNotification = std::variant<ModelLoadRequest,
                                       UsageReport,
                                       QuotaRequest,
                                       WarmupRequest,
                                       CrashEvidence,
                                       PoisonRefutation,
                                       TargetLeavingReport,
                                       QuotaHistory,
                                       TargetReachabilityChanged,
                                       ConfigurationHeard,
                                       ConfigurationReceived,
                                       RequestsStarted>;
using EntryNotificationMailbox = Mailbox<EntryNotification>;
/// No request is open, or the grace period has expired. Sent only after a
/// DrainRequest: until then requests may arrive, also after a moment with none
/// open.
struct EntryDrained {};
using DrainedMailbox = Mailbox<EntryDrained>;

/// Mailboxes between the entry task and the tasks around it.
struct EntryTaskMailboxes {
  const std::shared_ptr<EntryTaskMailbox> inbox;
  /// To the host's control task.
  const std::shared_ptr<EntryNotificationMailbox> notifications;
  const std::shared_ptr<DrainedMailbox> drained;  ///< To the main program.
  /// To the task that keeps the origins of streams; null: there is none.
  const std::shared_ptr<OriginTaskMailbox> origins;
  /// To the task that compares configurations; null: there is none.
  const std::shared_ptr<ComparisonMailbox> comparisons;
};

/// Messages that may queue in the entry task's mailbox.
inline constexpr std::size_t kEntryTaskMailboxCapacity = 1024;

/// Task that owns the entry's state, passes events to it and executes its
/// effects.
template <EntryDecider State,
          TargetProtocol Protocol,
          EntryClock Clock,
          DecisionSink Sink>
class EntryTask {
 public:
  /// @param self this host, for requests that it forwards to other hosts; its
  /// address is empty if it takes none of theirs.
  EntryTask(boost::asio::any_io_executor executor,
            DetourHost self,
            State state,
            EntryTaskMailboxes mailboxes,
            const TargetLimits& limits,
            Clock clock,
            Sink sink)
      : state(std::move(state)),
        mailboxes(std::move(mailboxes)),
        clock(std::move(clock)),
        sink(std::move(sink)),
        effect_executor(std::move(executor),
                        std::move(self),
                        this->mailboxes.inbox,
                        this->mailboxes.origins,
                        limits) {}

  /// Runs until the inbox is closed.
  boost::asio::awaitable<void> Run() {
    auto message = co_await Receive(*this->mailboxes.inbox);
    while (message != nullptr) {
      std::visit([this](const auto& item) { this->Handle(item); }, *message);
      message = co_await Receive(*this->mailboxes.inbox);
    }
  }

 private:
  void Handle(const EntryEvent& event) {
    this->pending_events.push_back(event);
    while (!this->pending_events.empty()) {
      const EntryEvent next = this->pending_events.front();
      this->pending_events.pop_front();
      this->Process(next);
    }
  }

  void Handle(const RequestReceived& received) {
    if (const auto& comparison = received.request->comparison) {
      this->effect_executor.AddRequest(received, this->clock.Now());
      this->Handle(EntryEvent(*comparison));
      return;
    }
    if (received.request->arrival.forwarded_by) {
      this->metrics.CountTakenRequest();
    }
    this->effect_executor.AddRequest(received, this->clock.Now());
    this->Handle(EntryEvent(received.request->arrival));
  }

  void Handle(const RequestFinished& finished) {
    this->effect_executor.RemoveRequest(finished.request);
    this->ReportIfDrained();
  }

  void Handle(const CallerRejected& rejected) {
    const ErrorInfo& error_info = GetErrorInfo(rejected.kind);
    this->metrics.CountRefusal(rejected.kind);
    this->Execute(DecisionRecord{.event = "caller.rejected",
                                 .request = rejected.request,
                                 .fields = {{"kind", error_info.token}}});
  }

  void Handle(const ConnectionReleased& released) {
    this->effect_executor.ReleaseConnection(released, this->clock.Now());
  }

  void Handle(const UsageWindowCounted& counted) {
    this->metrics.CountUsageWindow(counted.outcome);
  }

  void Handle(const DrainRequest& request) {
    this->is_drain_requested = true;
    if (request.is_forced) {
      this->LogCutRequests();
      TrySend(*this->mailboxes.drained, EntryDrained{});
      return;
    }
    this->ReportIfDrained();
  }

  void Handle(const GaugeReplaced& gauge) { this->metrics.Replace(gauge); }

  void LogCutRequests() {
    for (const RequestId& caller_request_id :
         this->effect_executor.OpenCallerRequestIds()) {
      this->Execute(
          DecisionRecord{.event = "caller.cut",
                         .request = caller_request_id,
                         .fields = {{"why", "the time to stop is over"}}});
    }
  }

  void Handle(const StoreCallEnded& ended) {
    this->metrics.CountStoreCall(ended);
  }

  void Handle(const AdminCall& call) {
    const AdminReply reply =
        std::visit([this](const auto& request) { return this->Reply(request); },
                   call.request);
    TrySend(*call.reply_to, reply);
  }

  void Process(const EntryEvent& event) {
    this->RecordEvent(event);
    Step<State, EntryEffect> step =
        Decide(std::move(this->state), event, this->clock.Now());
    this->state = std::move(step.state);
    for (const EntryEffect& effect : step.effects) {
      std::visit([this](const auto& item) { this->Execute(item); }, effect);
    }
  }

  // Updates the metrics and the effect executor before Decide() handles the
  // event.
  void RecordEvent(const EntryEvent& event) {
    const TimePoint now = this->clock.Now();
    if (const auto* started = std::get_if<ResponseStarted>(&event)) {
      if (const auto arrival = this->effect_executor.ArrivalTime(
              started->request, started->attempt)) {
        this->metrics.RecordFirstByte(now - *arrival);
      }
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      const auto arrival =
          this->effect_executor.ArrivalTime(ended->request, ended->attempt);
      if (ended->outcome == AttemptOutcome::kCompleted && arrival) {
        this->metrics.RecordResponse(ended->http_status, now - *arrival);
      }
      this->effect_executor.RemoveAttempt(*ended);
    } else if (const auto* probed = std::get_if<TargetProbed>(&event)) {
      this->metrics.CountProbe(probed->is_reached);
    } else if (const auto* change = std::get_if<ConfigurationChanged>(&event)) {
      this->metrics.SetConfiguration(change->configuration->version());
    } else if (const auto* heard = std::get_if<ConfigurationHeard>(&event)) {
      this->metrics.SetHeardConfiguration(heard->version);
    } else if (std::holds_alternative<EntryStopRequested>(event)) {
      this->is_stopping = true;
    }
  }

  void Execute(const Dispatch& dispatch) {
    if (dispatch.via_host) {
      this->metrics.CountForwardedRequest();
    }
    const auto ended = this->effect_executor.Execute(
        dispatch, this->is_stopping, this->clock.Now());
    if (ended) {
      this->pending_events.emplace_back(*ended);
    }
  }

  void Execute(const CancelAttempt& cancel) {
    this->effect_executor.Execute(cancel);
  }

  void Execute(const Refuse& refusal) {
    this->metrics.CountRefusal(refusal.error.kind);
    this->effect_executor.Execute(refusal);
  }

  void Execute(const WaitMeasured& wait) { this->metrics.RecordWait(wait); }

  // A message is dropped when the control task lags and its mailbox is full.
  // Requests to control are repeated as long as callers' requests wait.
  void Execute(const ModelLoadRequest& request) {
    this->NotifyControl(request);
  }
  void Execute(const UsageReport& report) { this->NotifyControl(report); }
  void Execute(const QuotaRequest& request) { this->NotifyControl(request); }
  void Execute(const WarmupRequest& request) { this->NotifyControl(request); }
  void Execute(const CrashEvidence& evidence) { this->NotifyControl(evidence); }
  void Execute(const PoisonRefutation& refutation) {
    this->NotifyControl(refutation);
  }
  void Execute(const TargetLeavingReport& report) {
    this->NotifyControl(report);
  }
  void Execute(const QuotaHistory& history) { this->NotifyControl(history); }
  void Execute(const LookUpOrigin& lookup) {
    if (!this->effect_executor.Execute(lookup)) {
      this->metrics.CountDroppedMessage();
    }
  }
  void Execute(const ProbeTarget& probe) {
    this->effect_executor.Execute(probe);
  }
  void Execute(const TargetReachabilityChanged& change) {
    this->metrics.SetReachesTargets(change.reaches_targets);
    this->NotifyControl(change);
  }
  void Execute(const ConfigurationHeard& heard) { this->NotifyControl(heard); }
  void Execute(const CompareConfigurations& compare) {
    const auto& comparisons = this->mailboxes.comparisons;
    if (comparisons == nullptr || !TrySend(*comparisons, compare)) {
      this->metrics.CountDroppedMessage();
      this->pending_events.emplace_back(
          ConfigurationsCompared{.host = compare.host});
    }
  }
  void Execute(const AnswerComparison& answer) {
    this->effect_executor.Execute(answer);
  }
  void Execute(const ConfigurationReceived& received) {
    this->NotifyControl(received);
  }
  void Execute(const RequestsStarted& started) { this->NotifyControl(started); }
  void Execute(const RunMeasured& run) { this->metrics.RecordRun(run); }

  void NotifyControl(EntryNotification notification) {
    if (!TrySend(*this->mailboxes.notifications, std::move(notification))) {
      this->metrics.CountDroppedMessage();
    }
  }

  void Execute(const DecisionRecord& record) {
    this->metrics.CountDecision(record.event);
    this->history.Add(this->clock.UnixMilliseconds(), record);
    this->sink(record);
  }

  // Also called when a session finishes a request: the program may end once the
  // last response has been written.
  void ReportIfDrained() {
    if (this->is_drain_requested &&
        this->effect_executor.open_requests() == 0) {
      TrySend(*this->mailboxes.drained, EntryDrained{});
    }
  }

  StatusReply Status() const {
    return StatusReply{
        .is_ready = this->state.IsReady() && !this->is_stopping,
        .is_stopping = this->is_stopping,
        .open_requests = this->effect_executor.open_requests(),
        .running_attempts = this->effect_executor.running_attempts()};
  }

  AdminReply Reply(const StatusRequest&) const { return this->Status(); }
  AdminReply Reply(const MetricsRequest&) {
    return this->metrics.Render(this->Status());
  }
  AdminReply Reply(const ExplanationRequest& request) const {
    return this->history.Find(request.request);
  }

  State state;
  const EntryTaskMailboxes mailboxes;
  const Clock clock;
  const Sink sink;
  EffectExecutor<Protocol> effect_executor;
  EntryMetrics metrics;
  DecisionHistory history;
  std::deque<EntryEvent> pending_events;
  bool is_stopping = false;
  bool is_drain_requested = false;
};

/// Sends an EntryTick every kEntryTickInterval until the inbox is closed.
boost::asio::awaitable<void> RunTicks(std::shared_ptr<EntryTaskMailbox> inbox);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ENTRY_TASK_H_
