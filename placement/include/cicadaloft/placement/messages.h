#ifndef CICADALOFT_PLACEMENT_MESSAGES_H_
#define CICADALOFT_PLACEMENT_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/configuration/active_configuration.h"
#include "cicadaloft/core/decision_line.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/fleet/target_record.h"
#include "cicadaloft/routing/model_whereabouts.h"

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
  TimePoint not_after{};  ///< The right to give it ends; set by control.

  friend auto operator<=>(const SendOrder&, const SendOrder&) = default;
  friend bool operator==(const SendOrder&, const SendOrder&) = default;
};

struct OrderEnded {
  const TargetId target;
  const OrderOutcome outcome = OrderOutcome::kNoAnswer;

  friend auto operator<=>(const OrderEnded&, const OrderEnded&) = default;
  friend bool operator==(const OrderEnded&, const OrderEnded&) = default;
};

/// Ask a target for its report. A ReportRead or ReportFailed follows.
struct AskReport {
  const TargetId target;
  const std::string address;

  friend auto operator<=>(const AskReport&, const AskReport&) = default;
  friend bool operator==(const AskReport&, const AskReport&) = default;
};

struct ReportRead {
  const TargetId target;
  const TargetReport report;

  friend auto operator<=>(const ReportRead&, const ReportRead&) = default;
  friend bool operator==(const ReportRead&, const ReportRead&) = default;
};

struct ReportFailed {
  const TargetId target;
  const std::string reason;

  friend auto operator<=>(const ReportFailed&, const ReportFailed&) = default;
  friend bool operator==(const ReportFailed&, const ReportFailed&) = default;
};

/// A host asks for a model or adapter that it has requests for.
struct ModelAsked {
  const HostId host;
  const ModelLoadRequest request;

  friend auto operator<=>(const ModelAsked&, const ModelAsked&) = default;
  friend bool operator==(const ModelAsked&, const ModelAsked&) = default;
};

/// Tell these hosts, which ask for the path or use it, what changes. Others
/// see it in the registry some seconds later.
struct TellPlacement {
  const PlacementChange change;
  const std::set<HostId> hosts;

  friend auto operator<=>(const TellPlacement&, const TellPlacement&) = default;
  friend bool operator==(const TellPlacement&, const TellPlacement&) = default;
};

/// One host's use of models since its last report.
struct UseReported {
  const HostId host;
  const std::vector<ModelUsage> usages;

  friend auto operator<=>(const UseReported&, const UseReported&) = default;
  friend bool operator==(const UseReported&, const UseReported&) = default;
};

/// This host may give orders from now on, under this token.
struct PlacementBegins {
  const FencingToken token;
  /// This host gave orders before, and nobody else has since: what it knows of
  /// targets still holds.
  const bool is_state_current = false;

  friend auto operator<=>(const PlacementBegins&,
                          const PlacementBegins&) = default;
  friend bool operator==(const PlacementBegins&,
                         const PlacementBegins&) = default;
};

/// This host must give no more orders.
struct PlacementEnds {
  friend auto operator<=>(const PlacementEnds&, const PlacementEnds&) = default;
  friend bool operator==(const PlacementEnds&, const PlacementEnds&) = default;
};

struct PlacementTick {
  friend auto operator<=>(const PlacementTick&, const PlacementTick&) = default;
  friend bool operator==(const PlacementTick&, const PlacementTick&) = default;
};

using PlacementEvent = std::variant<PlacementBegins,
                                    PlacementEnds,
                                    ConfigurationChanged,
                                    EvacuationsChanged,
                                    FleetChanged,
                                    ModelAsked,
                                    UseReported,
                                    OrderEnded,
                                    ReportRead,
                                    ReportFailed,
                                    PlacementTick>;

using PlacementEffect =
    std::variant<SendOrder, AskReport, TellPlacement, DecisionLine>;

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_MESSAGES_H_
