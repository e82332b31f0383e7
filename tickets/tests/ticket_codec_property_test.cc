#define BOOST_TEST_MODULE ticket_codec_property
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cicadaloft/tickets/item_json.h"
#include "cicadaloft/tickets/ticket_codec.h"
#include "generators.h"

namespace cicadaloft {
namespace {

/// Draws a ticket whose items stand by kind, as in a file.
Ticket DrawFiledTicket() {
  const auto ticket = Draw<Ticket>();
  std::vector<Item> items;
  for (std::size_t kind = 0; kind < std::variant_size_v<Item>; ++kind) {
    std::ranges::copy_if(
        ticket.items, std::back_inserter(items),
        [&](const Item& item) { return item.index() == kind; });
  }
  return Ticket{.number = ticket.number,
                .author = ticket.author,
                .reason = ticket.reason,
                .items = std::move(items),
                .removed = ticket.removed};
}

RC_BOOST_PROP(ATicketIsReadAsWritten, ()) {
  const Ticket ticket = DrawFiledTicket();
  const Result<Ticket> again = ParseTicket(FormatTicket(ticket));
  RC_ASSERT(IsOk(again));
  RC_ASSERT(ValueOf(again) == ticket);
}

RC_BOOST_PROP(AnOutcomeIsReadAsWritten, ()) {
  const auto outcome = Draw<TicketOutcome>();
  const Result<TicketOutcome> again = ParseOutcome(FormatOutcome(outcome));
  RC_ASSERT(IsOk(again));
  RC_ASSERT(ValueOf(again) == outcome);
}

RC_BOOST_PROP(AnyTextIsATicketOrAnError, (const std::string& text)) {
  const Result<Ticket> ticket = ParseTicket(text);
  RC_ASSERT(IsOk(ticket) || !ErrorOf(ticket).message.empty());
}

RC_BOOST_PROP(AMutatedTicketIsATicketOrAnError, ()) {
  const std::string text = DrawMutationOf(FormatTicket(DrawFiledTicket()));
  const Result<Ticket> ticket = ParseTicket(text);
  if (IsOk(ticket)) {
    const Result<Ticket> again = ParseTicket(FormatTicket(ValueOf(ticket)));
    RC_ASSERT(IsOk(again));
    RC_ASSERT(ValueOf(again) == ValueOf(ticket));
  } else {
    RC_ASSERT(ErrorOf(ticket).kind == ErrorKind::kTicketMalformed);
    RC_ASSERT(!ErrorOf(ticket).message.empty());
  }
}

}  // namespace
}  // namespace cicadaloft
