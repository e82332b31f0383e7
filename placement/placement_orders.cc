#include <algorithm>
#include <ranges>
#include <utility>

#include "cicadaloft/core/control_reasons.h"
#include "cicadaloft/placement/placement_owner.h"

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reports in a row that must agree before they are believed.
constexpr std::uint32_t kReportsToBelieve = 2;
/// A decision that waits for the log so long is mirrored instead.
constexpr Duration kDecisionPatience = seconds(2);
/// A mirrored decision that nobody has acknowledged is mirrored again.
constexpr Duration kMirrorRetry = seconds(1);

std::string Describe(const PlaceKey& key) {
  return "model=" + key.model.value() + " target=" + key.target.value();
}

/// A load that failed is not tried at the same place again for a while.
constexpr Duration kMinBar = milliseconds(500);
constexpr Duration kMaxBar = seconds(30);
constexpr std::uint32_t kMaxFailures = 8;

const char* TextOf(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kConfirmed:
      return "confirmed";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kFailed:
      return "failed";
    default:
      return "unknown";
  }
}

}  // namespace

void PlacementOwner::ReadBack(SequenceNumber last,
                              const std::set<SequenceNumber>& rejected,
                              TimePoint now) {
  std::ranges::for_each(
      this->book.ReadBack(last, rejected, now), [&](const PlaceKey& key) {
        this->Bar(key, now);
        this->Explain(reasons::kDecisionRejected, Describe(key));
      });
}

void PlacementOwner::Mirrored(SequenceNumber sequence, TimePoint now) {
  this->book.Mirrored(sequence, now);
}

void PlacementOwner::RetryInOutage(const PlacementView& view) {
  if (!view.is_outage || !view.may_order) {
    return;
  }
  std::ranges::for_each(
      this->book.InPhase(OrderPhase::kDeciding), [&](const PlaceKey& key) {
        const PlacementOrder* order = this->book.Find(key);
        if (view.now - order->since < kDecisionPatience) {
          return;
        }
        const PlacementRecord& before = order->record;
        const SequenceNumber sequence =
            view.submit(PlacementRecord{.target = before.target,
                                        .model = before.model,
                                        .action = before.action,
                                        .instance = before.instance,
                                        .ordered_in_outage = true});
        this->book.Redecide(key, sequence, view.now);
        this->Emit(MirrorWanted{.sequence = sequence});
      });
  std::ranges::for_each(
      this->book.InPhase(OrderPhase::kMirroring), [&](const PlaceKey& key) {
        const PlacementOrder* order = this->book.Find(key);
        if (view.now - order->since >= kMirrorRetry) {
          this->Emit(MirrorWanted{.sequence = order->sequence});
        }
      });
}

void PlacementOwner::SendOrders(const PlacementView& view) {
  std::ranges::for_each(
      this->book.InPhase(OrderPhase::kReady),
      [&](const PlaceKey& key) { this->SendOrder(view, key); });
}

void PlacementOwner::SendOrder(const PlacementView& view, const PlaceKey& key) {
  const PlacementOrder order = *this->book.Find(key);
  const bool is_known =
      view.config.Find<Target>(key.target.value()) != nullptr &&
      (order.record.action == PlacementAction::kUnload ||
       view.config.Find<ModelRoute>(key.model.value()) != nullptr);
  if (!is_known || !view.may_order) {
    // Nothing was ordered, so nothing has changed on the target.
    this->Explain(reasons::kOrderWithheld, Describe(key));
    this->Conclude(view, key, order.record.instance,
                   order.record.action == PlacementAction::kLoad
                       ? PlacementOutcome::kFailed
                       : PlacementOutcome::kLoaded);
    return;
  }
  const OrderId id = this->book.Send(key, view.now);
  this->touched.insert_or_assign(key, view.now);
  this->Explain(reasons::kOrderSent,
                Describe(key) + " order=" + std::to_string(id.value()));
  this->Emit(
      OrderWanted{.order = id, .record = order.record, .token = *view.token});
}

void PlacementOwner::TakeOrderEnd(const PlacementView& view,
                                  OrderId order,
                                  OrderOutcome outcome) {
  const std::optional<PlaceKey> key = this->book.FindByOrder(order);
  if (!key.has_value()) {
    return;
  }
  const PlacementRecord record = this->book.Find(*key)->record;
  this->touched.insert_or_assign(*key, view.now);
  this->Explain(reasons::kOrderEnded,
                Describe(*key) + " outcome=" + TextOf(outcome));
  const bool is_load = record.action == PlacementAction::kLoad;
  if (outcome == OrderOutcome::kUnknown ||
      (outcome == OrderOutcome::kFailed && !is_load)) {
    this->book.Erase(*key);
    return;
  }
  if (outcome == OrderOutcome::kConfirmed) {
    this->Conclude(
        view, *key, record.instance,
        is_load ? PlacementOutcome::kLoaded : PlacementOutcome::kUnloaded);
    return;
  }
  // Refused: nothing changed, so an unload leaves the model in place.
  this->Conclude(
      view, *key, record.instance,
      is_load ? PlacementOutcome::kFailed : PlacementOutcome::kLoaded);
}

void PlacementOwner::Conclude(const PlacementView& view,
                              const PlaceKey& key,
                              TargetInstance instance,
                              PlacementOutcome outcome) {
  const PlacementOutcomeRecord record{.target = key.target,
                                      .model = key.model,
                                      .instance = instance,
                                      .outcome = outcome};
  const SequenceNumber sequence = view.submit(record);
  this->book.Pend(sequence, record);
  this->book.Report(key, sequence, view.now);
  this->touched.insert_or_assign(key, view.now);
  if (outcome == PlacementOutcome::kFailed) {
    this->Bar(key, view.now);
  }
  if (outcome == PlacementOutcome::kLoaded) {
    this->barred.erase(key);
    this->loaded_at.insert_or_assign(key, view.now);
  } else {
    this->loaded_at.erase(key);
  }
}

