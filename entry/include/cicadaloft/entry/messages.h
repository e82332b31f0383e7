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
#include "cicadaloft/alignment/messages.h"
#include "cicadaloft/configuration/active_configuration.h"
#include "cicadaloft/core/decision_record.h"
#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/detour/detour_messages.h"
#include "cicadaloft/duties/messages.h"
#include "cicadaloft/fleet/target_record.h"
#include "cicadaloft/poison/poison_messages.h"
#include "cicadaloft/resumption/messages.h"
#include "cicadaloft/routing/model_locations.h"
#include "cicadaloft/routing/prompt_part.h"
#include "cicadaloft/routing/target_load.h"
#include "cicadaloft/routing/target_notice.h"
#include "cicadaloft/warmup/warmup_messages.h"

namespace cicadaloft {

/// Selects the route by the host and path of the request.
struct ByHostAndPath {
  const std::string host;
  const std::string path;  ///< Without the query string.

  friend auto operator<=>(const ByHostAndPath&, const ByHostAndPath&) = default;
  friend bool operator==(const ByHostAndPath&, const ByHostAndPath&) = default;
};

/// Selects the first route to a service that has the model.
struct ByModel {
  friend auto operator<=>(const ByModel&, const ByModel&) = default;
  friend bool operator==(const ByModel&, const ByModel&) = default;
};

/// Selects the route by the id that the caller names.
struct ByRoute {
  const RouteId route;

  friend auto operator<=>(const ByRoute&, const ByRoute&) = default;
  friend bool operator==(const ByRoute&, const ByRoute&) = default;
};

/// The caller has part of a stream and goes on with it.
struct StreamResumption {
  /// The caller's request that brought the first event; empty: not named.
  const RequestId first_request;

  friend auto operator<=>(const StreamResumption&,
                          const StreamResumption&) = default;
  friend bool operator==(const StreamResumption&,
                         const StreamResumption&) = default;
};

using Destination = std::variant<ByHostAndPath, ByModel, ByRoute>;

/// A request that states more tokens is malformed: no model holds as many, and
/// sums of such costs stay exact.
inline constexpr double kMaxRequestTokens = 100'000'000;

/// A caller's request has been read completely. It is answered exactly once: by
/// a Refuse, or by a Dispatch that has ended.
struct RequestArrived {
  const RequestId request;            ///< Assigned by this host; unique.
  const RequestId caller_request_id;  ///< Chosen by the caller; for logs.
  const std::string credential;       ///< Empty if the request has none.
  const Destination destination;
  /// Empty for a service without an engine.
  const std::optional<ModelPath> model;
  /// Prompt plus maximum response; at most kMaxRequestTokens.
  const std::optional<double> tokens;
  /// The two terms of `tokens`, and the caller's estimate of the response,
  /// which is right at the median and often far off.
  const std::optional<double> prompt_tokens;
  const std::optional<double> max_output_tokens;
  const std::optional<double> expected_output_tokens;
  /// Key of the shared prompt prefix; 0: there is none.
  const std::uint64_t prompt_prefix_key = 0;
  /// Hashes of the prompt segments that other requests may share, in order.
  const std::vector<std::uint64_t> prompt_segments;
  /// The first parts of the prompt, in order; the last part of the prompt is
  /// specific to the request or its session.
  const std::vector<PromptPart> prompt_parts;
  const Duration timeout{};             ///< How long the caller waits from now.
  const bool is_batch = false;          ///< Marked by the caller as batch work.
  const std::uint64_t fingerprint = 0;  ///< Of customer key, path and body.
  /// None for a new stream and for other requests.
  const std::optional<StreamResumption> resumption;
  /// The host that received the request from the caller and reaches no target;
  /// none for a request that this host received from the caller.
  const std::optional<HostId> forwarded_by;
  /// The configuration by which that host has admitted it; none if that host
  /// is of an earlier version, which doesn't state it.
  const std::optional<ConfigurationVersion> admitted_by;
  /// Of that host's listener for forwarded requests; empty if that host is of
  /// an earlier version, which doesn't compare configurations.
  const std::string forwarder_address;

