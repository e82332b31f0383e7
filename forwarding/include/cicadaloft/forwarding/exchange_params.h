#ifndef CICADALOFT_FORWARDING_EXCHANGE_PARAMS_H_
#define CICADALOFT_FORWARDING_EXCHANGE_PARAMS_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string_view>

#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/forwarding/target_connection.h"

namespace cicadaloft {

using CancelMailbox = Mailbox<CancelAttempt>;

/// One attempt: what to send where, and who hears of it.
struct ExchangeParams {
  const Dispatch dispatch;
  const std::shared_ptr<const CallerRequest> request;
  const Duration queue_time{};
  const bool closes_connection =
      false;  ///< The caller's connection ends with it.
  const std::shared_ptr<TargetConnection>
      reused_connection;  ///< Null: connect anew.
  const std::shared_ptr<EntryTaskMailbox> node;
  const std::shared_ptr<SessionMailbox> session;
  const std::shared_ptr<CancelMailbox> cancel;

  friend auto operator<=>(const ExchangeParams&,
                          const ExchangeParams&) = default;
  friend bool operator==(const ExchangeParams&,
                         const ExchangeParams&) = default;
};

/// @return the endpoint of "IP:port", or none.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_EXCHANGE_PARAMS_H_