void PlacementOwner::Bar(const PlaceKey& key, TimePoint now) {
  PlaceBar& bar = this->barred[key];
  bar.until = now + std::min(kMaxBar, kMinBar * (1 << bar.failures));
  bar.failures = std::min<std::uint32_t>(bar.failures + 1, kMaxFailures);
}

TimePoint PlacementOwner::QuietSince(const PlaceKey& key) const {
  const auto found = this->touched.find(key);
  return found == this->touched.end()
             ? this->taken_over
             : std::max(this->taken_over, found->second);
}

void PlacementOwner::TakeReport(const PlacementView& view,
                                const TargetReport& report) {
  if (!view.token.has_value()) {
    return;
  }
  const NewsReach reach = this->watch.Reported(report, view.now);
  if (reach != NewsReach::kNone) {
    this->Emit(NewsWanted{.report = report, .reach = reach});
  }
  const bool is_known =
      view.folded.targets().contains(report.target) &&
      view.folded.MemoryOf(report.target).instance == report.instance;
  if (is_known) {
    this->Reconcile(view, report);
    return;
  }
  if (!view.may_order || this->book.IsInstancePending(report.target)) {
    return;
  }
  const TargetInstanceRecord record{.target = report.target,
                                    .instance = report.instance};
  this->book.Pend(view.submit(record), record);
  this->Explain(reasons::kTargetRestarted,
                "target=" + report.target.value() +
                    " instance=" + std::to_string(report.instance.value()));
}

void PlacementOwner::Reconcile(const PlacementView& view,
                               const TargetReport& report) {
  if (!view.may_order || view.is_outage) {
    return;
  }
  const auto& reservations = view.folded.MemoryOf(report.target).reservations;
  std::ranges::for_each(reservations, [&](const auto& entry) {
    const PlaceKey key{.target = report.target, .model = entry.first};
    this->strays.erase(key);
    if (this->book.Find(key) == nullptr) {
      this->ReconcileHeld(view, report, key, entry.second);
    }
  });
  std::ranges::for_each(report.models, [&](const ReportedModel& model) {
    if (!reservations.contains(model.model) && model.loaded) {
      this->ReconcileStray(view, report, model.model);
    }
  });
}

void PlacementOwner::ReconcileHeld(const PlacementView& view,
                                   const TargetReport& report,
                                   const PlaceKey& key,
                                   const Reservation& held) {
  const ReportedModel* reported = FindReported(report, key.model);
  const TimePoint polled = this->watch.Find(report.target)->polled;
  const Duration quiet = polled - this->QuietSince(key);
  if (reported != nullptr) {
    this->absences.erase(key);
    const bool is_loaded =
        reported->loaded &&
        ((held.state == ReservationState::kLoading && quiet >= kMaxReportLag) ||
         (held.state == ReservationState::kUnloading &&
          quiet >= this->terms.order_term));
    if (is_loaded) {
      this->Explain(reasons::kOutcomeReconciled,
                    Describe(key) + " outcome=loaded");
      this->Conclude(view, key, report.instance, PlacementOutcome::kLoaded);
    }
    return;
  }
  // A load that is still under way somewhere must not be taken as failed.
  const Duration wait = held.state == ReservationState::kLoading
                            ? this->terms.order_term
                            : kMaxReportLag;
  if (quiet < wait || ++this->absences[key] < kReportsToBelieve) {
    return;
  }
  this->absences.erase(key);
  this->Explain(reasons::kOutcomeReconciled, Describe(key) + " outcome=absent");
  this->Conclude(view, key, report.instance,
                 held.state == ReservationState::kLoading
                     ? PlacementOutcome::kFailed
                     : PlacementOutcome::kUnloaded);
}

void PlacementOwner::ReconcileStray(const PlacementView& view,
                                    const TargetReport& report,
                                    const ModelId& model) {
  const PlaceKey key{.target = report.target, .model = model};
  const TimePoint polled = this->watch.Find(report.target)->polled;
  const bool is_lag = polled - this->QuietSince(key) < kMaxReportLag;
  if (is_lag || this->book.Find(key) != nullptr ||
      view.config.Find<ModelRoute>(model.value()) == nullptr ||
      ++this->strays[key] < kReportsToBelieve) {
    return;
  }
  this->strays.erase(key);
  const PlacementRecord record{.target = key.target,
                               .model = key.model,
                               .action = PlacementAction::kLoad,
                               .instance = report.instance,
                               .ordered_in_outage = true};
  this->book.Pend(view.submit(record), record);
  this->Explain(reasons::kStrayAdopted, Describe(key));
  this->Conclude(view, key, report.instance, PlacementOutcome::kLoaded);
}

void PlacementOwner::TakeMirrored(const PlacementView& view,
                                  const PlacementRecord& record) {
  const Reservation* held = view.folded.Find(record.target, record.model);
  const bool is_load = record.action == PlacementAction::kLoad;
  const bool is_folded =
      is_load ? held != nullptr
              : held == nullptr || held->state == ReservationState::kUnloading;
  const PlaceKey key{.target = record.target, .model = record.model};
  if (is_folded || this->book.Find(key) != nullptr) {
    return;
  }
  this->book.Pend(view.submit(record), record);
  this->touched.insert_or_assign(key, view.now);
}

}  // namespace cicadaloft
