#ifndef CICADALOFT_FORWARDING_EFFECT_EXECUTOR_H_
#define CICADALOFT_FORWARDING_EFFECT_EXECUTOR_H_

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/alignment/alignment_codec.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/core/spawn.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/protocols.h"
#include "cicadaloft/forwarding/target_connection_pool.h"
#include "cicadaloft/forwarding/target_exchange.h"
#include "cicadaloft/forwarding/target_probe.h"
#include "cicadaloft/telemetry/log_task_failure.h"

namespace cicadaloft {

/// Executes the entry's effects on sessions and exchanges. Part of the entry
/// task, and used by it alone.
template <TargetProtocol Protocol>
class EffectExecutor {
 public:
  /// @param self this host, for requests that it forwards to other hosts.
  EffectExecutor(boost::asio::any_io_executor executor,
                 DetourHost self,
                 std::shared_ptr<EntryTaskMailbox> entry_inbox,
                 std::shared_ptr<OriginTaskMailbox> origins,
                 const TargetLimits& limits)
      : executor(std::move(executor)),
        self(std::move(self)),
        entry_inbox(std::move(entry_inbox)),
        origins(std::move(origins)),
        limits(limits),
        pool(limits) {}
  EffectExecutor(EffectExecutor&&) = delete;

  void AddRequest(const RequestReceived& received, TimePoint now) {
    this->requests.emplace(
        received.request->arrival.request,
        OpenRequest{.received = received, .arrival_time = now});
  }

  void RemoveRequest(const RequestId& request) {
    this->requests.erase(request);
  }

  void ReleaseConnection(const ConnectionReleased& released, TimePoint now) {
    this->pool.Release(released.address, released.connection,
                       released.idle_timeout, now);
  }

  /// Starts an exchange.
  /// @param closes_connection whether the caller's connection is closed after
  /// the response.
  /// @return the end of the attempt if it can't start, else none.
  std::optional<AttemptEnded> Execute(const Dispatch& dispatch,
                                      bool closes_connection,
                                      TimePoint now) {
    const auto found = this->requests.find(dispatch.request);
    if (found == this->requests.end()) {
      return AttemptEnded{.request = dispatch.request,
                          .attempt = dispatch.attempt,
                          .outcome = AttemptOutcome::kNotSent};
    }
    auto cancel = std::make_shared<CancelMailbox>(this->executor, 1);
    this->attempts.emplace(
        AttemptKey(dispatch.request, dispatch.attempt),
        Attempt{.cancel = cancel, .arrival_time = found->second.arrival_time});
    const RequestReceived& received = found->second.received;
    auto params = std::make_shared<const ExchangeParams>(ExchangeParams{
        .dispatch = dispatch,
        .self = this->self,
        .request = received.request,
        .queue_time = now - found->second.arrival_time,
        .closes_connection = closes_connection,
        .reused_connection = this->pool.Acquire(
            dispatch.address, received.request->arrival.caller_request_id, now),
        .entry_inbox = this->entry_inbox,
        .session = received.session,
        .cancel = std::move(cancel),
        .origins = this->origins});
    Spawn(
        this->executor, "exchange with " + dispatch.address,
        RunExchange<Protocol>(params, this->limits),
        [params](const TaskFailure& failure) { EndFailed(*params, failure); });
    return std::nullopt;
  }

  void Execute(const CancelAttempt& cancel) {
    const auto found =
        this->attempts.find(AttemptKey(cancel.request, cancel.attempt));
    if (found != this->attempts.end()) {
      TrySend(*found->second.cancel, cancel);
    }
  }

  void Execute(const Refuse& refusal) {
    const auto found = this->requests.find(refusal.request);
    if (found != this->requests.end()) {
      Post(*found->second.received.session, refusal);
    }
  }

