#include "cicadaloft/ledger/ledger.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/core/result.h"

namespace cicadaloft {
namespace {

std::map<DataCentreId, std::uint32_t> WeightsOf(const Config& config) {
  std::map<DataCentreId, std::uint32_t> weights;
  std::ranges::for_each(config.All<DataCentre>() | std::views::values,
                        [&](const auto& dc) {
                          if (dc->state == DataCentreState::kInService) {
                            weights.emplace(dc->id, dc->share_weight);
                          }
                        });
  return weights;
}

/// @return whether the data centre of `member` is out of service by ticket.
bool IsOutByTicket(const Config& config,
                   const MemberTable& members,
                   const Member& member) {
  const MemberInfo* info = members.Find(member.host);
  const auto* data_centre =
      info == nullptr ? nullptr
                      : config.Find<DataCentre>(info->data_centre.value());
  return data_centre != nullptr && data_centre->state == DataCentreState::kOut;
}

bool OwnsPlacementOf(const Config& config,
                     const MemberTable& members,
                     const Member& writer,
                     const TargetId& target_id) {
  const auto* target = config.Find<Target>(target_id.value());
  return target != nullptr &&
         members.Owns(writer, DutyId{.kind = DutyKind::kPlacement,
                                     .data_centre = target->data_centre});
}

bool OwnsClaimsOf(const MemberTable& members,
                  const Member& writer,
                  const ClaimKey& key) {
  const std::optional<DutyId> duty = members.ClaimsDutyOf(TextOf(key));
  return duty.has_value() && members.Owns(writer, *duty);
}

}  // namespace

Ledger::Ledger(LogOffset next,
               Config config,
               MemberTable members,
               ShareTable shares,
               PlacementTable placements,
               ClaimTable claims,
               std::map<Member, SequenceNumber> writers)
    : next_offset(next),
      current_config(std::move(config)),
      member_table(std::move(members)),
      share_table(std::move(shares)),
      placement_table(std::move(placements)),
      claim_table(std::move(claims)),
      writer_sequences(std::move(writers)) {}

SequenceNumber Ledger::LastSequenceOf(const Member& writer) const {
  const auto found = this->writer_sequences.find(writer);
  return found == this->writer_sequences.end() ? SequenceNumber()
                                               : found->second;
}

Rejection Ledger::Take(const LogRecord& record, LogOffset at) {
  if (record.sequence <= this->LastSequenceOf(record.writer)) {
    return "a repeat of this writer's record";
  }
  const bool joins = std::holds_alternative<JoinRecord>(record.body);
  if (!joins && !this->member_table.IsInForce(record.writer)) {
    return "the writer is no member in force";
  }
  const Rejection rejection = std::visit(
      Overloaded{
          [&](const TicketRecord& body) -> Rejection {
            this->current_config =
                Apply(std::move(this->current_config), body.ticket, at);
            return std::nullopt;
          },
          [&](const EvictRecord& body) -> Rejection {
            const bool is_out = IsOutByTicket(this->current_config,
                                              this->member_table, body.member);
            return this->member_table.Take(body, record.writer, at, is_out);
          },
          [&](const PlacementRecord& body) -> Rejection {
            if (!OwnsPlacementOf(this->current_config, this->member_table,
                                 record.writer, body.target)) {
              return "the writer does not own the placement";
            }
            return this->placement_table.Take(this->current_config, body, at);
          },
          [&](const PlacementOutcomeRecord& body) -> Rejection {
            if (!OwnsPlacementOf(this->current_config, this->member_table,
                                 record.writer, body.target)) {
              return "the writer does not own the placement";
            }
            return this->placement_table.Take(body);
          },
          [&](const TargetInstanceRecord& body) -> Rejection {
            if (!OwnsPlacementOf(this->current_config, this->member_table,
                                 record.writer, body.target)) {
              return "the writer does not own the placement";
            }
            return this->placement_table.Take(body);
          },
          [&](const ClaimRecord& body) -> Rejection {
            if (!OwnsClaimsOf(this->member_table, record.writer, body.key)) {
              return "the writer does not own the claims";
            }
            return this->claim_table.Take(body, at);
          },
          [&](const ClaimOutcomeRecord& body) -> Rejection {
            return this->claim_table.Take(body);
          },
          [](const CheckpointRecord&) -> Rejection { return std::nullopt; },
          [](const UnreadableRecord& body) -> Rejection { return body.reason; },
          [&](const auto& body) -> Rejection {
            return this->member_table.Take(body, record.writer, at);
          },
      },
      record.body);
  // A rejected record counts as written, too: it must not count later.
  if (this->member_table.IsInForce(record.writer)) {
    this->writer_sequences.insert_or_assign(record.writer, record.sequence);
  }
  return rejection;
}

void Ledger::UpdateShares(LogOffset at) {
  this->share_table.Update(
      this->member_table,
      SplitEvenly(this->member_table, WeightsOf(this->current_config), at));
  std::erase_if(this->writer_sequences, [this](const auto& writer) {
    return !this->member_table.IsInForce(writer.first);
  });
}

Step<Ledger, RejectedRecord> Apply(Ledger ledger, const PlacedRecord& placed) {
  std::vector<RejectedRecord> rejected;
  if (placed.offset != ledger.next_offset) {
    return {std::move(ledger), std::move(rejected)};
  }
  if (const Rejection reason = ledger.Take(placed.record, placed.offset)) {
    rejected.push_back(RejectedRecord{.placed = placed, .reason = *reason});
  }
  const RecordBody& body = placed.record.body;
  // A renewal changes no member; it can only confirm an allocation that waits.
  const bool moves_shares = std::holds_alternative<TicketRecord>(body) ||
                            std::holds_alternative<JoinRecord>(body) ||
                            (std::holds_alternative<RenewRecord>(body) &&
                             ledger.share_table.allocations().size() > 1) ||
                            std::holds_alternative<LeaveRecord>(body) ||
                            std::holds_alternative<EvictRecord>(body);
  if (moves_shares) {
    ledger.UpdateShares(placed.offset);
  }
  ledger.next_offset = placed.offset.Next();
  return {std::move(ledger), std::move(rejected)};
}

Step<Ledger, RejectedRecord> ApplyAll(
    Ledger ledger,
    const std::vector<PlacedRecord>& records) {
  std::vector<RejectedRecord> rejected;
  std::ranges::for_each(records, [&](const PlacedRecord& placed) {
    Step<Ledger, RejectedRecord> step = Apply(std::move(ledger), placed);
    ledger = std::move(step.state);
    std::ranges::move(step.effects, std::back_inserter(rejected));
  });
  return {std::move(ledger), std::move(rejected)};
}

}  // namespace cicadaloft
