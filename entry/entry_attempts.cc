#include "entry_attempts.h"

#include "cicadaloft/entry/reasons.h"
#include "entry_dispatch.h"
#include "entry_requests.h"

namespace cicadaloft {
namespace {

OpenRequest* FindRunning(EntryCore& core,
                         const RequestId& id,
                         AttemptNumber attempt) {
  const auto found = core.requests.find(id);
  const bool is_running = found != core.requests.end() &&
                          found->second.phase == RequestPhase::kRunning &&
                          found->second.attempt == attempt;
  return is_running ? &found->second : nullptr;
}

}  // namespace

void OnStarted(EntryCore& core, const AttemptStarted& event) {
  if (OpenRequest* request = FindRunning(core, event.request, event.attempt)) {
    request->running->has_started = true;
  }
}

void OnEnded(EntryCore& core, const AttemptEnded& event) {
  OpenRequest* request = FindRunning(core, event.request, event.attempt);
  if (request == nullptr) {
    return;
  }
  TargetView& target = *request->running->target;
  target.OnEnd();
  target.FreeRoom();
  if (event.outcome == AttemptOutcome::kCompleted) {
    target.OnGoodAnswer(core.now - request->running->begun);
    Forget(core, *request);
  } else {
    target.OnFailure(core.now);
    RefuseOpen(core, *request,
               Fail(ErrorKind::kTargetFailed, "the target failed"),
               RunState::kUnknown);
  }
  PumpTarget(core, target);
}

}  // namespace cicadaloft