  friend auto operator<=>(const RequestArrived&,
                          const RequestArrived&) = default;
  friend bool operator==(const RequestArrived&,
                         const RequestArrived&) = default;
};

/// How one attempt to run a request on a target ended.
enum class AttemptOutcome {
  kCompleted,  ///< The complete response went to the caller.
  kNotSent,    ///< No byte of the request was sent.
  /// Not run: the target reported overload, or a helping host has refused with
  /// a refusal of its own that states this.
  kShed,
  /// Not run: a helping host has refused it by an older configuration than the
  /// one that has admitted it, or by one that it doesn't state.
  kOutdatedHost,
  kNotLoaded,             ///< The target reports that it lacks the model.
  kOtherInstance,         ///< Another process than expected responded.
  kErrorResponse,         ///< Withheld, since another target may succeed.
  kBrokenBeforeResponse,  ///< The connection broke before the first byte.
  kBrokenDuringResponse,  ///< The caller has part of the response.
  kTimedOut,              ///< The target did not respond in time.
  kOversizedResponse,     ///< A head or framing is longer than the limit.
  kMemoryLimit,           ///< The host has no memory left for the response.
  kCancelled,             ///< Ended by CancelAttempt.
};

/// @return a stable token, for logs and metrics.
std::string_view ToString(AttemptOutcome outcome);

struct AttemptEnded {
  const RequestId request;
  const AttemptNumber attempt;
  const AttemptOutcome outcome = AttemptOutcome::kCompleted;
  const int http_status = 0;  ///< Of the target's response; 0 if none.
  const std::uint64_t response_bytes = 0;  ///< Of the body, as it arrived.
  /// Of an event stream; 0 if the response is none.
  const std::uint64_t response_events = 0;
  const std::optional<TargetLoad> load;
  const TargetNotice notice;
  /// The configuration by which a helping host has decided; none on a direct
  /// way, and if the host doesn't state it.
  const std::optional<ConfigurationVersion> host_configuration;
  /// A helping host has refused this request only.
  const bool takes_other_requests = false;

  friend auto operator<=>(const AttemptEnded&, const AttemptEnded&) = default;
  friend bool operator==(const AttemptEnded&, const AttemptEnded&) = default;
};

/// The first byte of the response has arrived and is forwarded to the caller.
struct ResponseStarted {
  const RequestId request;
  const AttemptNumber attempt;
  const std::optional<TargetLoad> load;
  const TargetNotice notice;
  /// The target has begun to run the request, as its response shows.
  const bool has_run = true;

  friend auto operator<=>(const ResponseStarted&,
                          const ResponseStarted&) = default;
  friend bool operator==(const ResponseStarted&,
                         const ResponseStarted&) = default;
};

/// The caller's connection is closed.
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

/// Another host has this version of the configuration.
struct ConfigurationHeard {
  const ConfigurationVersion version;

  friend auto operator<=>(const ConfigurationHeard&,
                          const ConfigurationHeard&) = default;
  friend bool operator==(const ConfigurationHeard&,
                         const ConfigurationHeard&) = default;
};

/// Whether this host follows the operator's topic now, by the store or by what
/// the lease holder relays. If it doesn't, it can't know of newer versions.
struct ConfigurationFollowed {
  const bool is_followed = true;

  friend auto operator<=>(const ConfigurationFollowed&,
                          const ConfigurationFollowed&) = default;
  friend bool operator==(const ConfigurationFollowed&,
                         const ConfigurationFollowed&) = default;
};

/// The data centres whose targets must not receive requests.
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

/// All entries that the registry had at a time are in the last FleetChanged.
struct RegistryCaughtUp {
  TimePoint at{};
  StoreEra era;

  friend auto operator<=>(const RegistryCaughtUp&,
                          const RegistryCaughtUp&) = default;
  friend bool operator==(const RegistryCaughtUp&,
                         const RegistryCaughtUp&) = default;
};

/// This host's share of the limits and budgets that are divided among all
/// hosts.
struct SharesChanged {
  std::uint32_t host_count = 1;  ///< Hosts that take requests.
  /// Of this host among all, below `position_count`; none if it isn't known.
  std::optional<std::uint32_t> host_position;
  std::uint32_t position_count = 0;
  TimePoint positioned_since{};  ///< When it first got a position.
  double default_share = 0;      ///< For customers not in `shares`.
  std::vector<GrantedShare> shares;
  /// Whether quota and warm-up permits can be requested.
  bool is_lease_holder_reachable = false;
  /// Usage of limits before this process started.
  LimitUsage usage_before_start;

