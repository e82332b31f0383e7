#include "entry_requests.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/entry/reasons.h"
#include "entry_claims.h"
#include "entry_demand.h"
#include "entry_dispatch.h"
#include "entry_targets.h"
#include "entry_tokens.h"

namespace cicadaloft {
namespace {

/// The pace of a path is known after so many requests.
constexpr std::uint32_t kLeastPaceSamples = 8;

/// A request is refused at once only if it would be late at this part of the
/// expected wait, since paths speed up as targets warm up.
constexpr double kSureOfLateness = 0.6;

/// What a caller hears whose request has waited in vain.
constexpr Duration kRetryAfterDeadline = std::chrono::seconds(1);

/// Why nothing new is taken at all.
std::optional<Error> Closed(const EntryCore& core) {
  if (core.is_stopping) {
    return Fail(ErrorKind::kStopping, "this host stops");
  }
  if (core.ledger.config().versions().empty()) {
    return Fail(ErrorKind::kNotConfigured, "no configuration has come yet");
  }
  if (IsOwnDataCentreOut(core)) {
    return Fail(ErrorKind::kDataCentreOut, "the data centre is out of service");
  }
  if (core.waiting >= core.settings.max_waiting) {
    return Fail(ErrorKind::kQueueFull, "too many requests wait");
  }
  return std::nullopt;
}

void RefuseAtOnce(EntryCore& core,
                  const RequestId& request,
                  const Error& error,
                  RunState run_state,
                  std::optional<Duration> retry_after) {
  const std::string_view token = AnswerFor(error.kind).token;
  core.Log(std::string(reason::kRefusePrefix) + std::string(token), request,
           error.message);
  core.Emit(Refuse{.request = request,
                   .error = error,
                   .run_state = run_state,
                   .retry_after = retry_after});
}

Path& PathOf(EntryCore& core, const Call& call) {
  const PathKey key = PathKeyOf(call);
  const auto found = core.paths.find(key);
  if (found != core.paths.end()) {
    return found->second;
  }
  Path& path = core.paths[key];
  path.key = key;
  path.number = core.paths.size();
  return path;
}

OpenRequest& Open(EntryCore& core,
                  const RequestArrived& arrived,
                  const Permission& permission) {
  const auto [place, is_new] = core.requests.try_emplace(
      arrived.request, OpenRequest{.number = core.next_number++,
                                   .arrived = arrived,
                                   .customer = permission.customer,
                                   .key = permission.key,
                                   .path = &PathOf(core, arrived.call),
                                   .is_idempotent = permission.is_idempotent,
                                   .arrived_at = core.now,
                                   .deadline = core.now + arrived.timeout});
  OpenRequest& request = place->second;
  ++core.waiting;
  core.deadlines.emplace(std::pair(request.deadline, request.number), &request);
  if (request.key.has_value()) {
    core.requests_of_key[*request.key].insert(arrived.request);
  }
  return request;
}

/// @return how long the request will wait at least, by the pace at which its
/// path is served; none while that is not known.
std::optional<Duration> ExpectedWait(const Path& path,
                                     const OpenRequest& request) {
  if (path.pace.samples < kLeastPaceSamples) {
    return std::nullopt;
  }
  const auto& lane = path.queue.lane(request.IsBatch());
  const std::size_t own = lane.SizeOf(request.customer.value_or(CustomerId()));
  const std::size_t ahead = std::min(lane.size(), own * lane.CustomerCount());
  return std::chrono::duration_cast<Duration>(
      path.pace.interval * (static_cast<double>(ahead) * kSureOfLateness));
}

Error DeadlineError(const EntryCore& core, const OpenRequest& request) {
  const std::optional<TimePoint>& full = request.path->demand.no_capacity_until;
  switch (request.phase) {
    case RequestPhase::kShortOfTokens:
      return Fail(ErrorKind::kRateLimited, "the customer's rate is used up");
    case RequestPhase::kClaiming:
      return Fail(ErrorKind::kClaimsUnavailable,
                  "the right to run once has not been given in time");
    default:
      if (full.has_value() && core.now < *full) {
        return Fail(ErrorKind::kNoCapacity, "the model can't be loaded now");
      }
      return Fail(ErrorKind::kDeadlineExceeded, "no target had room in time");
  }
}

}  // namespace

void OnArrived(EntryCore& core, const RequestArrived& arrived) {
  if (core.requests.contains(arrived.request)) {
    return;  // Its first arrival will be answered.
  }
  if (const std::optional<Error> closed = Closed(core)) {
    RefuseAtOnce(core, arrived.request, *closed, RunState::kNotRun,
                 std::nullopt);
    return;
  }
  const Result<Permission> permission = Authorize(core, arrived);
  if (!IsOk(permission)) {
    RefuseAtOnce(core, arrived.request, ErrorOf(permission), RunState::kNotRun,
                 std::nullopt);
    return;
  }
  if (core.suspects.IsBarred(arrived.fingerprint, core.now)) {
    RefuseAtOnce(core, arrived.request,
                 Fail(ErrorKind::kPoisonRequest,
                      "targets have died while running this content"),
                 RunState::kNotRun, std::nullopt);
    return;
  }
  OpenRequest& request = Open(core, arrived, ValueOf(permission));
  TakeToken(core, request);
}

void OnTokenTaken(EntryCore& core, OpenRequest& request) {
  if (NeedsClaim(request)) {
    StartClaim(core, request);
    return;
  }
  EnqueueNew(core, request);
}

void EnqueueNew(EntryCore& core, OpenRequest& request) {
  const RequestId id = request.arrived.request;
  Path& path = *request.path;
  Enqueue(core, request);
  Pump(core, path);
  NoteArrival(core, path);
  const auto found = core.requests.find(id);
  const bool still_waits = found != core.requests.end() &&
                           found->second.phase == RequestPhase::kWaiting;
  if (!still_waits) {
    return;
  }
  const bool is_cold = path.local.empty() && path.regional.empty();
  core.Log(is_cold ? reason::kWaitReplica : reason::kWaitRoom, id,
           "waiting=" + std::to_string(path.WaitingCount()));
  const std::optional<Duration> wait =
      is_cold ? std::nullopt : ExpectedWait(path, found->second);
  if (wait.has_value() && core.now + *wait > found->second.deadline) {
    RefuseOpen(core, found->second,
               Fail(ErrorKind::kDeadlineExceeded,
                    "too much waits before it for the same targets"),
               RunState::kNotRun, wait);
  }
}

void Enqueue(EntryCore& core, OpenRequest& request) {
  const auto* customer =
      request.customer.has_value()
          ? core.ledger.config().Find<Customer>(request.customer->value())
          : nullptr;
  const auto* model = std::get_if<ModelCall>(&request.arrived.call);
  request.phase = RequestPhase::kWaiting;
  request.path->queue.Push(
      request.IsBatch(),
      WaitingShare{
          .customer = request.customer.value_or(CustomerId()),
          .weight = customer == nullptr ? 1.0 : customer->weight,
          .cost = model == nullptr ? 1.0 : std::max(1.0, model->cost_tokens)},
      request.number, &request);
  core.waiting_paths.emplace(request.path->number, request.path);
}

void StopWaiting(EntryCore& core, OpenRequest& request) {
  if (request.phase == RequestPhase::kRunning) {
    return;
  }
  --core.waiting;
  core.deadlines.erase(std::pair(request.deadline, request.number));
  if (request.phase == RequestPhase::kShortOfTokens) {
    core.rates[*request.customer].short_of_tokens.erase(request.number);
  }

  if (request.phase == RequestPhase::kWaiting) {
    request.path->held.erase(request.number);
    NoteDemand(core, *request.path);
    request.path->queue.Remove(request.IsBatch(),
                               request.customer.value_or(CustomerId()),
                               request.number);
  }
}

void ReopenWaiting(EntryCore& core, OpenRequest& request) {
  request.phase = RequestPhase::kBetween;
  ++core.waiting;
  core.deadlines.emplace(std::pair(request.deadline, request.number), &request);
}

void Forget(EntryCore& core, OpenRequest& request) {
  const RequestId id = request.arrived.request;
  if (request.key.has_value()) {
    const auto of_key = core.requests_of_key.find(*request.key);
    of_key->second.erase(id);
    if (of_key->second.empty()) {
      core.requests_of_key.erase(of_key);
    }
  }
  core.requests.erase(id);
}

void RefuseOpen(EntryCore& core,
                OpenRequest& request,
                const Error& error,
                RunState run_state,
                std::optional<Duration> retry_after) {
  StopWaiting(core, request);
  const bool may_have_run = request.attempts_run > 0;
  EndClaim(core, request,
           may_have_run ? ClaimOutcome::kUnknown : ClaimOutcome::kNotRun, 0);
  RefuseAtOnce(core, request.arrived.request, error,
               may_have_run && run_state == RunState::kNotRun
                   ? RunState::kUnknown
                   : run_state,
               retry_after);
  Forget(core, request);
}

void OnCallerGone(EntryCore& core, const CallerGone& event) {
  const auto found = core.requests.find(event.request);
  if (found == core.requests.end()) {
    return;
  }
  OpenRequest& request = found->second;
  if (request.phase != RequestPhase::kRunning) {
    core.Log(reason::kCallerGone, event.request, "state=waiting");
    StopWaiting(core, request);
    EndClaim(core, request,
             request.attempts_run > 0 ? ClaimOutcome::kUnknown
                                      : ClaimOutcome::kNotRun,
             0);
    Forget(core, request);
    return;
  }
  const bool is_cut = request.running->canceled != CancelCause::kNone;
  core.Log(reason::kCallerGone, event.request, "state=running");
  request.running->canceled = CancelCause::kCallerGone;
  // What runs and may not be repeated runs to its end, so that it is known.
  if (request.is_idempotent && !is_cut) {
    core.Emit(
        CancelAttempt{.request = event.request, .attempt = request.attempt});
  }
}

void RecheckKey(EntryCore& core, const KeyId& key) {
  const auto found = core.requests_of_key.find(key);
  if (found == core.requests_of_key.end()) {
    return;
  }
  const std::set<RequestId> ids = found->second;
  std::ranges::for_each(ids, [&](const RequestId& id) {
    OpenRequest& request = core.requests.at(id);
    const Result<Permission> permission = Authorize(core, request.arrived);
    if (IsOk(permission)) {
      return;
    }
    if (request.phase != RequestPhase::kRunning) {
      RefuseOpen(core, request, ErrorOf(permission));
      return;
    }
    const bool may_cut = request.is_idempotent &&
                         request.running->canceled == CancelCause::kNone;
    if (may_cut) {
      core.Log(reason::kCancelKey, id, "key=" + key.value());
      request.running->canceled = CancelCause::kKeyWithdrawn;
      core.Emit(CancelAttempt{.request = id, .attempt = request.attempt});
    }
  });
}

void RecheckAllKeys(EntryCore& core) {
  std::vector<KeyId> keys;
  std::ranges::copy(core.requests_of_key | std::views::keys,
                    std::back_inserter(keys));
  std::ranges::for_each(keys, [&](const KeyId& key) { RecheckKey(core, key); });
}

void RefuseUnserved(EntryCore& core) {
  if (!IsOwnDataCentreOut(core)) {
    return;
  }
  std::vector<OpenRequest*> unserved;
  for (const auto& [deadline, request] : core.deadlines) {
    RefreshTargets(core, *request->path);
    const bool may_run = request->phase != RequestPhase::kShortOfTokens &&
                         !request->path->regional.empty();
    if (!may_run) {
      unserved.push_back(request);
    }
  }
  std::ranges::for_each(unserved, [&](OpenRequest* request) {
    RefuseOpen(
        core, *request,
        Fail(ErrorKind::kDataCentreOut, "the data centre is out of service"));
  });
}

void ExpireWaiting(EntryCore& core) {
  while (!core.deadlines.empty() &&
         core.deadlines.begin()->first.first <= core.now) {
    OpenRequest& request = *core.deadlines.begin()->second;
    RefuseOpen(core, request, DeadlineError(core, request), RunState::kNotRun,
               kRetryAfterDeadline);
  }
}

}  // namespace cicadaloft
