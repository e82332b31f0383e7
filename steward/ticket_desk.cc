#include "ticket_desk.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace cicadaloft {
namespace {

constexpr Duration kAnswerTime = std::chrono::seconds(15);
/// What a ticket refers to may have been accepted elsewhere a moment ago.
constexpr Duration kReferenceTime = std::chrono::seconds(1);

Result<TicketOutcome> Refuse(const TicketRefusal& refusal,
                             const Ticket& ticket,
                             const std::string& digest) {
  if (refusal.error.kind != ErrorKind::kTicketOvertaken) {
    return refusal.error;
  }
  return TicketOutcome{.number = ticket.number,
                       .offset = LogOffset(),
                       .digest = digest,
                       .refusal = refusal.error,
                       .overtaken_by = refusal.overtaken_by};
}

}  // namespace

void TicketDesk::Submit(const TicketSubmitted& submitted, TimePoint now) {
  this->pending.emplace(submitted.call,
                        Pending{.ticket = submitted.ticket,
                                .digest = DigestOf(submitted.ticket),
                                .since = now,
                                .sequence = std::nullopt});
}

std::optional<Result<TicketOutcome>> TicketDesk::Judge(const Config& config,
                                                       const Pending& pending,
                                                       TimePoint now) {
  const TicketOutcome* outcome = config.FindOutcome(pending.ticket.number);
  if (outcome != nullptr && outcome->digest == pending.digest) {
    return *outcome;
  }
  if (now - pending.since >= kAnswerTime) {
    return Fail(ErrorKind::kLogUnavailable,
                "the log did not confirm the ticket within 15 s; it may still "
                "take effect, so hand the same ticket in again");
  }
  if (pending.sequence.has_value() && outcome == nullptr) {
    return std::nullopt;
  }
  const std::optional<TicketRefusal> refusal =
      CheckTicket(config, pending.ticket);
  if (!refusal.has_value()) {
    return std::nullopt;
  }
  const bool may_resolve = refusal->error.kind == ErrorKind::kTicketDangling &&
                           now - pending.since < kReferenceTime;
  return may_resolve ? std::nullopt
                     : std::optional<Result<TicketOutcome>>(
                           Refuse(*refusal, pending.ticket, pending.digest));
}

std::vector<TicketAnswer> TicketDesk::Work(const Config& config,
                                           bool may_append,
                                           LogWriter& writer,
                                           TimePoint now) {
  std::vector<TicketAnswer> answers;
  std::ranges::for_each(this->pending, [&](auto& entry) {
    auto& [call, pending] = entry;
    if (std::optional<Result<TicketOutcome>> outcome =
            Judge(config, pending, now)) {
      answers.push_back(TicketAnswer{.call = call, .outcome = *outcome});
      return;
    }
    const bool is_on_its_way =
        pending.sequence.has_value() && writer.IsQueued(*pending.sequence);
    if (may_append && !is_on_its_way &&
        !CheckTicket(config, pending.ticket).has_value()) {
      pending.sequence = writer.Submit(TicketRecord{.ticket = pending.ticket});
    }
  });
  std::ranges::for_each(answers, [this](const TicketAnswer& answer) {
    this->pending.erase(answer.call);
  });
  return answers;
}

}  // namespace cicadaloft
