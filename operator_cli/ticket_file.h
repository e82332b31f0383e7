#ifndef CICADALOFT_OPERATOR_CLI_TICKET_FILE_H_
#define CICADALOFT_OPERATOR_CLI_TICKET_FILE_H_

#include <string>

#include "cicadaloft/core/result.h"
#include "cicadaloft/tickets/messages.h"

namespace cicadaloft {

/// Reads a ticket and checks it by itself.
/// @return the ticket, or kTicketMalformed naming the file, the item and field,
/// and what was expected there.
Result<Ticket> ReadTicketFile(const std::string& path);

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_TICKET_FILE_H_
