#include "entry_dispatch.h"

#include <algorithm>
#include <ranges>
#include <string>

#include "cicadaloft/entry/reasons.h"
#include "cicadaloft/routing/target_choice.h"
#include "entry_requests.h"
#include "entry_targets.h"

namespace cicadaloft {
namespace {

bool CanTake(const EntryCore& core, const TargetView& target) {
  return target.HasOwnRoom() && !target.ejection().IsEjected(core.now);
}

bool HasRoom(const EntryCore& core, const std::vector<TargetView*>& targets) {
  return std::ranges::any_of(
      targets, [&](const TargetView* t) { return CanTake(core, *t); });
}

void Send(EntryCore& core, OpenRequest& request, TargetView& target) {
  StopWaiting(core, request);
  request.phase = RequestPhase::kRunning;
  request.attempt = request.attempt.Next();
  request.running.emplace(RunningAttempt{
      .target = &target, .instance = target.instance(), .begun = core.now});
  target.OnDispatch();
  target.UseRoom();
  const auto* model = std::get_if<ModelCall>(&request.arrived.call);
  core.Emit(Dispatch{
      .request = request.arrived.request,
      .attempt = request.attempt,
      .target = target.id(),
      .address = target.item()->address,
      .model = model == nullptr ? std::nullopt : std::optional(model->model),
      .start_within = request.deadline - core.now});
}

/// Checks a request again whose turn has come.
/// @return false if it has been refused.
bool CheckAgain(EntryCore& core, OpenRequest& request) {
  const Result<Permission> permission = Authorize(core, request.arrived);
  if (!IsOk(permission)) {
    RefuseOpen(core, request, ErrorOf(permission));
    return false;
  }
  return true;
}

/// @return false if there is no room or nothing waits.
bool SendNext(EntryCore& core, Path& path) {
  const bool is_local = HasRoom(core, path.local);
  if (!is_local && !HasRoom(core, path.regional)) {
    return false;
  }
  const std::optional<OpenRequest*> next = path.queue.Pop();
  if (!next.has_value()) {
    return false;
  }
  OpenRequest& request = **next;
  if (!CheckAgain(core, request)) {
    return true;
  }
  TargetView* target = ChooseTarget(
      is_local ? path.local : path.regional, request.arrived.request.value(),
      nullptr, [&](const TargetView& t) { return CanTake(core, t); });
  core.Log(is_local ? reason::kRouteLocal : reason::kRouteRegion,
           request.arrived.request, "target=" + target->id().value());
  Send(core, request, *target);
  return true;
}

void Register(EntryCore& core, Path& path) {
  if (path.is_registered) {
    return;
  }
  path.is_registered = true;
  const auto add = [&](const TargetView* target) {
    core.waiters[target].paths.emplace(path.number, &path);
  };
  std::ranges::for_each(path.local, add);
  std::ranges::for_each(path.regional, add);
}

/// Keeps the books of who waits after a path's turn.
void Settle(EntryCore& core, Path& path) {
  if (path.queue.size() > 0) {
    Register(core, path);
    return;
  }
  Unregister(core, path);
  core.waiting_paths.erase(path.number);
}

}  // namespace

bool IsOwnDataCentreOut(const EntryCore& core) {
  const auto* own =
      core.ledger.config().Find<DataCentre>(core.settings.data_centre.value());
  return own != nullptr && own->state == DataCentreState::kOut;
}

void Unregister(EntryCore& core, Path& path) {
  if (!path.is_registered) {
    return;
  }
  path.is_registered = false;
  const auto remove = [&](const TargetView* target) {
    core.waiters[target].paths.erase(path.number);
  };
  std::ranges::for_each(path.local, remove);
  std::ranges::for_each(path.regional, remove);
}

void Pump(EntryCore& core, Path& path) {
  RefreshTargets(core, path);
  while (path.queue.size() > 0 && SendNext(core, path)) {
  }
  Settle(core, path);
}

void PumpTarget(EntryCore& core, TargetView& target) {
  TargetWaiters& waiters = core.waiters[&target];
  while (!waiters.paths.empty() && CanTake(core, target)) {
    auto next = waiters.paths.upper_bound(waiters.last_served);
    if (next == waiters.paths.end()) {
      next = waiters.paths.begin();
    }
    Path& path = *next->second;
    waiters.last_served = path.number;
    RefreshTargets(core, path);
    if (!SendNext(core, path)) {
      return;
    }
    Settle(core, path);
  }
}

void PumpWaiting(EntryCore& core) {
  const std::map<std::uint64_t, Path*> paths = core.waiting_paths;
  std::ranges::for_each(paths | std::views::values,
                        [&](Path* path) { Pump(core, *path); });
}

}  // namespace cicadaloft
