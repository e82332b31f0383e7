#ifndef CICADALOFT_TICKETS_TICKET_CODEC_H_
#define CICADALOFT_TICKETS_TICKET_CODEC_H_

#include <string>
#include <string_view>

#include "cicadaloft/core/result.h"
#include "cicadaloft/tickets/config.h"
#include "cicadaloft/tickets/messages.h"

namespace cicadaloft {

/// Reads a ticket as operators write it: JSON with comments.
/// @return the ticket, or kTicketMalformed naming the field and what was
/// expected there. Unknown fields are errors.
Result<Ticket> ParseTicket(std::string_view text);

/// @return the ticket as ParseTicket() reads it.
std::string FormatTicket(const Ticket& ticket);

/// @return the configuration in force as one JSON object, with the ticket that
/// set each item; secrets' hashes and salts left out.
std::string FormatConfig(const Config& config);

/// @return what became of a ticket as one JSON object.
std::string FormatOutcome(const TicketOutcome& outcome);

/// @return the outcome that FormatOutcome() wrote, or kMalformedRequest.
Result<TicketOutcome> ParseOutcome(std::string_view text);

}  // namespace cicadaloft

#endif  // CICADALOFT_TICKETS_TICKET_CODEC_H_
