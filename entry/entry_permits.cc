#include "entry_permits.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/entry/reasons.h"
#include "cicadaloft/routing/target_choice.h"
#include "entry_dispatch.h"

namespace cicadaloft {
namespace {

/// Open asks for room on one target.
constexpr std::size_t kMostOpenAsks = 4;

/// A borrower ends its request by this part of the permit's time before the
/// lender takes the room back.
constexpr int kMarginPart = 20;

/// A held permit with less time left than this is of no use.
constexpr Duration kLeastUse = std::chrono::seconds(5);

/// Says that the lender has no room.
constexpr std::uint64_t kNoPermit = 0;

bool IsUsable(const EntryCore& core, const HeldPermit& permit) {
  return permit.ends - core.now >= kLeastUse;
}

void Return(EntryCore& core, const HeldPermit& permit) {
  core.Send(permit.lender, ReturnPermit{.borrower = core.settings.host,
                                        .target = permit.target,
                                        .permit = permit.permit});
}

/// The hosts with the first parts of the target's cap, beginning at a place of
/// this host's own.
void FindLenders(EntryCore& core,
                 const TargetView& target,
                 TargetPermits& permits) {
  if (permits.lenders_version == core.routing_version) {
    return;
  }
  permits.lenders_version = core.routing_version;
  permits.lenders.clear();
  std::vector<HostId> hosts;
  for (const auto& [host, info] : core.ledger.members().members()) {
    if (info.data_centre == target.item()->data_centre) {
      hosts.push_back(host);
    }
  }
  const std::vector<HostId> ranked = RankHosts(target.id(), hosts);
  std::ranges::copy_if(
      ranked | std::views::take(target.item()->max_concurrency),
      std::back_inserter(permits.lenders),
      [&](const HostId& host) { return host != core.settings.host; });
  if (permits.lenders.empty()) {
    return;
  }
  const auto start = static_cast<std::ptrdiff_t>(
      StableHash(core.settings.host.value()) % permits.lenders.size());
  std::ranges::rotate(permits.lenders, permits.lenders.begin() + start);
}

bool HasWaiters(const EntryCore& core, const TargetView& target) {
  const auto found = core.waiters.find(&target);
  return found != core.waiters.end() && !found->second.paths.empty();
}

std::optional<HeldPermit> TakeHeld(EntryCore& core, const TargetId& target) {
  const auto found = core.permits.find(target);
  if (found == core.permits.end()) {
    return std::nullopt;
  }
  auto& held = found->second.held;
  const auto usable = std::ranges::find_if(
      held, [&](const auto& entry) { return IsUsable(core, entry.second); });
  if (usable == held.end()) {
    return std::nullopt;
  }
  std::optional<HeldPermit> permit(usable->second);
  held.erase(usable);
  return permit;
}

}  // namespace

bool HasHeldPermit(const EntryCore& core, const TargetView& target) {
  const auto found = core.permits.find(target.id());
  return found != core.permits.end() &&
         std::ranges::any_of(
             found->second.held | std::views::values,
             [&](const HeldPermit& p) { return IsUsable(core, p); });
}

void TakeRoom(EntryCore& core, OpenRequest& request) {
  TargetView& target = *request.running->target;
  if (target.HasOwnRoom()) {
    target.UseRoom();
    return;
  }
  const std::optional<HeldPermit> permit = TakeHeld(core, target.id());
  if (!permit.has_value()) {
    return;
  }
  request.running->permit.emplace(*permit);
  core.permit_ends.emplace(permit->ends, request.arrived.request);
  core.Log(reason::kRoutePermit, request.arrived.request,
           "lender=" + permit->lender.value());
}

void FreeRoom(EntryCore& core, OpenRequest& request) {
  TargetView& target = *request.running->target;
  const std::optional<HeldPermit>& permit = request.running->permit;
  if (!permit.has_value()) {
    target.FreeRoom();
    return;
  }
  core.permit_ends.erase({permit->ends, request.arrived.request});
  core.permits[target.id()].held.emplace(permit->permit, *permit);
}

void ReturnUnused(EntryCore& core, const TargetId& target) {
  const auto found = core.permits.find(target);
  if (found == core.permits.end()) {
    return;
  }
  std::ranges::for_each(
      found->second.held | std::views::values,
      [&](const HeldPermit& permit) { Return(core, permit); });
  found->second.held.clear();
}

void AskForPermits(EntryCore& core, Path& path) {
  const bool is_cold = path.local.empty() && path.regional.empty();
  if (is_cold || !core.is_link_up) {
    return;
  }
  const auto may_serve = [&](const TargetView& t) {
    return !t.ejection().IsEjected(core.now) && !t.HasOwnRoom();
  };
  const std::string seed = core.settings.host.value();
  TargetView* target = ChooseTarget(path.local, seed, nullptr, may_serve);
  if (target == nullptr) {
    target = ChooseTarget(path.regional, seed, nullptr, may_serve);
  }
  if (target == nullptr) {
    return;
  }
  TargetPermits& permits = core.permits[target->id()];
  FindLenders(core, *target, permits);
  const std::size_t wanted = std::min(path.WaitingCount(), kMostOpenAsks);
  while (permits.asks.OpenAsks(core.now) < wanted) {
    const std::optional<HostId> lender =
        permits.asks.PickLender(permits.lenders, core.now);
    if (!lender.has_value()) {
      return;
    }
    core.Send(*lender, BorrowPermit{.borrower = core.settings.host,
                                    .target = target->id()});
  }
}

void OnBorrowPermit(EntryCore& core, const BorrowPermit& ask) {
  const auto found = core.targets.find(ask.target);
  const bool has_room =
      found != core.targets.end() && found->second.item() != nullptr &&
      found->second.HasOwnRoom() && !HasWaiters(core, found->second);
  std::uint64_t number = kNoPermit;
  if (has_room) {
    found->second.UseRoom();
    number = core.lent_permits.Add(
        LentPermit{.borrower = ask.borrower,
                   .target = ask.target,
                   .ends = core.now + core.settings.permit_term},
        core.now);
  }
  core.Send(ask.borrower,
            LendPermit{
                .lender = core.settings.host,
                .target = ask.target,
                .permit = number,
                .duration = has_room ? core.settings.permit_term : Duration{}});
}

void OnLendPermit(EntryCore& core, const LendPermit& loan) {
  const auto view = core.targets.find(loan.target);
  if (view == core.targets.end()) {
    return;
  }
  TargetPermits& permits = core.permits[loan.target];
  const bool has_lent = loan.permit != kNoPermit;
  const std::optional<TimePoint> asked_at =
      permits.asks.OnAnswer(loan.lender, has_lent, core.now);
  if (!has_lent) {
    return;
  }
  const HeldPermit permit{.lender = loan.lender,
                          .target = loan.target,
                          .permit = loan.permit,
                          .ends = asked_at.value_or(core.now) + loan.duration -
                                  loan.duration / kMarginPart};
  permits.held.emplace(loan.permit, permit);
  if (asked_at.has_value()) {
    PumpTarget(core, view->second);
  }
  ReturnUnused(core, loan.target);
}

void OnReturnPermit(EntryCore& core, const ReturnPermit& returned) {
  const std::optional<LentPermit> lent =
      core.lent_permits.TakeBack(returned.permit, returned.borrower);
  if (!lent.has_value()) {
    return;
  }
  TargetView& target = core.targets.at(lent->target);
  target.FreeRoom();
  PumpTarget(core, target);
}

void ExpirePermits(EntryCore& core) {
  while (!core.permit_ends.empty() &&
         core.permit_ends.begin()->first <= core.now) {
    const RequestId id = core.permit_ends.begin()->second;
    core.permit_ends.erase(core.permit_ends.begin());
    OpenRequest& request = core.requests.at(id);
    if (request.running->canceled == CancelCause::kNone) {
      request.running->canceled = CancelCause::kPermitEnds;
      core.Log(reason::kCancelPermit, id, "");
      core.Emit(CancelAttempt{.request = id, .attempt = request.attempt});
    }
  }
  std::ranges::for_each(core.lent_permits.TakeEnded(core.now),
                        [&](const LentPermit& lent) {
                          TargetView& target = core.targets.at(lent.target);
                          target.FreeRoom();
                          PumpTarget(core, target);
                        });
}

}  // namespace cicadaloft
