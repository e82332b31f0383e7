#ifndef CICADALOFT_STEWARD_TICKET_DESK_H_
#define CICADALOFT_STEWARD_TICKET_DESK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/steward/messages.h"
#include "cicadaloft/tickets/config.h"
#include "log_writer.h"

namespace cicadaloft {

/// The tickets that operators have handed in here. A ticket that can't stand is
/// refused before it is appended; any other is answered by its outcome in the
/// log.
class TicketDesk {
 public:
  void Submit(const TicketSubmitted& submitted, TimePoint now);

  /// @return the answers that have come due.
  /// @param may_append whether this host is a member in force.
  std::vector<TicketAnswer> Work(const Config& config,
                                 bool may_append,
                                 LogWriter& writer,
                                 TimePoint now);

 private:
  struct Pending {
    const Ticket ticket;
    const std::string digest;
    const TimePoint since;
    std::optional<SequenceNumber> sequence;
  };

  static std::optional<Result<TicketOutcome>> Judge(const Config& config,
                                                    const Pending& pending,
                                                    TimePoint now);

  std::map<std::uint64_t, Pending> pending;  ///< By the operator's call.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_TICKET_DESK_H_
