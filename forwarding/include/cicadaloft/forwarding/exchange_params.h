#ifndef CICADALOFT_FORWARDING_EXCHANGE_PARAMS_H_
#define CICADALOFT_FORWARDING_EXCHANGE_PARAMS_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string_view>

#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/origin_messages.h"
#include "cicadaloft/forwarding/target_connection.h"

namespace cicadaloft {

using CancelMailbox = Mailbox<CancelAttempt>;

/// Inputs of one attempt: what to send where, and the mailboxes that get the
/// results.
struct ExchangeParams {
  const Dispatch dispatch;
  const DetourHost self;  ///< This host, as a helping host knows it.
  const std::shared_ptr<const CallerRequest> request;
  const Duration queue_time{};
  /// The caller's connection is closed after the response.
  const bool closes_connection = false;
  /// Null: open a new connection.
  const std::shared_ptr<TargetConnection> reused_connection;
  const std::shared_ptr<EntryTaskMailbox> entry_inbox;
  const std::shared_ptr<SessionMailbox> session;
  const std::shared_ptr<CancelMailbox> cancel;
  /// Of the task that records origins; null: none does.
  const std::shared_ptr<OriginTaskMailbox> origins;

  friend auto operator<=>(const ExchangeParams&,
                          const ExchangeParams&) = default;
  friend bool operator==(const ExchangeParams&,
                         const ExchangeParams&) = default;
};

/// @return the endpoint of "IP:port", or none if `address` is malformed.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_EXCHANGE_PARAMS_H_
