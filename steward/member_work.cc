#include "member_work.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <string>

#include "cicadaloft/core/control_reasons.h"
#include "claim_work.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A first read that is not answered by then is a wait for new records.
constexpr Duration kJoinPatience = milliseconds(300);
/// A member in force for so long may be handed duties.
constexpr Duration kSettledTime = seconds(10);
constexpr Duration kDrainTime = seconds(10);
constexpr Duration kLeaveTime = seconds(5);

void Join(StewardParts& parts) {
  const bool follows =
      !parts.follower.IsMissingRecords() && parts.follower.IsLogReachable() &&
      (parts.follower.HasRead() || parts.now - *parts.started >= kJoinPatience);
  const bool is_under_way =
      parts.join.has_value() && parts.writer.IsQueued(*parts.join);
  if (!follows || is_under_way || parts.IsStopping()) {
    return;
  }
  parts.writer.Clear();
  parts.join = parts.writer.Submit(
      JoinRecord{.member = parts.self(),
                 .data_centre = parts.settings.data_centre,
                 .peer_address = parts.settings.peer_address});
  parts.lease.NoteRenewal(*parts.join, parts.now);
  parts.Explain(
      reasons::kJoin,
      "incarnation=" + std::to_string(parts.self().incarnation.value()));
}

/// What this host, its entry included, acts on.
LogOffset AppliedHere(const StewardParts& parts) {
  const LogOffset own = parts.ledger().next();
  return parts.entry.is_up ? std::min(own, parts.entry.applied.value_or(own))
                           : own;
}

/// @return whether an allocation waits for what this host has applied.
bool IsAwaited(const StewardParts& parts) {
  const Ledger& ledger = parts.ledger();
  const MemberInfo* own = ledger.members().Find(parts.self().host);
  const auto& allocations = ledger.shares().allocations();
  const LogOffset applied = AppliedHere(parts);
  if (applied <= own->applied) {
    return false;
  }
  const bool share_waits =
      allocations.size() > 1 && own->applied <= allocations.back().since;
  const bool home_waits = std::ranges::any_of(
      ledger.members().claim_homes() | std::views::values,
      [&](LogOffset since) { return own->applied < since; });
  return share_waits || home_waits;
}

void Renew(StewardParts& parts) {
  if (!parts.lease.IsRenewalDue(IsAwaited(parts), parts.now)) {
    return;
  }
  std::ranges::for_each(
      parts.writer.DropUnsentRenewals(),
      [&](SequenceNumber dropped) { parts.lease.Withdraw(dropped); });
  const SequenceNumber sequence = parts.writer.Submit(
      RenewRecord{.renewals = {Renewal{.member = parts.self(),
                                       .applied = AppliedHere(parts)}}});
  parts.lease.NoteRenewal(sequence, parts.now);
}

bool MayHandOver(const StewardParts& parts) {
  return parts.MayUseRights() && parts.follower.IsLogReachable() &&
         !parts.IsStopping();
}

EvictionScope ScopeOf(const StewardParts& parts) {
  const Config& config = parts.ledger().config();
  std::set<DataCentreId> out;
  std::ranges::for_each(config.All<DataCentre>() | std::views::values,
                        [&](const auto& data_centre) {
                          if (data_centre->state == DataCentreState::kOut) {
                            out.insert(data_centre->id);
                          }
                        });
  std::set<DataCentreId> unfenced;
  std::ranges::for_each(
      config.All<Target>() | std::views::values, [&](const auto& target) {
        const auto* back_end = config.Find<BackEnd>(target->back_end.value());
        if (back_end != nullptr && !back_end->checks_fencing) {
          unfenced.insert(target->data_centre);
        }
      });
  return EvictionScope{.self = parts.self(),
                       .data_centre = parts.settings.data_centre,
                       .out = std::move(out),
                       .unfenced = std::move(unfenced)};
}

}  // namespace

void NotePlace(StewardParts& parts) {
  const bool is_in_force = parts.IsInForce();
  if (parts.was_in_force && !is_in_force) {
    parts.writer.Clear();
    parts.lease.Forget();
    parts.join.reset();
    parts.handovers.clear();
    parts.placement.StartOver();
    parts.claims.StartOver(ViewOfClaims(parts));
  }
  parts.was_in_force = is_in_force;
}

void WorkOnMembership(StewardParts& parts) {
  if (!parts.IsInForce()) {
    Join(parts);
  } else if (!parts.stop.left.has_value()) {
    Renew(parts);
  }
  const bool has_rights = parts.MayUseRights();
  if (has_rights != parts.had_rights) {
    parts.had_rights = has_rights;
    parts.Explain(has_rights ? reasons::kRightsGained : reasons::kRightsLost,
                  "next=" + std::to_string(parts.ledger().next().value()));
  }
}

