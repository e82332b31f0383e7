#include "entry_dispatch.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>
#include <string>
#include <utility>

#include "cicadaloft/entry/reasons.h"
#include "cicadaloft/routing/target_choice.h"
#include "entry_permits.h"
#include "entry_requests.h"
#include "entry_targets.h"

namespace cicadaloft {
namespace {

/// Suspects looked at in one turn.
constexpr int kMostHeldTried = 8;

constexpr double kNewestPaceWeight = 0.1;

/// A retry needs at least this much of the deadline to be left.
constexpr Duration kLeastLeftForRetry = std::chrono::seconds(4);

struct Choice {
  TargetView* target = nullptr;
  std::string_view reason;
};

TargetView* PrefixTargetOf(const EntryCore& core, const OpenRequest& request) {
  const auto* model = std::get_if<ModelCall>(&request.arrived.call);
  if (model == nullptr || model->prefix_hash == 0) {
    return nullptr;
  }
  return core.prefixes.Find(
      PromptPrefix{.model = model->model, .hash = model->prefix_hash});
}

/// Own data centre first; others of the region when it has no room.
/// @param suits what else a target must fulfil.
template <typename Suits>
Choice ChooseAmong(EntryCore& core,
                   const Path& path,
                   const OpenRequest& request,
                   Suits suits) {
  const auto allowed = [&](const TargetView& target) {
    return CanTake(core, target) && suits(target);
  };
  TargetView* prefix = PrefixTargetOf(core, request);
  const std::string& id = request.arrived.request.value();
  if (TargetView* local = ChooseTarget(path.local, id, prefix, allowed)) {
    return {local,
            local == prefix ? reason::kRoutePrefixHit : reason::kRouteLocal};
  }
  if (TargetView* other = ChooseTarget(path.regional, id, prefix, allowed)) {
    return {other, reason::kRouteRegion};
  }
  TargetView* last = LastResortOf(core, path);
  if (last != nullptr && suits(*last)) {
    return {last, reason::kRouteLastResort};
  }
  return {};
}

bool HasRoom(EntryCore& core, const Path& path) {
  const auto can_take = [&](const TargetView* t) { return CanTake(core, *t); };
  return std::ranges::any_of(path.local, can_take) ||
         std::ranges::any_of(path.regional, can_take) ||
         LastResortOf(core, path) != nullptr;
}

/// A repeat goes to another target than the one that failed it, if it can.
template <typename Suits>
Choice Choose(EntryCore& core,
              const Path& path,
              const OpenRequest& request,
              Suits suits) {
  if (request.last_target == nullptr) {
    return ChooseAmong(core, path, request, suits);
  }
  const Choice other =
      ChooseAmong(core, path, request, [&](const TargetView& target) {
        return &target != request.last_target && suits(target);
      });
  return other.target != nullptr ? other
                                 : ChooseAmong(core, path, request, suits);
}

Duration StartWithin(const EntryCore& core, const OpenRequest& request) {
  const Duration left = request.deadline - core.now;
  const Path& path = *request.path;
  const bool has_second_choice = path.local.size() + path.regional.size() > 1;
  const bool leaves_a_retry = request.is_idempotent && has_second_choice &&
                              request.attempts_run == 0 &&
                              left >= kLeastLeftForRetry;
  return leaves_a_retry ? left / 2 : left;
}

void RememberPrefix(EntryCore& core,
                    const OpenRequest& request,
                    TargetView& target) {
  const auto* model = std::get_if<ModelCall>(&request.arrived.call);
  if (model != nullptr && model->prefix_hash != 0) {
    core.prefixes.Remember(
        PromptPrefix{.model = model->model, .hash = model->prefix_hash},
        &target);
  }
}

void NotePace(const EntryCore& core, Path& path) {
  PathPace& pace = path.pace;
  if (pace.last_sent.has_value()) {
    const std::chrono::duration<double> passed = core.now - *pace.last_sent;
    pace.interval += (passed - pace.interval) * kNewestPaceWeight;
    ++pace.samples;
  }
  if (path.WaitingCount() > 0) {
    pace.last_sent = core.now;
  } else {
    pace.last_sent.reset();
  }
}

void Send(EntryCore& core, OpenRequest& request, const Choice& choice) {
  TargetView& target = *choice.target;
  StopWaiting(core, request);
  NotePace(core, *request.path);
  request.phase = RequestPhase::kRunning;
  request.attempt = request.attempt.Next();
  request.running.emplace(RunningAttempt{
      .target = &target, .instance = target.instance(), .begun = core.now});
  TakeRoom(core, request);
  target.OnDispatch();
  ++request.path->demand.running;
  const std::uint64_t fingerprint = request.arrived.fingerprint;
  if (core.suspects.IsSuspect(fingerprint, core.now)) {
    core.suspects.OnRun(fingerprint);
    target.AddSuspect();
    request.running->is_suspect = true;
  }
  RememberPrefix(core, request, target);
  core.Log(choice.reason, request.arrived.request,
           "target=" + target.id().value() +
               " attempt=" + std::to_string(request.attempt.value()));
  const auto* model = std::get_if<ModelCall>(&request.arrived.call);
  core.Emit(Dispatch{
      .request = request.arrived.request,
      .attempt = request.attempt,
      .target = target.id(),
      .address = target.item()->address,
      .model = model == nullptr ? std::nullopt : std::optional(model->model),
      .start_within = StartWithin(core, request)});
}

/// Checks a request again whose turn has come.
/// @return false if it has been refused.
bool CheckAgain(EntryCore& core, OpenRequest& request) {
  const Result<Permission> permission = Authorize(core, request.arrived);
  if (!IsOk(permission)) {
    RefuseOpen(core, request, ErrorOf(permission));
    return false;
  }
  if (core.suspects.IsBarred(request.arrived.fingerprint, core.now)) {
    RefuseOpen(core, request,
               Fail(ErrorKind::kPoisonRequest,
                    "targets have died while running this content"));
    return false;
  }
  return true;
}

/// Suspects run one at a time, and each on a target without another suspect,
/// so that innocent ones don't die with the guilty one again.
Choice ChooseForSuspect(EntryCore& core,
                        const Path& path,
                        const OpenRequest& request) {
  if (core.suspects.IsRunning(request.arrived.fingerprint)) {
    return {};
  }
  return Choose(core, path, request, [&](const TargetView& target) {
    return target.suspects() == 0;
  });
}

bool SendHeld(EntryCore& core, Path& path) {
  int tried = 0;
  for (const auto& [number, request] : path.held) {
    if (++tried > kMostHeldTried) {
      return false;
    }
    if (core.suspects.IsBarred(request->arrived.fingerprint, core.now)) {
      CheckAgain(core, *request);
      return true;
    }
    const Choice choice = ChooseForSuspect(core, path, *request);
    if (choice.target == nullptr) {
      continue;
    }
    if (CheckAgain(core, *request)) {
      Send(core, *request, choice);
    }
    return true;
  }
  return false;
}

/// @return false if there is no room or nothing can go.
bool SendNext(EntryCore& core, Path& path) {
  if (!HasRoom(core, path)) {
    return false;
  }
  if (!path.held.empty() && SendHeld(core, path)) {
    return true;
  }
  const std::optional<OpenRequest*> next = path.queue.Pop();
  if (!next.has_value()) {
    return false;
  }
  OpenRequest& request = **next;
  if (!CheckAgain(core, request)) {
    return true;
  }
  if (core.suspects.IsSuspect(request.arrived.fingerprint, core.now)) {
    path.held.emplace(request.number, &request);
    SendHeld(core, path);
    return true;
  }
  Send(core, request,
       Choose(core, path, request, [](const TargetView&) { return true; }));
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
  if (path.WaitingCount() > 0) {
    Register(core, path);
    AskForPermits(core, path);
    return;
  }
  Unregister(core, path);
  core.waiting_paths.erase(path.number);
}

/// Interactive work of any path goes before batch work of any path, but for
/// one turn in FairQueue's kBatchTurn.
Path& NextWaiter(TargetWaiters& waiters) {
  ++waiters.turn;
  const bool is_batch_turn =
      waiters.turn % FairQueue<OpenRequest*>::kBatchTurn == 0;
  const auto is_wanted = [&](const auto& entry) {
    const FairQueue<OpenRequest*>& queue = entry.second->queue;
    return !entry.second->held.empty() || queue.lane(is_batch_turn).size() > 0;
  };
  const auto after = waiters.paths.upper_bound(waiters.last_served);
  auto next = std::find_if(after, waiters.paths.end(), is_wanted);
  if (next == waiters.paths.end()) {
    next = std::find_if(waiters.paths.begin(), after, is_wanted);
    if (next == after) {
      next = after == waiters.paths.end() ? waiters.paths.begin() : after;
    }
  }
  waiters.last_served = next->first;
  return *next->second;
}

}  // namespace

bool IsOwnDataCentreOut(const EntryCore& core) {
  const auto* own =
      core.ledger.config().Find<DataCentre>(core.settings.data_centre.value());
  return own != nullptr && own->state == DataCentreState::kOut;
}

bool CanTake(EntryCore& core, const TargetView& target) {
  return !target.ejection().IsEjected(core.now) &&
         (target.HasOwnRoom() || HasHeldPermit(core, target));
}

TargetView* LastResortOf(EntryCore& core, const Path& path) {
  const auto is_ejected = [&](const TargetView* target) {
    return target->ejection().IsEjected(core.now);
  };
  const bool has_other = !std::ranges::all_of(path.local, is_ejected) ||
                         !std::ranges::all_of(path.regional, is_ejected);
  const std::vector<TargetView*>& targets =
      path.local.empty() ? path.regional : path.local;
  if (has_other || targets.empty()) {
    return nullptr;
  }
  TargetView* first = *std::ranges::min_element(
      targets, {}, [](const TargetView* t) { return t->ejection().until(); });
  const bool may_try = first->ejection().IsLastResort(core.now) &&
                       first->in_flight() == 0 &&
                       (first->HasOwnRoom() || HasHeldPermit(core, *first));
  return may_try ? first : nullptr;
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
  while (path.WaitingCount() > 0 && SendNext(core, path)) {
  }
  Settle(core, path);
}

void PumpTarget(EntryCore& core, TargetView& target) {
  TargetWaiters& waiters = core.waiters[&target];
  std::size_t idle_turns = 0;
  while (idle_turns < waiters.paths.size() && CanTake(core, target)) {
    Path& path = NextWaiter(waiters);
    RefreshTargets(core, path);
    idle_turns = SendNext(core, path) ? 0 : idle_turns + 1;
    Settle(core, path);
  }
}

void PumpModel(EntryCore& core, const ModelId& model) {
  const auto found = core.paths.find(PathKey(model));
  if (found != core.paths.end() && found->second.WaitingCount() > 0) {
    Pump(core, found->second);
  }
}

void PumpWaiting(EntryCore& core) {
  // Pumping changes the map. Cold paths have nothing to be pumped to; those
  // whose requests have all been refused leave the map.
  std::vector<Path*> paths;
  std::ranges::copy_if(core.waiting_paths | std::views::values,
                       std::back_inserter(paths), [&](const Path* path) {
                         return path->WaitingCount() == 0 ||
                                path->version != core.routing_version ||
                                !path->local.empty() || !path->regional.empty();
                       });
  std::ranges::for_each(paths, [&](Path* path) { Pump(core, *path); });
}

}  // namespace cicadaloft
