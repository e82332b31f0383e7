#ifndef CICADALOFT_PLACEMENT_MESSAGES_H_
#define CICADALOFT_PLACEMENT_MESSAGES_H_

#include <compare>
#include <cstdint>
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

/// How an order's call ended.
enum class OrderOutcome {
  kAccepted,       ///< It is being carried out.
  kAlready,        ///< It holds already.
  kConflict,       ///< Another order is under way, or has come in between.
  kRejected,       ///< It makes no sense to the target.
  kOtherInstance,  ///< Another process than the expected one answered.
  kNotSent,        ///< No byte of it has left.
  kNoAnswer,       ///< Whether it counts, or still will, is unknown.
};

/// @return a stable token, for logs.
std::string_view ToString(OrderOutcome outcome);

/// What a target says when it is asked itself, a few hundred ms old.
struct TargetReport {
  const OrderSequence sequence;
  const TargetInstance instance;  ///< 0 where the report does not tell it.
  const bool is_busy = false;     ///< An order is being carried out.
  const std::vector<ModelPath> loaded;   ///< Sorted.
  const std::vector<ModelPath> loading;  ///< Sorted; adapters under way.
  const std::vector<ModelId> in_memory;  ///< Sorted.
  const std::vector<ModelId> on_disk;    ///< Sorted.

  friend auto operator<=>(const TargetReport&, const TargetReport&) = default;
  friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

/// Call a target. An OrderEnded follows in any case.
struct SendOrder {
  TargetId target;
  std::string address;
  OrderKind kind = OrderKind::kLoad;
  ModelPath path;
  OrderSequence
      expected_sequence;  ///< The target's; another one makes it refuse.
  FencingToken token;
  TimePoint valid_until{};  ///< The right to give it ends; set by control.

  friend auto operator<=>(const SendOrder&, const SendOrder&) = default;
  friend bool operator==(const SendOrder&, const SendOrder&) = default;
};

struct OrderEnded {
  const TargetId target;
  const OrderOutcome outcome = OrderOutcome::kNoAnswer;

  friend auto operator<=>(const OrderEnded&, const OrderEnded&) = default;
  friend bool operator==(const OrderEnded&, const OrderEnded&) = default;
};

/// Ask a target for its report. A TargetReportReceived or TargetReportFailed
/// follows.
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

/// A host asks for a model or adapter that it has requests for.
struct HostModelLoadRequest {
  const HostId host;
  const ModelLoadRequest request;

  friend auto operator<=>(const HostModelLoadRequest&,
                          const HostModelLoadRequest&) = default;
  friend bool operator==(const HostModelLoadRequest&,
                         const HostModelLoadRequest&) = default;
};

/// Tell these hosts, which ask for the path or use it, what changes. Others
/// see it in the registry some seconds later.
struct SendPlacementChange {
  const PlacementChange change;
  const std::set<HostId> hosts;

  friend auto operator<=>(const SendPlacementChange&,
                          const SendPlacementChange&) = default;
  friend bool operator==(const SendPlacementChange&,
                         const SendPlacementChange&) = default;
};

/// One host's use of models since its last report.
struct ModelUsageReport {
  const HostId host;
  const std::vector<ModelUsage> usages;

  friend auto operator<=>(const ModelUsageReport&,
                          const ModelUsageReport&) = default;
  friend bool operator==(const ModelUsageReport&,
                         const ModelUsageReport&) = default;
};

/// This host may give orders from now on, under this token.
struct PlacementStarted {
  const FencingToken token;
  /// This host gave orders before, and nobody else has since: what it knows of
  /// targets still holds.
  const bool is_state_current = false;

  friend auto operator<=>(const PlacementStarted&,
                          const PlacementStarted&) = default;
  friend bool operator==(const PlacementStarted&,
                         const PlacementStarted&) = default;
};

/// This host must give no more orders.
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

using PlacementEffect = std::variant<SendOrder,
                                     RequestTargetReport,
                                     SendPlacementChange,
                                     DecisionRecord>;

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_MESSAGES_H_
