#ifndef CICADALOFT_ENTRY_MESSAGES_H_
#define CICADALOFT_ENTRY_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/admission/share_messages.h"
#include "cicadaloft/configuration/active_configuration.h"
#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/fleet/target_record.h"
#include "cicadaloft/routing/model_locations.h"
#include "cicadaloft/routing/target_load.h"
#include "cicadaloft/warmup/warmup_messages.h"

namespace cicadaloft {

/// The route is selected by the host and path that the caller named.
struct ByHostAndPath {
  const std::string host;
  const std::string path;  ///< Without the query.

  friend auto operator<=>(const ByHostAndPath&, const ByHostAndPath&) = default;
  friend bool operator==(const ByHostAndPath&, const ByHostAndPath&) = default;
};

/// The route is the first one to a service that has the model.
struct ByModel {
  friend auto operator<=>(const ByModel&, const ByModel&) = default;
  friend bool operator==(const ByModel&, const ByModel&) = default;
};

/// The caller names the route.
struct ByRoute {
  const RouteId route;

  friend auto operator<=>(const ByRoute&, const ByRoute&) = default;
  friend bool operator==(const ByRoute&, const ByRoute&) = default;
};

using Destination = std::variant<ByHostAndPath, ByModel, ByRoute>;

/// A caller's whole request has been read. Exactly one of Refuse or an ended
/// Dispatch answers it.
struct RequestArrived {
  const RequestId request;            ///< This host's own, unique.
  const RequestId caller_request_id;  ///< As the caller names it, for logs.
  const std::string credential;       ///< Empty if none came.
  const Destination destination;
  const std::optional<ModelPath> model;  ///< None: a plain service.
  const std::optional<double> tokens;    ///< Prompt and most answer tokens.
  const std::uint64_t prompt_prefix_key =
      0;                        ///< Of the prompt's shared part; 0: none.
  const Duration deadline{};    ///< How long the caller waits, from now on.
  const bool is_batch = false;  ///< The caller says that nobody waits for it.
  const std::uint64_t fingerprint = 0;  ///< Of customer key, path and body.

  friend auto operator<=>(const RequestArrived&,
                          const RequestArrived&) = default;
  friend bool operator==(const RequestArrived&,
                         const RequestArrived&) = default;
};

/// How one attempt at a target ended.
enum class AttemptOutcome {
  kCompleted,             ///< A whole answer has gone to the caller.
  kNotSent,               ///< No byte of the request has left.
  kShed,                  ///< The target says that it has not run it: overload.
  kNotLoaded,             ///< The target says that it does not have the model.
  kOtherInstance,         ///< Another process than the expected one answered.
  kErrorResponse,         ///< A failure, held back since another may do better.
  kBrokenBeforeResponse,  ///< The connection broke before the answer's first
                          ///< byte.
  kBrokenDuringResponse,  ///< It broke later; the caller has part of the
                          ///< answer.
  kTimedOut,              ///< The target did not answer in time.
  kCancelled,             ///< Ended by CancelAttempt.
};

/// @return a stable token, for logs and metrics.
std::string_view ToString(AttemptOutcome outcome);

struct AttemptEnded {
  const RequestId request;
  const AttemptNumber attempt;
  const AttemptOutcome outcome = AttemptOutcome::kCompleted;
  const int http_status = 0;  ///< Of the target's answer; 0 if none.
  const std::optional<TargetLoad> load;

  friend auto operator<=>(const AttemptEnded&, const AttemptEnded&) = default;
  friend bool operator==(const AttemptEnded&, const AttemptEnded&) = default;
};

/// The answer's first byte has come and goes to the caller.
struct ResponseStarted {
  const RequestId request;
  const AttemptNumber attempt;
  const std::optional<TargetLoad> load;

  friend auto operator<=>(const ResponseStarted&,
                          const ResponseStarted&) = default;
  friend bool operator==(const ResponseStarted&,
                         const ResponseStarted&) = default;
};

/// The caller's connection is gone.
struct CallerDisconnected {
  const RequestId request;

  friend auto operator<=>(const CallerDisconnected&,
                          const CallerDisconnected&) = default;
  friend bool operator==(const CallerDisconnected&,
                         const CallerDisconnected&) = default;
};

struct ConfigurationChanged {
  const ActiveConfigurationPtr configuration;

  friend auto operator<=>(const ConfigurationChanged&,
                          const ConfigurationChanged&) = default;
  friend bool operator==(const ConfigurationChanged&,
                         const ConfigurationChanged&) = default;
};

/// The data centres whose targets are to get nothing.
struct EvacuationsChanged {
  const std::set<DataCentreId> data_centres;

  friend auto operator<=>(const EvacuationsChanged&,
                          const EvacuationsChanged&) = default;
  friend bool operator==(const EvacuationsChanged&,
                         const EvacuationsChanged&) = default;
};

struct FleetChanged {
  const FleetPtr fleet;

  friend auto operator<=>(const FleetChanged&, const FleetChanged&) = default;
  friend bool operator==(const FleetChanged&, const FleetChanged&) = default;
};

/// What this host may use of what all hosts have in common.
struct SharesChanged {
  std::uint32_t host_count = 1;  ///< That take requests.
  double default_share = 0;      ///< For customers that are not listed.
  std::vector<GrantedShare> customers;
  bool is_lease_holder_reachable =
      false;  ///< A holder is there to be asked for more.
  /// Before this process began.
  LimitUsage usage_before_start;

