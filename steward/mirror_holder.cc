#include "mirror_holder.h"

#include <algorithm>
#include <ranges>

#include "cicadaloft/core/result.h"

namespace cicadaloft {
namespace {

constexpr std::size_t kMaxHeld = 20000;
/// Records of a writer that is gone are kept for its successors so long.
constexpr Duration kOrphanTime = std::chrono::minutes(10);

}  // namespace

std::optional<DutyId> DutyOf(const Ledger& ledger, const RecordBody& body) {
  const auto of_target = [&](const TargetId& id) -> std::optional<DutyId> {
    const auto* target = ledger.config().Find<Target>(id.value());
    if (target == nullptr) {
      return std::nullopt;
    }
    return DutyId{.kind = DutyKind::kPlacement,
                  .data_centre = target->data_centre};
  };
  const auto of_key = [&](const ClaimKey& key) {
    return ledger.members().ClaimsDutyOf(TextOf(key));
  };
  return std::visit(
      Overloaded{
          [&](const PlacementRecord& record) {
            return of_target(record.target);
          },
          [&](const ClaimRecord& record) { return of_key(record.key); },
          [&](const ClaimOutcomeRecord& record) { return of_key(record.key); },
          [](const auto&) -> std::optional<DutyId> { return std::nullopt; },
      },
      body);
}

bool MirrorHolder::Hold(const Ledger& ledger, const LogRecord& record) {
  const std::optional<DutyId> duty = DutyOf(ledger, record.body);
  if (!duty.has_value() || !ledger.members().Owns(record.writer, *duty)) {
    return false;
  }
  const auto fence = this->fences.find(*duty);
  const DutyHolder* holder = ledger.members().FindDuty(*duty);
  const bool is_fenced = fence != this->fences.end() &&
                         fence->second.asker != record.writer.host &&
                         holder->token.value() < fence->second.at.value();
  if (is_fenced || this->held.size() >= kMaxHeld) {
    return false;
  }
  this->held.try_emplace(std::pair(record.writer, record.sequence),
                         Held{.record = record, .orphaned = std::nullopt});
  return true;
}

std::vector<LogRecord> MirrorHolder::HandOver(const Ledger& ledger,
                                              const DutyId& duty,
                                              const HostId& asker) {
  this->fences.insert_or_assign(duty,
                                Fence{.asker = asker, .at = ledger.next()});
  std::vector<LogRecord> records;
  std::ranges::for_each(this->held | std::views::values, [&](const Held& held) {
    if (DutyOf(ledger, held.record.body) == duty &&
        held.record.writer.host != asker) {
      records.push_back(held.record);
    }
  });
  return records;
}

void MirrorHolder::Prune(const Ledger& ledger, TimePoint now) {
  std::ranges::for_each(this->held | std::views::values, [&](Held& held) {
    if (!held.orphaned && !ledger.members().IsInForce(held.record.writer)) {
      held.orphaned = now;
    }
  });
  std::erase_if(this->held, [&](const auto& entry) {
    const Held& held = entry.second;
    const bool is_folded =
        ledger.LastSequenceOf(held.record.writer) >= held.record.sequence;
    return is_folded || (held.orphaned && now - *held.orphaned >= kOrphanTime);
  });
}

}  // namespace cicadaloft
