#ifndef CICADALOFT_FORWARDING_EFFECT_CARRIER_H_
#define CICADALOFT_FORWARDING_EFFECT_CARRIER_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/node_messages.h"

namespace cicadaloft {

/// Carries the node's effects to the sessions and exchanges. Part of the node
/// task, and used by it alone.
class EffectCarrier {
 public:
  EffectCarrier(boost::asio::any_io_executor executor,
                std::shared_ptr<NodeMailbox> node,
                const TargetLimits& limits);
  ~EffectCarrier();
  EffectCarrier(EffectCarrier&&) = delete;

  void Admit(const CallerArrived& arrived, TimePoint now);
  void Forget(const RequestId& request);
  void KeepConnection(const ConnectionFreed& freed, TimePoint now);

  /// Begins an exchange.
  /// @return how the attempt ended, if it can't begin.
  std::optional<AttemptEnded> Carry(const Dispatch& dispatch, TimePoint now);
  void Carry(const CancelAttempt& cancel);
  void Carry(const Refuse& refusal);
  /// Takes note that an exchange has ended.
  void NoteEnd(const AttemptEnded& ended);

  /// @return when the request of a running attempt arrived, or none if there is
  /// no such attempt.
  std::optional<TimePoint> ArrivalOf(const RequestId& request,
                                     AttemptNumber attempt) const;
  std::size_t open_requests() const { return this->callers.size(); }
  std::size_t running_attempts() const { return this->attempts.size(); }

 private:
  struct Parts;
  struct Caller {
    CallerArrived arrived;
    TimePoint at;
  };
  struct Attempt {
    std::shared_ptr<Mailbox<CancelAttempt>> cancel;
    TimePoint arrived;
  };
  using AttemptKey = std::pair<RequestId, AttemptNumber>;

  const boost::asio::any_io_executor executor;
  const std::shared_ptr<NodeMailbox> node;
  const TargetLimits limits;
  const std::unique_ptr<Parts> parts;
  std::map<RequestId, Caller> callers;
  std::map<AttemptKey, Attempt> attempts;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_EFFECT_CARRIER_H_