  friend auto operator<=>(const SharesChanged&, const SharesChanged&) = default;
  friend bool operator==(const SharesChanged&, const SharesChanged&) = default;
};

/// A target has died while it ran a request of this content. Hosts tell each
/// other, since the same request may come again at any of them.
struct TargetCrashReport {
  const std::uint64_t fingerprint = 0;
  const TargetId target;

  friend auto operator<=>(const TargetCrashReport&,
                          const TargetCrashReport&) = default;
  friend bool operator==(const TargetCrashReport&,
                         const TargetCrashReport&) = default;
};

/// Comes every kEntryTickInterval.
struct EntryTick {
  friend auto operator<=>(const EntryTick&, const EntryTick&) = default;
  friend bool operator==(const EntryTick&, const EntryTick&) = default;
};

/// A planned stop has been asked for.
struct EntryStopRequested {
  Duration grace_period = std::chrono::hours(1);  ///< Until the process ends.

  friend auto operator<=>(const EntryStopRequested&,
                          const EntryStopRequested&) = default;
  friend bool operator==(const EntryStopRequested&,
                         const EntryStopRequested&) = default;
};

using EntryEvent = std::variant<RequestArrived,
                                ResponseStarted,
                                AttemptEnded,
                                CallerDisconnected,
                                ConfigurationChanged,
                                EvacuationsChanged,
                                FleetChanged,
                                PlacementChange,
                                SharesChanged,
                                QuotaReply,
                                WarmupGrant,
                                TargetCrashReport,
                                EntryTick,
                                EntryStopRequested>;

/// Send the request to a target. An AttemptEnded follows in any case.
struct Dispatch {
  const RequestId request;
  const AttemptNumber attempt;
  const TargetId target;  ///< Any other process there is to refuse.
  const std::string address;
  const CustomerId customer;          ///< Empty on public routes.
  const int priority = 5;             ///< 0 goes first.
  const Duration response_timeout{};  ///< What is left for the whole answer.
  const bool withholds_error_response =
      false;  ///< A failure may be made good elsewhere.

  friend auto operator<=>(const Dispatch&, const Dispatch&) = default;
  friend bool operator==(const Dispatch&, const Dispatch&) = default;
};

/// End an attempt: close its connection. An AttemptEnded follows.
struct CancelAttempt {
  const RequestId request;
  const AttemptNumber attempt;

  friend auto operator<=>(const CancelAttempt&, const CancelAttempt&) = default;
  friend bool operator==(const CancelAttempt&, const CancelAttempt&) = default;
};

/// Answer the caller with an error.
struct Refuse {
  const RequestId request;
  const Error error;
  const RunState run_state = RunState::kNotRun;
  const std::optional<Duration> retry_after;

  friend auto operator<=>(const Refuse&, const Refuse&) = default;
  friend bool operator==(const Refuse&, const Refuse&) = default;
};

/// Requests wait for a model or adapter that no target holds.
struct ModelLoadRequest {
  const ServiceId service;
  const ModelPath path;
  const std::uint32_t waiting = 0;
  const Duration latency_objective{};  ///< Of the most urgent one.
  /// Targets that have denied to have it, though they were told to.
  const std::vector<TargetId> denied_by;

  friend auto operator<=>(const ModelLoadRequest&,
                          const ModelLoadRequest&) = default;
  friend bool operator==(const ModelLoadRequest&,
                         const ModelLoadRequest&) = default;
};

/// How much one host uses a model or adapter.
struct ModelUsage {
  ModelPath path;
  std::uint32_t arrivals = 0;  ///< Since the last report.
  std::uint32_t running = 0;   ///< Now.
  std::uint32_t interactive =
      0;  ///< Of the arrivals, those awaited at a screen.

  friend auto operator<=>(const ModelUsage&, const ModelUsage&) = default;
  friend bool operator==(const ModelUsage&, const ModelUsage&) = default;
};

/// What callers have asked for since the last report.
struct UsageReport {
  const std::vector<ModelUsage> usages;
  const std::vector<CustomerDemand> demands;

  friend auto operator<=>(const UsageReport&, const UsageReport&) = default;
  friend bool operator==(const UsageReport&, const UsageReport&) = default;
};

using EntryEffect = std::variant<Dispatch,
                                 CancelAttempt,
                                 Refuse,
                                 ModelLoadRequest,
                                 UsageReport,
                                 QuotaRequest,
                                 WarmupRequest,
                                 TargetCrashReport,
                                 DecisionRecord>;

inline constexpr Duration kEntryTickInterval = std::chrono::milliseconds(10);
/// Between two measurements of usage. Which models are idle is known about as
/// well as this is short against a run's length.
inline constexpr Duration kUsageReportInterval = std::chrono::milliseconds(200);
/// The same where many hosts measure: the holder takes some 100 reports a
/// second from all of them together, for any number of hosts.
inline constexpr Duration kUsageReportIntervalPerHost =
    std::chrono::milliseconds(10);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_MESSAGES_H_
