#ifndef CICADALOFT_PLACEMENT_ORDER_BOOK_H_
#define CICADALOFT_PLACEMENT_ORDER_BOOK_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/placement/placement_table.h"

namespace cicadaloft {

/// The records that a placement owner writes.
using PlacementBody =
    std::variant<PlacementRecord, PlacementOutcomeRecord, TargetInstanceRecord>;

/// One model on one target.
struct PlaceKey {
  const TargetId target;
  const ModelId model;

  friend auto operator<=>(const PlaceKey&, const PlaceKey&) = default;
  friend bool operator==(const PlaceKey&, const PlaceKey&) = default;
};

enum class OrderPhase {
  kDeciding,   ///< The decision is on its way into the log.
  kMirroring,  ///< The log is out: the decision is on its way to the mates.
  kReady,      ///< The decision stands; the order may be sent.
  kOrdered,    ///< The target has the order, or will have it.
  kReporting,  ///< The outcome is on its way into the log.
};

struct PlacementOrder {
  PlacementRecord record;
  OrderPhase phase = OrderPhase::kDeciding;
  SequenceNumber sequence;  ///< Of the last record written for it.
  OrderId order;            ///< From kOrdered on.
  TimePoint since{};        ///< When the phase began.
  bool uses_store = false;  ///< It loads from the weight store.
};

/// The decisions and orders of this owner that have not come to an end, and
/// its records that have not been read back.
class OrderBook {
 public:
  void Decide(const PlacementRecord& record,
              SequenceNumber sequence,
              bool uses_store,
              TimePoint now);
  /// Notes a record that is on its way into the log.
  void Pend(SequenceNumber sequence, const PlacementBody& body);

  /// Records up to `last` stand in the log.
  /// @return the decisions that were rejected.
  std::vector<PlaceKey> ReadBack(SequenceNumber last,
                                 const std::set<SequenceNumber>& rejected,
                                 TimePoint now);
  void Mirrored(SequenceNumber sequence, TimePoint now);
  /// Decides the same again as ordered in the outage.
  void Redecide(const PlaceKey& key, SequenceNumber sequence, TimePoint now);

  OrderId Send(const PlaceKey& key, TimePoint now);
  /// Notes that an outcome is on its way into the log, with or without an order
  /// before it.
  void Report(const PlaceKey& key, SequenceNumber sequence, TimePoint now);
  void Erase(const PlaceKey& key) { this->orders.erase(key); }
  /// Forgets everything, at a takeover. Order numbers go on.
  void Clear();

  const PlacementOrder* Find(const PlaceKey& key) const;
  std::optional<PlaceKey> FindByOrder(OrderId order) const;
  std::vector<PlaceKey> InPhase(OrderPhase phase) const;
  const std::map<PlaceKey, PlacementOrder>& entries() const {
    return this->orders;
  }
  bool HasPending() const { return !this->pending.empty(); }
  /// @return whether a record of this target's process is on its way.
  bool IsInstancePending(const TargetId& target) const;

  /// @return the table as it will be once the own records stand in the log.
  PlacementTable Overlay(const Config& config,
                         const PlacementTable& folded) const;

 private:
  struct Pending {
    SequenceNumber sequence;
    PlacementBody body;
  };

  void SetPhase(const PlaceKey& key, OrderPhase phase, TimePoint now);

  std::map<PlaceKey, PlacementOrder> orders;
  std::deque<Pending> pending;
  OrderId last_order;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_ORDER_BOOK_H_
