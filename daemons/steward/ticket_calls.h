#ifndef CICADALOFT_DAEMONS_STEWARD_TICKET_CALLS_H_
#define CICADALOFT_DAEMONS_STEWARD_TICKET_CALLS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/platform/mailbox.h"
#include "cicadaloft/steward/messages.h"

namespace cicadaloft {

/// Operators' calls that wait until their tickets are decided.
class TicketCalls {
 public:
  TicketCalls(boost::asio::any_io_executor executor, StewardEventSink sink);

  /// Hands a ticket to the node and waits for what becomes of it.
  /// @return the outcome, or kLogUnavailable after `limit`: the ticket may
  /// still be accepted then.
  boost::asio::awaitable<Result<TicketOutcome>> Submit(Ticket ticket,
                                                       Duration limit);

  /// Passes the node's answer on to the call that waits for it, if any.
  void Take(const TicketAnswer& answer);

 private:
  using AnswerChannel = MessageChannel<TicketAnswer>;

  boost::asio::any_io_executor executor;
  StewardEventSink sink;
  std::uint64_t last_call = 0;
  std::map<std::uint64_t, std::shared_ptr<AnswerChannel>> waiting;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DAEMONS_STEWARD_TICKET_CALLS_H_