  friend auto operator<=>(const SharesChanged&, const SharesChanged&) = default;
  friend bool operator==(const SharesChanged&, const SharesChanged&) = default;
};

/// Asks for a QuotaHistory, for a new lease holder.
struct QuotaHistoryRequest {
  friend auto operator<=>(const QuotaHistoryRequest&,
                          const QuotaHistoryRequest&) = default;
  friend bool operator==(const QuotaHistoryRequest&,
                         const QuotaHistoryRequest&) = default;
};

/// Sent every kEntryTickInterval.
struct EntryTick {
  friend auto operator<=>(const EntryTick&, const EntryTick&) = default;
  friend bool operator==(const EntryTick&, const EntryTick&) = default;
};

/// A planned shutdown was requested.
struct EntryStopRequested {
  Duration grace_period = std::chrono::hours(1);  ///< Until the process exits.

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
                                ConfigurationHeard,
                                ConfigurationFollowed,
                                ComparisonArrived,
                                ConfigurationsCompared,
                                EvacuationsChanged,
                                FleetChanged,
                                RegistryCaughtUp,
                                PlacementChange,
                                SharesChanged,
                                QuotaReply,
                                WarmupGrant,
                                PoisonSuspects,
                                PoisonBlock,
                                OriginLookedUp,
                                QuotaHistoryRequest,
                                TargetProbed,
                                DetourHostsChanged,
                                EntryTick,
                                EntryStopRequested>;

/// Sends the request to a target, or to another host that does. An AttemptEnded
/// always follows.
struct Dispatch {
  const RequestId request;
  const AttemptNumber attempt;
  /// A process with another id at the address must refuse the request. Empty if
  /// the request goes to another host.
  const TargetId target;
  /// Of the target, or of the helping host's listener for forwarded requests.
  const std::string address;
  /// The helping host: the request goes to it as the caller sent it, with the
  /// credential and with `response_timeout` as its timeout. It charges the
  /// customer's limit and chooses the target; `target` and `origin` are empty.
  /// The response is passed on unchanged, except for a refusal of the helping
  /// host's own: 503, 408 or 421 that states that the request has not run. That
  /// one is withheld as kShed if `withholds_error_response` is set, and passed
  /// on, with its Retry-After, as kCompleted otherwise. No other response of a
  /// helping host is withheld; a customer over its limit (429) is so at all
  /// hosts.
  const std::optional<HostId> via_host;
  const CustomerId customer;  ///< Empty if there is none, as on public routes.
  const int priority = 5;     ///< 0 is the highest.
  /// Remaining time for the complete response.
  const Duration response_timeout{};
  /// Whether an error response is withheld because another target, or another
  /// helping host, may succeed.
  const bool withholds_error_response = false;
  /// Recorded before the response is passed on; none if it needs no record.
  const std::optional<OriginRecord> origin;
  /// That has admitted the request. A helping host must not decide by an older
  /// one.
  const ConfigurationVersion configuration;

  friend auto operator<=>(const Dispatch&, const Dispatch&) = default;
  friend bool operator==(const Dispatch&, const Dispatch&) = default;
};

/// Ends an attempt by closing its connection. An AttemptEnded follows.
struct CancelAttempt {
  const RequestId request;
  const AttemptNumber attempt;

  friend auto operator<=>(const CancelAttempt&, const CancelAttempt&) = default;
  friend bool operator==(const CancelAttempt&, const CancelAttempt&) = default;
};

/// Answers the caller with an error.
struct Refuse {
  const RequestId request;
  const Error error;
  const RunState run_state = RunState::kNotRun;
  const std::optional<Duration> retry_after;
  const ConfigurationVersion configuration;  ///< That decided; 0: none did.
  /// Of a forwarded request: this host takes others meanwhile.
  const bool takes_other_requests = false;

  friend auto operator<=>(const Refuse&, const Refuse&) = default;
  friend bool operator==(const Refuse&, const Refuse&) = default;
};

/// A request to a ranked service is sent after it has waited.
struct WaitMeasured {
  const std::optional<Duration> expected;  ///< None: it wasn't known.
  const Duration actual{};

