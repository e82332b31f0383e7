#include "entry_links.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "cicadaloft/core/result.h"
#include "entry_dispatch.h"
#include "entry_targets.h"
#include "entry_tokens.h"

namespace cicadaloft {
namespace {

/// A gap is asked for again after this time.
constexpr Duration kStateAskInterval = std::chrono::milliseconds(500);

void AskForState(EntryCore& core) {
  const bool has_just_asked =
      core.state_asked_at.has_value() &&
      core.now - *core.state_asked_at < kStateAskInterval;
  if (has_just_asked) {
    return;
  }
  core.state_asked_at = core.now;
  core.Send(HostId(), StateRequest{.from = core.ledger.next()});
}

/// Acts on the ledger as it now stands, and only then reports the position.
void ActOnLedger(EntryCore& core) {
  ++core.routing_version;
  SyncRates(core);
  SyncTargets(core);
  PumpWaiting(core);
  core.Send(HostId(), LogPosition{.next = core.ledger.next(),
                                  .log_reachable = false,
                                  .applied_by_entry = core.ledger.next()});
}

void Take(EntryCore& core, const RelayRecords& relay) {
  const LogOffset before = core.ledger.next();
  core.ledger = ApplyAll(std::move(core.ledger), relay.records).state;
  if (core.ledger.next() > before) {
    ActOnLedger(core);
  }
  if (relay.next > core.ledger.next()) {
    AskForState(core);
  }
}

void Take(EntryCore& core, const StateTransfer& transfer) {
  const Ledger& state = *transfer.checkpoint.state;
  if (state.next() <= core.ledger.next()) {
    return;
  }
  core.ledger = Ledger(state);
  ActOnLedger(core);
}

}  // namespace

void OnLinkReceived(EntryCore& core, const Envelope& envelope) {
  std::visit(
      Overloaded{
          [&](const RelayRecords& relay) { Take(core, relay); },
          [&](const StateTransfer& transfer) { Take(core, transfer); },
          [&](const ShareLease& lease) { OnShareLease(core, lease); },
          [&](const TargetNews& news) { OnTargetNews(core, news.report); },
          [](const auto&) {},
      },
      envelope.message);
}

void OnLinkChanged(EntryCore& core, const LinkChanged& event) {
  core.is_link_up = event.is_up;
  if (event.is_up) {
    core.state_asked_at.reset();
    AskForState(core);
  }
}

}  // namespace cicadaloft
