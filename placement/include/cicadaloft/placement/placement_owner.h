#ifndef CICADALOFT_PLACEMENT_PLACEMENT_OWNER_H_
#define CICADALOFT_PLACEMENT_PLACEMENT_OWNER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/decision_line.h"
#include "cicadaloft/placement/placement_policy.h"

namespace cicadaloft {

struct PlacementTerms {
  const DataCentreId data_centre;
  const Duration poll_interval;
  const Duration order_term;

  friend auto operator<=>(const PlacementTerms&,
                          const PlacementTerms&) = default;
  friend bool operator==(const PlacementTerms&,
                         const PlacementTerms&) = default;
};

/// What a placement owner sees of one step.
struct PlacementView {
  const Config& config;
  const PlacementTable& folded;
  /// The duty's token while it is owned; orders need `may_order`, too.
  const std::optional<FencingToken> token;
  const bool may_order = false;
  /// The owner before has ended its orders and given the duty up.
  const bool was_handed_over = false;
  const bool is_outage = false;          ///< Nobody here reaches the log.
  const bool is_stopping = false;        ///< No new decisions.
  const std::uint32_t data_centres = 1;  ///< That share the weight store.
  const TimePoint now{};
  /// Queues a record for the log.
  const std::function<SequenceNumber(const PlacementBody&)> submit;
};

/// Ask the target for a report.
struct PollWanted {
  const TargetId target;
};

/// Send the order that `record` decides.
struct OrderWanted {
  const OrderId order;
  const PlacementRecord record;
  const FencingToken token;
};

/// Tell the mates of the queued decision; answered by Mirrored().
struct MirrorWanted {
  const SequenceNumber sequence;
};

/// Pass a target's report on.
struct NewsWanted {
  const TargetReport report;
  const NewsReach reach = NewsReach::kNone;
};

/// Nothing here can take the model: ask another data centre, or tell `hosts`.
struct CapacityMissing {
  const ModelWanted wanted;
};

using PlacementEffect = std::variant<PollWanted,
                                     OrderWanted,
                                     MirrorWanted,
                                     NewsWanted,
                                     CapacityMissing,
                                     DecisionLine>;

/// Decides the loads and unloads of one data centre's targets: decision into
/// the log, order once it was read back, outcome into the log.
class PlacementOwner {
 public:
  explicit PlacementOwner(const PlacementTerms& terms);

  void TakeDemand(const HostId& host,
                  const std::vector<ModelDemand>& demands,
                  TimePoint now);
  void TakeReport(const PlacementView& view, const TargetReport& report);
  void PollFailed(const TargetId& target) { this->watch.Failed(target); }
  void TakeOrderEnd(const PlacementView& view,
                    OrderId order,
                    OrderOutcome outcome);
  /// Own records up to `last` stand in the log.
  void ReadBack(SequenceNumber last,
                const std::set<SequenceNumber>& rejected,
                TimePoint now);
  void Mirrored(SequenceNumber sequence, TimePoint now);
  /// Takes what a mate holds of an earlier owner's outage, at a takeover.
  void TakeMirrored(const PlacementView& view, const PlacementRecord& record);
  /// The place was lost, or the state was taken over: nothing is under way.
  void StartOver() { this->known_token.reset(); }

  /// Does what is due.
  void Work(const PlacementView& view);

  /// @return whether no decision or order is under way.
  bool IsQuiet() const { return this->book.entries().empty(); }
  std::vector<PlacementEffect> TakeEffects();

 private:
  void NoteToken(const PlacementView& view);
  void Poll(const PlacementView& view);
  void Emit(PlacementEffect effect);
  void Explain(const char* reason, std::string detail);

  void SendOrders(const PlacementView& view);
  void SendOrder(const PlacementView& view, const PlaceKey& key);
  void Conclude(const PlacementView& view,
                const PlaceKey& key,
                TargetInstance instance,
                PlacementOutcome outcome);
  void RetryInOutage(const PlacementView& view);
  void Decide(const PlacementView& view,
              const PlaceKey& key,
              PlacementAction action,
              bool uses_store,
              const char* reason);

  void Reconcile(const PlacementView& view, const TargetReport& report);
  void ReconcileHeld(const PlacementView& view,
                     const TargetReport& report,
                     const PlaceKey& key,
                     const Reservation& held);
  void ReconcileStray(const PlacementView& view,
                      const TargetReport& report,
                      const ModelId& model);
  TimePoint QuietSince(const PlaceKey& key) const;

  void DecideLoads(const PlacementView& view);
  bool DecideLoad(const PlacementView& view, const ModelWanted& wanted);
  void TellNoCapacity(const ModelWanted& wanted, TimePoint now);
  void LoadAhead(const PlacementView& view);
  bool MayLoadMore(const PlacementView& view, const ModelRoute& route) const;
  bool WantsReplica(const PlacementView& view,
                    const ModelRoute& route,
                    const ModelWanted& wanted) const;
  void CarryOut(const PlacementView& view,
                const ModelRoute& route,
                const LoadPlan& plan,
                const char* reason);
  void Bar(const PlaceKey& key, TimePoint now);
  PlacementScene SceneOf(const PlacementView& view,
                         const std::set<TargetId>& unready) const;
  std::set<TargetId> Unready(const PlacementView& view) const;

  PlacementTerms terms;
  TargetWatch watch;
  LoadQueue queue;
  UseHistory history;
  OrderBook book;
  std::optional<FencingToken> known_token;
  TimePoint taken_over{};
  std::map<PlaceKey, TimePoint> loaded_at;
  /// When something last happened to a place; an order may be in flight since.
  std::map<PlaceKey, TimePoint> touched;
  std::map<PlaceKey, PlaceBar> barred;
  /// Targets that an earlier owner knew, at a takeover without its doing.
  std::set<TargetId> inherited;
  std::map<PlaceKey, std::uint32_t> absences;  ///< Reports in a row.
  std::map<PlaceKey, std::uint32_t> strays;    ///< Reports in a row.
  std::map<ModelId, TimePoint> refused;  ///< When capacity was last missing.
  std::map<ModelId, TimePoint> wanted_since;
  TimePoint next_poll{};
  std::vector<PlacementEffect> effects;
  std::optional<PlacementTable> overlay;  ///< Of the current step.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_PLACEMENT_OWNER_H_
