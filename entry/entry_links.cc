#include "entry_links.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>

#include "cicadaloft/core/result.h"
#include "entry_claims.h"
#include "entry_demand.h"
#include "entry_dispatch.h"
#include "entry_permits.h"
#include "entry_requests.h"
#include "entry_suspects.h"
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

/// What a run of records has touched.
struct Touched {
  bool config = false;
  bool members = false;

  bool all_keys = false;
  std::set<KeyId> keys;
  std::set<TargetId> targets;
  std::set<ModelId> models;
};

void NoteTicket(const Ticket& ticket, Touched& touched) {
  touched.config = true;
  const auto note = [&](const ItemRef& ref) {
    if (ref.kind == ItemKind::kKey) {
      touched.keys.insert(KeyId(ref.name));
    } else if (ref.kind != ItemKind::kTarget) {
      touched.all_keys = true;
    }
  };
  std::ranges::for_each(ticket.items,
                        [&](const Item& item) { note(RefOf(item)); });
  std::ranges::for_each(ticket.removed, note);
}

void NotePlacement(EntryCore& core,
                   const TargetId& target,
                   const ModelId& model,
                   Touched& touched) {
  touched.models.insert(model);
  const auto view = core.targets.find(target);
  if (view != core.targets.end()) {
    view->second.DropHint(model);
  }
}

void NoteRecord(EntryCore& core, const RecordBody& body, Touched& touched) {
  std::visit(
      Overloaded{
          [&](const TicketRecord& r) { NoteTicket(r.ticket, touched); },
          [&](const JoinRecord&) { touched.members = true; },
          [&](const LeaveRecord&) { touched.members = true; },
          [&](const EvictRecord&) { touched.members = true; },
          // It may confirm an allocation of shares.
          [&](const RenewRecord&) {
            touched.members |= core.ledger.shares().allocations().size() > 1;
          },
          [&](const PlacementRecord& r) {
            NotePlacement(core, r.target, r.model, touched);
          },
          [&](const PlacementOutcomeRecord& r) {
            NotePlacement(core, r.target, r.model, touched);
          },
          [&](const TargetInstanceRecord& r) {
            touched.targets.insert(r.target);
            std::ranges::copy(
                core.ledger.placements().MemoryOf(r.target).reservations |
                    std::views::keys,
                std::inserter(touched.models, touched.models.end()));
          },
          [](const auto&) {},
      },
      body);
}

/// Acts on the ledger as it now stands, and only then reports the position.
void ActOnLedger(EntryCore& core, const Touched& touched) {
  const bool moves_parts = touched.config || touched.members;
  if (moves_parts) {
    SyncRates(core);
    SyncTargets(core);
  }
  std::ranges::for_each(touched.targets, [&](const TargetId& target) {
    SyncInstance(core, target);
  });
  if (touched.all_keys) {
    RecheckAllKeys(core);
  }
  std::ranges::for_each(touched.keys,
                        [&](const KeyId& key) { RecheckKey(core, key); });
  std::ranges::for_each(touched.models, [&](const ModelId& model) {
    MarkStale(core, model);
    PumpModel(core, model);
  });
  if (moves_parts) {
    ++core.routing_version;
    RefuseUnserved(core);
    PumpWaiting(core);
  }
  core.Send(HostId(), LogPosition{.next = core.ledger.next(),
                                  .log_reachable = false,
                                  .applied_by_entry = core.ledger.next()});
}

void Take(EntryCore& core, const RelayRecords& relay) {
  const LogOffset before = core.ledger.next();
  Touched touched;
  std::ranges::for_each(relay.records, [&](const PlacedRecord& placed) {
    if (placed.offset >= before) {
      NoteRecord(core, placed.record.body, touched);
    }
  });
  core.ledger = ApplyAll(std::move(core.ledger), relay.records).state;
  if (core.ledger.next() > before) {
    ActOnLedger(core, touched);
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
  Touched touched{.config = true, .all_keys = true};
  std::ranges::for_each(core.targets | std::views::values,
                        [&](TargetView& view) {
                          view.DropHints();
                          touched.targets.insert(view.id());
                        });
  ActOnLedger(core, touched);
}

}  // namespace

void OnLinkReceived(EntryCore& core, const Envelope& envelope) {
  std::visit(
      Overloaded{
          [&](const RelayRecords& relay) { Take(core, relay); },
          [&](const StateTransfer& transfer) { Take(core, transfer); },
          [&](const ShareLease& lease) { OnShareLease(core, lease); },
          [&](const TargetNews& news) { OnTargetNews(core, news.report); },
          [&](const NoCapacityNotice& notice) { OnNoCapacity(core, notice); },
          [&](const BorrowTokens& ask) { OnBorrowTokens(core, ask); },
          [&](const LendTokens& loan) { OnLendTokens(core, loan); },
          [&](const BorrowPermit& ask) { OnBorrowPermit(core, ask); },
          [&](const LendPermit& loan) { OnLendPermit(core, loan); },
          [&](const ReturnPermit& permit) { OnReturnPermit(core, permit); },
          [&](const SuspectNotice& notice) { OnSuspectNotice(core, notice); },
          [&](const ClaimReply& reply) { OnClaimReply(core, reply); },
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
