#include "cicadaloft/entry/entry_node.h"

#include <utility>

#include "cicadaloft/core/result.h"
#include "entry_attempts.h"
#include "entry_claims.h"
#include "entry_core.h"
#include "entry_demand.h"
#include "entry_dispatch.h"
#include "entry_links.h"
#include "entry_permits.h"
#include "entry_requests.h"
#include "entry_tokens.h"

namespace cicadaloft {

struct EntryState::Parts {
  EntryCore core;
};

EntryState::EntryState(const EntrySettings& settings)
    : parts(std::make_unique<Parts>(Parts{.core = EntryCore(settings)})) {}
EntryState::~EntryState() = default;
EntryState::EntryState(EntryState&& other) noexcept = default;
EntryState& EntryState::operator=(EntryState&& other) noexcept = default;

const Ledger& EntryState::ledger() const {
  return this->parts->core.ledger;
}

bool EntryState::IsReady() const {
  const EntryCore& core = this->parts->core;
  return !core.is_stopping && !core.ledger.config().versions().empty() &&
         !IsOwnDataCentreOut(core);
}

std::size_t EntryState::OpenRequests() const {
  return this->parts->core.requests.size();
}

namespace {

constexpr Duration kLongestEndWait = std::chrono::seconds(3);

void NoteTime(EntryCore& core, TimePoint now) {
  const bool was_suspended =
      core.last_event.has_value() &&
      now - *core.last_event > core.settings.suspension_limit;
  core.now = now;
  core.last_event = now;
  if (was_suspended) {
    OnSuspension(core);
  }
}

void OnTick(EntryCore& core) {
  ServeShortOfTokens(core);
  ExpirePermits(core);
  ResendClaims(core);
  PumpWaiting(core);
  ExpireWaiting(core);
  ReportDemand(core);
}

void OnStop(EntryCore& core) {
  core.stop_asked = core.is_stopping ? core.stop_asked : core.now;
  core.is_stopping = true;
}

/// Ends of claims that are not in the ledger yet are worth a short wait: nobody
/// else knows them.
void Finish(EntryCore& core) {
  const bool waits_for_ends =
      !core.claim_ends.empty() && core.now - core.stop_asked < kLongestEndWait;
  if (core.is_stopping && !core.is_drained && core.requests.empty() &&
      !waits_for_ends) {
    core.is_drained = true;
    core.Emit(EntryDrained{});
  }
}

}  // namespace

Step<EntryState, EntryEffect> Decide(EntryState state,
                                     const EntryEvent& event,
                                     TimePoint now) {
  EntryCore& core = state.parts->core;
  NoteTime(core, now);
  std::visit(
      Overloaded{
          [&](const RequestArrived& e) { OnArrived(core, e); },
          [&](const AttemptStarted& e) { OnStarted(core, e); },
          [&](const AttemptEnded& e) { OnEnded(core, e); },
          [&](const CallerGone& e) { OnCallerGone(core, e); },
          [&](const LinkReceived& e) { OnLinkReceived(core, e.envelope); },
          [&](const LinkChanged& e) { OnLinkChanged(core, e); },
          [&](const EntryTick&) { OnTick(core); },
          [&](const EntryStopRequested&) { OnStop(core); },
      },
      event);
  Finish(core);
  std::vector<EntryEffect> effects = std::exchange(core.effects, {});
  return {std::move(state), std::move(effects)};
}

}  // namespace cicadaloft
