#include "cicadaloft/forwarding/effect_carrier.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "target_exchange.h"
#include "target_pool.h"

namespace cicadaloft {

struct EffectCarrier::Parts {
  TargetPool pool;
};

EffectCarrier::EffectCarrier(boost::asio::any_io_executor executor,
                             std::shared_ptr<NodeMailbox> node,
                             const TargetLimits& limits)
    : executor(std::move(executor)),
      node(std::move(node)),
      limits(limits),
      parts(std::make_unique<Parts>(Parts{.pool = TargetPool(limits)})) {}

EffectCarrier::~EffectCarrier() = default;

void EffectCarrier::Admit(const CallerArrived& arrived, TimePoint now) {
  this->callers.emplace(arrived.request->arrival.request,
                        Caller{.arrived = arrived, .at = now});
}

void EffectCarrier::Forget(const RequestId& request) {
  this->callers.erase(request);
}

void EffectCarrier::KeepConnection(const ConnectionFreed& freed,
                                   TimePoint now) {
  this->parts->pool.Keep(freed.address, freed.connection, now);
}

std::optional<AttemptEnded> EffectCarrier::Carry(const Dispatch& dispatch,
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
  // A kept connection may turn out closed when part of the request has left.
  auto kept = dispatch.idempotent
                  ? this->parts->pool.Take(dispatch.address, now)
                  : nullptr;
  const CallerArrived& arrived = caller->second.arrived;
  auto order = std::make_shared<const ExchangeOrder>(
      ExchangeOrder{.dispatch = dispatch,
                    .request = arrived.request,
                    .queue_time = now - caller->second.at,
                    .kept = std::move(kept),
                    .node = this->node,
                    .session = arrived.session,
                    .cancel = std::move(cancel)});
  boost::asio::co_spawn(this->executor,
                        RunExchange(std::move(order), this->limits),
                        boost::asio::detached);
  return std::nullopt;
}

void EffectCarrier::Carry(const CancelAttempt& cancel) {
  const auto found =
      this->attempts.find(AttemptKey(cancel.request, cancel.attempt));
  if (found != this->attempts.end()) {
    TrySend(*found->second.cancel, cancel);
  }
}

void EffectCarrier::Carry(const Refuse& refusal) {
  const auto found = this->callers.find(refusal.request);
  if (found != this->callers.end()) {
    Post(*found->second.arrived.session, refusal);
  }
}

void EffectCarrier::NoteEnd(const AttemptEnded& ended) {
  this->attempts.erase(AttemptKey(ended.request, ended.attempt));
}

std::optional<TimePoint> EffectCarrier::ArrivalOf(const RequestId& request,
                                                  AttemptNumber attempt) const {
  const auto found = this->attempts.find(AttemptKey(request, attempt));
  return found == this->attempts.end() ? std::nullopt
                                       : std::optional(found->second.arrived);
}

}  // namespace cicadaloft
