#include "entry_requests.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "cicadaloft/entry/reasons.h"
#include "entry_dispatch.h"
#include "entry_tokens.h"

namespace cicadaloft {
namespace {

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
  return request;
}

Error DeadlineError(const OpenRequest& request) {
  switch (request.phase) {
    case RequestPhase::kShortOfTokens:
      return Fail(ErrorKind::kRateLimited, "the customer's rate is used up");
    case RequestPhase::kClaiming:
      return Fail(ErrorKind::kClaimsUnavailable,
                  "the right to run once has not been given in time");
    default:
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
  OpenRequest& request = Open(core, arrived, ValueOf(permission));
  TakeToken(core, request);
}

void OnTokenTaken(EntryCore& core, OpenRequest& request) {
  Enqueue(core, request);
  Pump(core, *request.path);
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
    request.path->queue.Remove(request.IsBatch(),
                               request.customer.value_or(CustomerId()),
                               request.number);
  }
}

void Forget(EntryCore& core, OpenRequest& request) {
  const RequestId id = request.arrived.request;
  core.requests.erase(id);
}

void RefuseOpen(EntryCore& core,
                OpenRequest& request,
                const Error& error,
                RunState run_state,
                std::optional<Duration> retry_after) {
  StopWaiting(core, request);
  RefuseAtOnce(core, request.arrived.request, error, run_state, retry_after);
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
    Forget(core, request);
    return;
  }
  const bool may_cut =
      request.is_idempotent && request.running->canceled == CancelCause::kNone;
  if (may_cut) {
    core.Log(reason::kCallerGone, event.request, "state=running");
    request.running->canceled = CancelCause::kCallerGone;
    core.Emit(
        CancelAttempt{.request = event.request, .attempt = request.attempt});
  }
}

void ExpireWaiting(EntryCore& core) {
  while (!core.deadlines.empty() &&
         core.deadlines.begin()->first.first <= core.now) {
    OpenRequest& request = *core.deadlines.begin()->second;
    RefuseOpen(core, request, DeadlineError(request));
  }
}

}  // namespace cicadaloft