void WorkOnEvictions(StewardParts& parts) {
  if (!parts.follower.IsLogReachable() || !parts.IsInForce() ||
      parts.IsStopping()) {
    return;
  }
  const MemberTable& members = parts.ledger().members();
  parts.evictions.Look(members, parts.now);
  std::ranges::for_each(parts.evictions.Due(members, ScopeOf(parts), parts.now),
                        [&](const EvictRecord& record) {
                          parts.Explain(reasons::kEvict,
                                        "host=" + record.member.host.value());
                          parts.writer.Submit(record);
                        });
}

void BeginHandovers(StewardParts& parts) {
  const MemberTable& members = parts.ledger().members();
  std::erase_if(parts.given_up, [&](FencingToken token) {
    return std::ranges::none_of(
        members.duties() | std::views::values,
        [&](const DutyHolder& holder) { return holder.token == token; });
  });
  std::erase_if(parts.member_since, [&](const auto& entry) {
    return !members.IsInForce(entry.first);
  });
  std::ranges::for_each(members.MembersOf(parts.settings.data_centre),
                        [&](const MemberInfo& mate) {
                          parts.member_since.try_emplace(mate.member,
                                                         parts.now);
                        });
  if (!parts.handovers.empty() || !MayHandOver(parts)) {
    return;
  }
  const std::vector<DutyId> duties = DutiesOf(parts.settings.data_centre);
  const auto belongs_elsewhere = [&](const DutyId& duty) {
    const MemberInfo* to = members.PreferredOwnerOf(duty);
    return members.Owns(parts.self(), duty) && to->member != parts.self() &&
           parts.links.IsUp(to->member.host) &&
           parts.now - parts.member_since.at(to->member) >= kSettledTime;
  };
  const auto duty = std::ranges::find_if(duties, belongs_elsewhere);
  if (duty != duties.end()) {
    parts.handovers.emplace(
        *duty, Handover{.to = members.PreferredOwnerOf(*duty)->member.host,
                        .sequence = std::nullopt});
  }
}

void WorkOnHandovers(StewardParts& parts) {
  std::erase_if(parts.handovers, [&](const auto& entry) {
    const Handover& handover = entry.second;
    const bool was_read_back = handover.sequence.has_value() &&
                               !parts.writer.IsQueued(*handover.sequence);
    const bool is_void =
        !handover.sequence.has_value() &&
        (!parts.links.IsUp(handover.to) || !MayHandOver(parts));
    return was_read_back || is_void;
  });
  std::ranges::for_each(parts.handovers, [&](auto& entry) {
    auto& [duty, handover] = entry;
    const bool is_quiet = duty.kind == DutyKind::kPlacement
                              ? parts.placement.IsQuiet()
                              : parts.claims.IsQuiet();
    if (is_quiet && !handover.sequence.has_value()) {
      handover.sequence =
          parts.writer.Submit(HandoverRecord{.duty = duty, .to = handover.to});
      parts.Explain(reasons::kHandover, "to=" + handover.to.value());
    }
  });
}

void WorkOnShareLease(StewardParts& parts, bool is_heartbeat) {
  const bool usable = parts.IsInForce() && parts.lease.IsConfirmed() &&
                      !parts.stop.left.has_value();
  if (!parts.entry.is_up ||
      (usable == parts.entry.told_usable && !is_heartbeat)) {
    return;
  }
  parts.entry.told_usable = usable;
  parts.SendToEntry(
      ShareLease{.usable = usable, .confirmed_at = parts.ledger().next()});
}

void WorkOnStop(StewardParts& parts) {
  if (!parts.IsStopping() || parts.stop.is_stopped) {
    return;
  }
  const bool is_quiet =
      !parts.entry.is_up && parts.placement.IsQuiet() && parts.claims.IsQuiet();
  const bool has_drained =
      is_quiet || parts.now - *parts.stop.asked >= kDrainTime;
  if (!parts.stop.left.has_value() && has_drained) {
    parts.stop.left = parts.now;
    if (parts.IsInForce()) {
      parts.writer.Submit(LeaveRecord{.member = parts.self()});
      parts.Explain(reasons::kLeave, "host=" + parts.self().host.value());
    }
  }
  const bool has_left = parts.stop.left.has_value() && !parts.IsInForce();
  const bool is_late =
      parts.stop.left.has_value() && parts.now - *parts.stop.left >= kLeaveTime;
  if (has_left || is_late) {
    parts.stop.is_stopped = true;
    parts.Emit(StewardStopped{});
  }
}

}  // namespace cicadaloft
