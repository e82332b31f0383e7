#ifndef CICADALOFT_PLACEMENT_MESSAGES_H_
#define CICADALOFT_PLACEMENT_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/configuration/active_configuration.h"
#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/fleet/target_record.h"
#include "cicadaloft/routing/model_locations.h"

namespace cicadaloft {

/// What an order asks a target to do.
enum class OrderKind { kLoad, kUnload };

/// The outcome of sending an order.
enum class OrderOutcome {
  kAccepted,       ///< The target executes it.
  kAlready,        ///< The target is already in the requested state.
  kConflict,       ///< Another order is running, or was accepted in between.
  kRejected,       ///< The target reports the order as invalid.
  kOtherInstance,  ///< Another process than the expected one answered.
  kNotSent,        ///< No byte of it was sent.
  kNoAnswer,       ///< The target may have accepted it, or may still do so.
};

/// @return a stable token, for logs.
std::string_view ToString(OrderOutcome outcome);

/// A target's own report of its state; a few hundred ms old.
struct TargetReport {
  const OrderSequence sequence;
  const TargetInstance instance;  ///< 0 if the report does not contain it.
  const bool is_busy = false;     ///< The target is executing an order.
  const std::vector<ModelPath> loaded;   ///< Sorted.
  const std::vector<ModelPath> loading;  ///< Sorted; adapters only.
  const std::vector<ModelId> in_memory;  ///< Sorted.
  const std::vector<ModelId> on_disk;    ///< Sorted.

  friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
  friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

/// Sends an order to a target. An OrderEnded event always follows.
struct SendOrder {
  TargetId target;
  std::string address;
  OrderKind kind = OrderKind::kLoad;
  ModelPath path;
  OrderSequence expected_sequence;  ///< The target refuses any other.
  FencingToken token;
  TimePoint valid_until{};  ///< Set by control: end of the lease.

  friend auto operator<=>(const SendOrder&, const SendOrder&) = default;
  friend bool operator==(const SendOrder&, const SendOrder&) = default;
};

/// Sending an order has ended. The target may still be executing it.
struct OrderEnded {
  const TargetId target;
  const OrderOutcome outcome = OrderOutcome::kNoAnswer;

  friend auto operator<=>(const OrderEnded&, const OrderEnded&) = default;
  friend bool operator==(const OrderEnded&, const OrderEnded&) = default;
};

/// Requests a target's report. A TargetReportReceived or TargetReportFailed
/// event follows.
struct RequestTargetReport {
  const TargetId target;
  const std::string address;

  friend auto operator<=>(const RequestTargetReport&,
                          const RequestTargetReport&) = default;
  friend bool operator==(const RequestTargetReport&,
                         const RequestTargetReport&) = default;
};

struct TargetReportReceived {
  const TargetId target;
  const TargetReport report;

  friend auto operator<=>(const TargetReportReceived&,
                          const TargetReportReceived&) = default;
  friend bool operator==(const TargetReportReceived&,
                         const TargetReportReceived&) = default;
};

struct TargetReportFailed {
  const TargetId target;
  const std::string reason;

  friend auto operator<=>(const TargetReportFailed&,
                          const TargetReportFailed&) = default;
  friend bool operator==(const TargetReportFailed&,
                         const TargetReportFailed&) = default;
};

/// A host requests a model or adapter for which requests are waiting.
struct HostModelLoadRequest {
  const HostId host;
  const ModelLoadRequest request;

  friend auto operator<=>(const HostModelLoadRequest&,
                          const HostModelLoadRequest&) = default;
  friend bool operator==(const HostModelLoadRequest&,
                         const HostModelLoadRequest&) = default;
};

/// Sends a placement change to the hosts that request the path or use it. Other
/// hosts see it in the registry some seconds later.
struct SendPlacementChange {
  const PlacementChange change;
  const std::set<HostId> hosts;

  friend auto operator<=>(const SendPlacementChange&,
                          const SendPlacementChange&) = default;
  friend bool operator==(const SendPlacementChange&,
                         const SendPlacementChange&) = default;
};

/// One host's usage of models since its last report.
struct ModelUsageReport {
  const HostId host;
  const std::vector<ModelUsage> usages;

  friend auto operator<=>(const ModelUsageReport&,
                          const ModelUsageReport&) = default;
  friend bool operator==(const ModelUsageReport&,
                         const ModelUsageReport&) = default;
};

/// This host may send orders from now on, with this token.
struct PlacementStarted {
  const FencingToken token;
  /// This host also held the previous lease, and no other host has sent orders
  /// since: its knowledge of the targets is still valid.
  const bool is_state_current = false;

  friend auto operator<=>(const PlacementStarted&,
                          const PlacementStarted&) = default;
  friend bool operator==(const PlacementStarted&,
                         const PlacementStarted&) = default;
};

/// This host must send no more orders.
struct PlacementStopped {
  friend auto operator<=>(const PlacementStopped&,
                          const PlacementStopped&) = default;
  friend bool operator==(const PlacementStopped&,
                         const PlacementStopped&) = default;
};

struct PlacementTick {
  friend auto operator<=>(const PlacementTick&, const PlacementTick&) = default;
  friend bool operator==(const PlacementTick&, const PlacementTick&) = default;
};

using PlacementEvent = std::variant<PlacementStarted,
                                    PlacementStopped,
                                    ConfigurationChanged,
                                    EvacuationsChanged,
                                    FleetChanged,
                                    HostModelLoadRequest,
                                    ModelUsageReport,
                                    OrderEnded,
                                    TargetReportReceived,
                                    TargetReportFailed,
                                    PlacementTick>;

/// How many loads from the weight store may run at once has changed.
struct StoreLoadLimitChanged {
  std::optional<std::uint32_t> limit;  ///< None: this host sends no orders.

  friend auto operator<=>(const StoreLoadLimitChanged&,
                          const StoreLoadLimitChanged&) = default;
  friend bool operator==(const StoreLoadLimitChanged&,
                         const StoreLoadLimitChanged&) = default;
};

using PlacementEffect = std::variant<SendOrder,
                                     RequestTargetReport,
                                     SendPlacementChange,
                                     StoreLoadLimitChanged,
                                     DecisionRecord>;

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_MESSAGES_H_