  friend auto operator<=>(const WaitMeasured&, const WaitMeasured&) = default;
  friend bool operator==(const WaitMeasured&, const WaitMeasured&) = default;
};

/// Requests wait for a model or adapter that no usable target has loaded.
struct ModelLoadRequest {
  const ServiceId service;
  const ModelPath path;
  const std::uint32_t waiting = 0;
  const Duration latency_objective{};  ///< Of the oldest waiting request.
  /// Targets that are expected to have it, but have denied having it or are
  /// ejected.
  const std::vector<TargetId> denied_by;
  /// Only targets of this version may serve the requests; none: any may.
  const std::optional<SoftwareVersion> software;

  friend auto operator<=>(const ModelLoadRequest&,
                          const ModelLoadRequest&) = default;
  friend bool operator==(const ModelLoadRequest&,
                         const ModelLoadRequest&) = default;
};

/// Usage of a model or adapter on one host.
struct ModelUsage {
  ModelPath path;
  std::uint32_t arrivals = 0;     ///< Since the last report.
  std::uint32_t running = 0;      ///< At the time of the report.
  std::uint32_t interactive = 0;  ///< Arrivals that are not batch work.

  friend auto operator<=>(const ModelUsage&, const ModelUsage&) = default;
  friend bool operator==(const ModelUsage&, const ModelUsage&) = default;
};

/// Requests of one host that run on the targets of one data centre.
struct DataCentreLoad {
  DataCentreId data_centre;
  std::uint32_t running = 0;

  friend auto operator<=>(const DataCentreLoad&,
                          const DataCentreLoad&) = default;
  friend bool operator==(const DataCentreLoad&,
                         const DataCentreLoad&) = default;
};

/// Load of a service on one host.
struct ServiceLoad {
  ServiceId service;
  std::uint32_t arrivals = 0;           ///< Admitted since the last report.
  std::uint32_t started = 0;            ///< Attempts since the last report.
  std::uint32_t waiting = 0;            ///< At the time of the report.
  std::vector<DataCentreLoad> running;  ///< At the time of the report.

  friend auto operator<=>(const ServiceLoad&, const ServiceLoad&) = default;
  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

/// What callers have requested since the last report.
struct UsageReport {
  const std::vector<ModelUsage> usages;
  const std::vector<CustomerDemand> demands;
  /// Of the services with `scaling`.
  const std::vector<ServiceLoad> service_loads;

  friend auto operator<=>(const UsageReport&, const UsageReport&) = default;
  friend bool operator==(const UsageReport&, const UsageReport&) = default;
};

/// A run for which there was an estimate is complete.
struct RunMeasured {
  const Duration estimated_first_token{};  ///< From the dispatch.
  const Duration first_token{};
  const Duration estimated_interval{};  ///< Between two events.
  /// Mean; none for a stream with a single event.
  const std::optional<Duration> interval;
  const double estimated_cached_tokens = 0;
  const double prompt_tokens = 0;

  friend auto operator<=>(const RunMeasured&, const RunMeasured&) = default;
  friend bool operator==(const RunMeasured&, const RunMeasured&) = default;
};

using EntryEffect = std::variant<Dispatch,
                                 CancelAttempt,
                                 Refuse,
                                 ModelLoadRequest,
                                 UsageReport,
                                 QuotaRequest,
                                 WarmupRequest,
                                 CrashEvidence,
                                 PoisonRefutation,
                                 TargetLeavingReport,
                                 QuotaHistory,
                                 LookUpOrigin,
                                 ProbeTarget,
                                 TargetReachabilityChanged,
                                 ConfigurationHeard,
                                 CompareConfigurations,
                                 AnswerComparison,
                                 ConfigurationReceived,
                                 RequestsStarted,
                                 WaitMeasured,
                                 RunMeasured,
                                 DecisionRecord>;

inline constexpr Duration kEntryTickInterval = std::chrono::milliseconds(10);
/// Interval between usage reports. The shorter it is compared with the run time
/// of a request, the more precisely it is known which models are idle.
inline constexpr Duration kUsageReportInterval = std::chrono::milliseconds(200);
/// Minimum interval between usage reports, per host in the fleet: the lease
/// holder receives about 100 reports per second from all hosts together,
/// for any number of hosts.
inline constexpr Duration kUsageReportIntervalPerHost =
    std::chrono::milliseconds(10);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_MESSAGES_H_
