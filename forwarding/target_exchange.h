#ifndef CICADALOFT_FORWARDING_TARGET_EXCHANGE_H_
#define CICADALOFT_FORWARDING_TARGET_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/mailbox.h"
#include "cicadaloft/forwarding/messages.h"
#include "cicadaloft/forwarding/node_messages.h"
#include "target_connection.h"

namespace cicadaloft {

using CancelMailbox = Mailbox<CancelAttempt>;

/// One attempt: what to send where, and who hears of it.
struct ExchangeOrder {
  const Dispatch dispatch;
  const std::shared_ptr<const CallerRequest> request;
  const Duration queue_time{};
  const std::shared_ptr<TargetConnection> kept;  ///< Null: connect anew.
  const std::shared_ptr<NodeMailbox> node;
  const std::shared_ptr<SessionMailbox> session;
  const std::shared_ptr<CancelMailbox> cancel;
};

/// Sends the request, passes the answer on as it comes, and tells the node
/// exactly once how the attempt ended.
boost::asio::awaitable<void> RunExchange(
    std::shared_ptr<const ExchangeOrder> order,
    TargetLimits limits);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_EXCHANGE_H_