  /// Answers the comparison of another host.
  void Execute(const AnswerComparison& answer) {
    const auto found = this->requests.find(answer.request);
    if (found == this->requests.end()) {
      return;
    }
    const std::string body = EncodeHeldConfiguration(HeldConfiguration{
        .host = this->self.host,
        .version = answer.version,
        .record = answer.newer == nullptr ? "" : answer.newer->record(),
        .reaches_targets = answer.reaches_targets});
    SessionMailbox& session = *found->second.received.session;
    constexpr int kOk = 200;
    Post(session, ResponseHead{.request = answer.request,
                               .status = kOk,
                               .reason_phrase = "OK",
                               .fields = {{"Content-Type", "application/cbor"}},
                               .framing = BodyFraming::kLength,
                               .content_length = body.size()});
    Post(session, ResponseData{.request = answer.request, .bytes = body});
    Post(session, ResponseEnd{.request = answer.request});
  }

  /// Starts a probe. A TargetProbed follows.
  void Execute(const ProbeTarget& probe) {
    const auto report = [inbox = this->entry_inbox,
                         target = probe.target](bool is_reached) {
      Post(*inbox, EntryTaskMessage(EntryEvent(TargetProbed{
                       .target = target, .is_reached = is_reached})));
    };
    Spawn(this->executor, "probe of " + probe.address,
          RunTargetProbe(probe.address, Protocol::FormatProbe(probe), report),
          [report](const TaskFailure& failure) {
            LogTaskFailure{}(failure);
            report(false);
          });
  }

  /// A lookup that is dropped ends by the entry's time limit.
  /// @return whether it was sent.
  bool Execute(const LookUpOrigin& lookup) {
    return this->origins != nullptr && TrySend(*this->origins, lookup);
  }

  /// Removes an attempt whose exchange has ended.
  void RemoveAttempt(const AttemptEnded& ended) {
    this->attempts.erase(AttemptKey(ended.request, ended.attempt));
  }

  /// @return the arrival time of a running attempt's request, or none if there
  /// is no such attempt.
  std::optional<TimePoint> ArrivalTime(const RequestId& request,
                                       AttemptNumber attempt) const {
    const auto found = this->attempts.find(AttemptKey(request, attempt));
    return found == this->attempts.end()
               ? std::nullopt
               : std::optional(found->second.arrival_time);
  }
  /// @return the ids that the callers gave the open requests.
  std::vector<RequestId> OpenCallerRequestIds() const {
    std::vector<RequestId> ids;
    std::ranges::transform(
        this->requests, std::back_inserter(ids), [](const auto& entry) {
          return entry.second.received.request->arrival.caller_request_id;
        });
    return ids;
  }
  std::size_t open_requests() const { return this->requests.size(); }
  std::size_t running_attempts() const { return this->attempts.size(); }

 private:
  // After an exception in an exchange. Whether the target has run the request
  // isn't known, and says nothing about the target.
  static void EndFailed(const ExchangeParams& params,
                        const TaskFailure& failure) {
    LogTaskFailure{}(failure);
    const Dispatch& dispatch = params.dispatch;
    Post(*params.session,
         Refuse{.request = dispatch.request,
                .error = MakeError(ErrorKind::kInternal, "an internal error"),
                .run_state = RunState::kUnknown});
    Post(*params.entry_inbox,
         EntryEvent(AttemptEnded{.request = dispatch.request,
                                 .attempt = dispatch.attempt,
                                 .outcome = AttemptOutcome::kCancelled}));
  }

  struct OpenRequest {
    RequestReceived received;
    TimePoint arrival_time;
  };
  struct Attempt {
    std::shared_ptr<Mailbox<CancelAttempt>> cancel;
    TimePoint arrival_time;
  };
  using AttemptKey = std::pair<RequestId, AttemptNumber>;

  const boost::asio::any_io_executor executor;
  const DetourHost self;
  const std::shared_ptr<EntryTaskMailbox> entry_inbox;
  const std::shared_ptr<OriginTaskMailbox> origins;
  const TargetLimits limits;
  TargetConnectionPool pool;
  std::map<RequestId, OpenRequest> requests;
  std::map<AttemptKey, Attempt> attempts;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_EFFECT_EXECUTOR_H_
