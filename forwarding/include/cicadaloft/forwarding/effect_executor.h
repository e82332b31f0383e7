#ifndef CICADALOFT_FORWARDING_EFFECT_EXECUTOR_H_
#define CICADALOFT_FORWARDING_EFFECT_EXECUTOR_H_

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstddef>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/protocols.h"
#include "cicadaloft/forwarding/target_connection_pool.h"
#include "cicadaloft/forwarding/target_exchange.h"

namespace cicadaloft {

/// Carries the node's effects to the sessions and exchanges. Part of the node
/// task, and used by it alone.
template <TargetProtocol Wire>
class EffectExecutor {
 public:
  EffectExecutor(boost::asio::any_io_executor executor,
                 std::shared_ptr<EntryTaskMailbox> node,
                 const TargetLimits& limits)
      : executor(std::move(executor)),
        node(std::move(node)),
        limits(limits),
        pool(limits) {}
  EffectExecutor(EffectExecutor&&) = delete;

  void Admit(const RequestReceived& arrived, TimePoint now) {
    this->callers.emplace(arrived.request->arrival.request,
                          Caller{.arrived = arrived, .at = now});
  }

  void Forget(const RequestId& request) { this->callers.erase(request); }

  void KeepConnection(const ConnectionReleased& freed, TimePoint now) {
    this->pool.Keep(freed.address, freed.connection, freed.idle_timeout, now);
  }

  /// Begins an exchange.
  /// @param closes_connection whether the caller's connection ends with the
  /// answer.
  /// @return how the attempt ended, if it can't begin.
  std::optional<AttemptEnded> Carry(const Dispatch& dispatch,
                                    bool closes_connection,
                                    TimePoint now) {
    const auto caller = this->callers.find(dispatch.request);
    if (caller == this->callers.end()) {
      return AttemptEnded{.request = dispatch.request,
                          .attempt = dispatch.attempt,
                          .outcome = AttemptOutcome::kNotSent};
    }
    auto cancel = std::make_shared<CancelMailbox>(this->executor, 1);
    this->attempts.emplace(
        AttemptKey(dispatch.request, dispatch.attempt),
        Attempt{.cancel = cancel, .arrived = caller->second.at});
    const RequestReceived& arrived = caller->second.arrived;
    auto order = std::make_shared<const ExchangeParams>(ExchangeParams{
        .dispatch = dispatch,
        .request = arrived.request,
        .queue_time = now - caller->second.at,
        .closes_connection = closes_connection,
        .reused_connection = this->pool.Take(dispatch.address, now),
        .node = this->node,
        .session = arrived.session,
        .cancel = std::move(cancel)});
    boost::asio::co_spawn(this->executor,
                          RunExchange<Wire>(std::move(order), this->limits),
                          boost::asio::detached);
    return std::nullopt;
  }

  void Carry(const CancelAttempt& cancel) {
    const auto found =
        this->attempts.find(AttemptKey(cancel.request, cancel.attempt));
    if (found != this->attempts.end()) {
      TrySend(*found->second.cancel, cancel);
    }
  }

  void Carry(const Refuse& refusal) {
    const auto found = this->callers.find(refusal.request);
    if (found != this->callers.end()) {
      Post(*found->second.arrived.session, refusal);
    }
  }

  /// Takes note that an exchange has ended.
  void NoteEnd(const AttemptEnded& ended) {
    this->attempts.erase(AttemptKey(ended.request, ended.attempt));
  }

  /// @return when the request of a running attempt arrived, or none if there is
  /// no such attempt.
  std::optional<TimePoint> ArrivalOf(const RequestId& request,
                                     AttemptNumber attempt) const {
    const auto found = this->attempts.find(AttemptKey(request, attempt));
    return found == this->attempts.end() ? std::nullopt
                                         : std::optional(found->second.arrived);
  }
  /// @return the open requests, as their callers name them.
  std::vector<RequestId> OpenCallerIds() const {
    std::vector<RequestId> ids;
    std::ranges::transform(
        this->callers, std::back_inserter(ids), [](const auto& entry) {
          return entry.second.arrived.request->arrival.caller_request_id;
        });
    return ids;
  }
  std::size_t open_requests() const { return this->callers.size(); }
  std::size_t running_attempts() const { return this->attempts.size(); }

 private:
  struct Caller {
    RequestReceived arrived;
    TimePoint at;
  };
  struct Attempt {
    std::shared_ptr<Mailbox<CancelAttempt>> cancel;
    TimePoint arrived;
  };
  using AttemptKey = std::pair<RequestId, AttemptNumber>;

  const boost::asio::any_io_executor executor;
  const std::shared_ptr<EntryTaskMailbox> node;
  const TargetLimits limits;
  TargetConnectionPool pool;
  std::map<RequestId, Caller> callers;
  std::map<AttemptKey, Attempt> attempts;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_EFFECT_EXECUTOR_H_
