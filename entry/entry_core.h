#ifndef CICADALOFT_ENTRY_ENTRY_CORE_H_
#define CICADALOFT_ENTRY_ENTRY_CORE_H_

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/admission/customer_share.h"
#include "cicadaloft/admission/large_size_threshold.h"
#include "cicadaloft/admission/queue_progress.h"
#include "cicadaloft/admission/quota_charges.h"
#include "cicadaloft/admission/rank_floors.h"
#include "cicadaloft/admission/recent_maximum.h"
#include "cicadaloft/admission/request_queue.h"
#include "cicadaloft/admission/service_ranks.h"
#include "cicadaloft/alignment/configuration_alignment.h"
#include "cicadaloft/configuration/configuration_lag.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/detour/helping_hosts.h"
#include "cicadaloft/detour/target_reachability.h"
#include "cicadaloft/entry/entry_settings.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/poison/poison_guard.h"
#include "cicadaloft/routing/brittle_service.h"
#include "cicadaloft/routing/lapsed_notices.h"
#include "cicadaloft/routing/model_locations.h"
#include "cicadaloft/routing/prompt_chain.h"
#include "cicadaloft/routing/retry_budget.h"
#include "cicadaloft/routing/service_pace.h"
#include "cicadaloft/routing/target_capacity.h"
#include "cicadaloft/routing/target_choice.h"
#include "cicadaloft/routing/target_view.h"
#include "cicadaloft/warmup/warmup_permits.h"
#include "open_request.h"
#include "sole_origins.h"

namespace cicadaloft {

/// The decision logic of one entry. It handles one event at a time.
class EntryCore {
 public:
  explicit EntryCore(const EntrySettings& settings);

  /// Handles one event and appends the resulting effects to `effects`.
  void Handle(const RequestArrived& arrived);
  void Handle(const ResponseStarted& started);
  void Handle(const AttemptEnded& ended);
  void Handle(const CallerDisconnected& disconnected);
  void Handle(const ConfigurationChanged& change);
  void Handle(const ConfigurationHeard& heard);
  void Handle(const ConfigurationFollowed& followed);
  void Handle(const ComparisonArrived& arrived);
  void Handle(const ConfigurationsCompared& compared);
  void Handle(const EvacuationsChanged& change);
  void Handle(const FleetChanged& change);
  void Handle(const RegistryCaughtUp& caught_up);
  void Handle(const PlacementChange& change);
  void Handle(const SharesChanged& change);
  void Handle(const QuotaReply& reply);
  void Handle(const WarmupGrant& grant);
  void Handle(const PoisonSuspects& suspects);
  void Handle(const PoisonBlock& block);
  void Handle(const OriginLookedUp& looked_up);
  void Handle(const QuotaHistoryRequest& request);
  void Handle(const TargetProbed& probed);
  void Handle(const DetourHostsChanged& change);
  void Handle(const EntryTick& tick);
  void Handle(const EntryStopRequested& stop);

  void SetNow(TimePoint time) {
    this->now = time;
    this->first_event_at =
        this->first_event_at == TimePoint{} ? time : this->first_event_at;
  }
  std::vector<EntryEffect> TakeEffects() {
    return std::exchange(this->effects, {});
  }

  bool IsReady() const { return this->configuration && !this->is_stopping; }
  std::size_t OpenRequestCount() const { return this->requests.size(); }
  std::size_t WaitingRequestCount() const;

 private:
  using Requests = std::map<RequestId, OpenRequest>;
  /// Targets that have loaded what the requests of a queue need.
  using Candidates = std::vector<TargetView*>;
  struct WaitQueue {
    RequestQueue<RequestId> requests;
    std::optional<TimePoint> model_requested_at;  ///< The last time.
    QueueProgress progress;                       ///< Of ranked requests.
    TimePoint estimated_at{};  ///< When waits were last estimated.
  };
  /// What estimates of the waits in a queue are based on.
  struct EstimateBasis {
    /// Targets serve the queue and no others are about to.
    bool is_rate_known = false;
    /// Of the load of the model, which no usable target has before.
    std::optional<TimePoint> load_end;
  };
  /// A service whose requests are served by rank.
  struct RankedService {
    ServiceRanks ranks;
    RankFloors floors;
    std::map<RouteId, LargeSizeThreshold> large_sizes;
    /// Times that callers state on their first arrival.
    std::map<std::pair<RouteId, CustomerId>, RecentMaximum> usual_timeouts;
  };

  /// Why a request is not admitted.
  struct Refusal {
    Error error;
    Duration retry_after{};  ///< 0: not known.
  };
  using Admission = std::variant<OpenRequest, Refusal>;

  /// A forwarded request that waits for a configuration, or for a comparison.
  struct HeldArrival {
    RequestArrived arrival;
    TimePoint arrived_at{};
    TimePoint expires_at{};
  };

  struct WithinLimit {};
  /// The cost does not fit this host's share; the lease holder's pool may cover
  /// it.
  struct NeedsQuota {};
  using LimitCheck = std::variant<WithinLimit, NeedsQuota, Refusal>;
  /// A cost that the lease holder has denied.
  struct DeniedQuota {
    double cost = 0;
    TimePoint until{};  ///< The same cost or more is not requested before this.
    TimePoint retry_at{};  ///< When callers may retry.
  };
  struct Demand {
    double cost = 0;
    std::uint32_t requests = 0;
  };
  struct ServiceCounts {
    std::uint32_t arrivals = 0;
    std::uint32_t started = 0;
  };

  // Admission.
  void TakeArrival(const RequestArrived& arrived, TimePoint arrived_at);
  void DecideAdmission(const RequestArrived& arrived, TimePoint arrived_at);
  Admission Admit(const RequestArrived& arrived, TimePoint arrived_at);
  /// @return until when requests are accepted after a shutdown request.
  TimePoint AcceptDeadline() const;
  void RefuseArrival(const RequestArrived& arrived, const Refusal& refusal);
  Result<const Route*> FindRoute(const RequestArrived& arrived) const;
  std::optional<Error> CheckCustomer(OpenRequest& request);
  void EnqueueAdmitted(OpenRequest& request);
  void EnqueueForTarget(OpenRequest& request);
  RetryBudget& RetryBudgetOf(const ServiceId& service);
  void UpdateRetryBudget(RetryBudget& budget) const;

  // Customers' limits.
  LimitCheck CheckLimit(const OpenRequest& request);
  /// @param reason why the shared pool did not cover the cost.
  Refusal MakeLimitRefusal(const OpenRequest& request,
                           Duration retry_after,
                           const std::string& reason);
  void RequestQuota(OpenRequest& request);
  void RefuseWithoutQuota(const OpenRequest& request,
                          Duration retry_after,
                          const std::string& reason);
  void RefundCost(const OpenRequest& request);
  bool IsOnlyHost() const;
  CustomerShare& ShareOf(const Customer& customer);
  void UpdateShare(const Customer& customer, CustomerShare& share) const;
  void UpdateAllShares();

  // Order by rank.
  void UpdateRankedServices();
  void AssignPlace(OpenRequest& request);
  const RankFloors& FloorsOf(const ServiceId& service) const;
  /// @param contenders the ranks that waited in its queue before.
  void RecordServed(const OpenRequest& request,
                    WaitQueue& queue,
                    const std::vector<RankContender>& contenders);

  /// @return whether the target has the version that the queue requires, if
  /// any.
  bool HasVersionFor(const QueueKey& key, const TargetId& id) const;
  /// @return when the model of the queue is expected to be loaded on a further
  /// target that may serve it; none if no such load is known.
  std::optional<TimePoint> ExpectedReadyAt(const QueueKey& key) const;

  // Estimates of waits, in ranked services.
  EstimateBasis EstimateBasisOf(const QueueKey& key,
                                const Candidates& candidates) const;
  /// @return a time that the request waits at least; none if it isn't known.
  std::optional<Duration> MinWait(const OpenRequest& request,
                                  const WaitQueue& queue,
                                  const LinePosition& position,
                                  const EstimateBasis& basis) const;
  void UpdateEstimates(const QueueKey& key, const Candidates& candidates);
  bool EstimateWait(OpenRequest& request);
  static bool IsHopeless(const OpenRequest& request,
                         const std::optional<Duration>& min_wait,
                         TimePoint now);
  void RefuseHopeless(OpenRequest& request, Duration min_wait);
  Duration RankedRetryAfter(const OpenRequest& request, Duration min_wait);

  // Streams that are taken up again.
  static bool NeedsOrigin(const OpenRequest& request);
  void FindOrigin(OpenRequest& request);
  void PinToOrigin(OpenRequest& request,
                   const StreamOrigin& origin,
                   const OriginEvidence& evidence);
  void PinToSoleOrigin(OpenRequest& request);
  void WaitForRegistry(OpenRequest& request);
  bool IsVersionGone(const QueueKey& key) const;
  bool RefuseIfVersionGone(const QueueKey& key);
  void RefuseTakeUp(const OpenRequest& request, const Error& error);
  void LogTakeUp(const OpenRequest& request, std::string_view outcome);

  // Queues and dispatch.
  void Enqueue(const OpenRequest& request);
  void RemoveFromQueue(const OpenRequest& request);
  void DispatchFromQueue(const QueueKey& key);
  void DispatchFromAllQueues();
  bool HasCapacity(const Candidates& candidates) const;
  bool TryDispatch(OpenRequest& request, const Candidates& candidates);
  Dispatch MakeDispatch(const OpenRequest& request,
                        const TargetView& target) const;
  void LogDispatch(const OpenRequest& request,
                   const TargetView& target,
                   std::size_t candidate_count);
  TargetPreference PreferenceOf(const OpenRequest& request) const;
  Candidates CandidatesFor(const QueueKey& key);
  /// Adds a target with what its process has said before its entry was gone.
  TargetView& AddTarget(const TargetId& id, const TargetRecordPtr& record);
  bool CanAccept(const TargetView& target, const OpenRequest& request) const;
  std::vector<TargetId> UnusableTargets(const QueueKey& key,
                                        const Candidates& candidates) const;
  bool IsUsable(const TargetView& target) const;
  bool IsFull(const TargetView& target) const;
  std::vector<RequestId> RequestsInQueue(const QueueKey& key) const;
  void RefuseIfTargetsRest(const QueueKey& key, const Candidates& candidates);
  void RequestModelLoad(const QueueKey& key,
                        WaitQueue& queue,
                        const Candidates& candidates);
  void LogWait(const OpenRequest& request);

  // Estimates, for services whose targets state their work time.
  struct PromptExpectation {
    PromptChain prompt;
    /// The target to which all hosts send the shared part, other things being
    /// equal; null if there is no such part, or no other host.
    const TargetView* agreed = nullptr;
    /// Where the most tokens are expected in the cache; null: nowhere.
    TargetView* preferred = nullptr;
  };
  PromptExpectation ExpectPrompt(const OpenRequest& request,
                                 const Candidates& candidates,
                                 const ServicePace& pace) const;
  double CachedTokensAt(const TargetView& target,
                        const PromptExpectation& expectation,
                        const ServicePace& pace) const;
  /// @return null if no estimate is used.
  const ServicePace* EstimatedPace(const ServiceId& service) const;
  TargetKind KindOf(const TargetRecord& record) const;
  static StatedSize StatedSizeOf(const OpenRequest& request);
  RequestSize SizeOf(const OpenRequest& request) const;
  void RecordStart(const OpenRequest& request,
                   const ResponseStarted& started,
                   TargetView& target);
  TargetView* ChooseByEstimate(OpenRequest& request,
                               const Candidates& candidates,
                               const ServicePace& pace);
  void RecordLoad(TargetView& target, const TargetLoad& load);
  void RecordRun(const OpenRequest& request,
                 const AttemptEnded& ended,
                 TargetView& target);
  std::vector<LogField> EstimateFields(const OpenRequest& request) const;

  // Brittle targets.
  /// @return the target as far as it is brittle; none if it isn't.
  std::optional<BrittleTarget> BrittleTargetOf(const TargetView& target) const;
  /// @return the limit on rejections to assume for the target; none if it
  /// isn't brittle.
  std::optional<std::uint32_t> RejectionLimitOf(const TargetView& target) const;
  BrittleTarget AsBrittle(const TargetView& target,
                          std::uint32_t rejection_limit) const;
  bool HasPosition() const;
  /// @return whether this host has been told that there are no others.
  bool IsKnownOnlyHost() const;
  bool HasFirstRequest(const ServiceId& service) const;
  bool HasRoom(const TargetView& target, const BrittleTarget& brittle) const;
  void RecordAnswer(const OpenRequest& request, const TargetNotice& notice);

  // Cold targets.
  bool NeedsWarmupPermit(const TargetView& target) const;
  void RequestWarmup(const QueueKey& key,
                     const WaitQueue& queue,
                     const Candidates& candidates);
  void PresumeCold(const std::set<DataCentreId>& data_centres);

  void CountStarted(const OpenRequest& request);
  void ReportStarted();
  void RecordUsage(const OpenRequest& request);
  void ReportUsage();
  std::vector<ServiceLoad> TakeServiceLoads();
  Duration UsageReportInterval() const;

  // This host's links to targets.
  void RecordLinks(const OpenRequest& request, const AttemptEnded& ended);
  /// Makes the probes that are due.
  void ProbeTargets();
  std::vector<ProbeCandidate> ProbeCandidates() const;
  void FollowLinks();
  void OnTargetsLost();
  void OnTargetsReached();
  /// Goes on with the requests that waited for probes.
  void ResumeSuspended();
  /// @return whether a failure is this host's own rather than the target's.
  bool AreLinksBlamed() const;

  // Requests over other hosts.
  bool UsesDetours() const;
  /// @return the refusal of any request that another host forwards now; none if
  /// this host takes them.
  std::optional<Refusal> CheckForwarded() const;
  /// @return whether the host that forwarded this request should forward others
  /// here although it has been refused.
  bool TakesOtherRequests(const RequestArrived& refused) const;

  // Configurations of this host and of others.
  /// Takes a version that another host has.
  void HearConfiguration(ConfigurationVersion version);
  /// @return whether the host that has forwarded the request may have admitted
  /// it by a newer configuration than this host has.
  bool IsOutdatedFor(const RequestArrived& arrived) const;
  /// @return whether the host that has forwarded the request doesn't state by
  /// which configuration it has admitted it, and this one can't know of newer
  /// versions than its own.
  bool IsVersionUnknowable(const RequestArrived& arrived) const;
  /// Lets the request wait for the configuration that it needs, or refuses it
  /// if this host has been waiting for one for too long.
  void HoldForConfiguration(const RequestArrived& arrived,
                            TimePoint arrived_at);
  /// @return whether the host that has forwarded the request, and will go on
  /// deciding by its own configuration, has an older one than this host.
  bool IsForwarderBehind(const RequestArrived& arrived) const;
  /// Lets the request wait until that host has this host's configuration.
  /// @return whether it waits; if not, it can't be compared with now.
  bool HoldForForwarder(const RequestArrived& arrived, TimePoint arrived_at);
  void Hold(const RequestArrived& arrived,
            TimePoint arrived_at,
            TimePoint expires_at);
  /// Goes on with the requests that have no more to wait for.
  void ReleaseHeldArrivals();
  void EndExpiredArrivals();
  void RefuseOutdated(const RequestArrived& arrived);
  /// Refuses what a newer configuration than this host's may allow.
  void RefuseAsBehind(const RequestArrived& arrived);
  /// Compares configurations with the host that has forwarded the request,
  /// unless a comparison that suffices is running.
  void CompareFor(const RequestArrived& arrived);
  void AdoptFrom(const HostId& host,
                 const ActiveConfigurationPtr& configuration);

  /// @return whether the request must not wait for targets of this host. One
  /// that was on a detour has not been charged here.
  bool NeedsDetour(const OpenRequest& request) const;
  void ConfirmHelpingHosts();
  void DetourWaitingRequests();
  /// Sends a request that is in no queue over another host. One that was
  /// forwarded to this host is refused instead.
  void TakeDetour(OpenRequest& request);
  void DispatchOverHost(OpenRequest& request);
  void LogDetour(const OpenRequest& request);
  /// @return for logs, the host that has forwarded the request; empty for one
  /// that this host received from its caller.
  static std::vector<LogField> ForwardedFields(const RequestArrived& arrived);
  void RecordDetour(const OpenRequest& request, const AttemptEnded& ended);

  // Ends of attempts and requests.
  void HandleFailure(OpenRequest& request, const AttemptEnded& ended);
  void RecordAvoidance(OpenRequest& request, AttemptOutcome outcome) const;
  std::optional<Error> FinalError(const OpenRequest& request,
                                  const AttemptEnded& ended) const;
  void TryRetry(OpenRequest& request,
                AttemptOutcome outcome,
                bool needs_budget);
  void RecordOutcome(const OpenRequest& request, const AttemptEnded& ended);
  void RecordNotice(const OpenRequest& request, const TargetNotice& notice);
  void RecordShed(const OpenRequest& request,
                  const AttemptEnded& ended,
                  TargetView& target);
  bool MayRunAgain(const OpenRequest& request) const;
  void RefuseOpenRequest(const OpenRequest& request, const Error& error);
  void HandleExpired();
  void RefuseExpired(const OpenRequest& request);
  void Close(const OpenRequest& request);

  // Poison requests.
  void RecordPoisonEvidence(const OpenRequest& request,
                            const AttemptEnded& ended);
  void ReportPoisonEvidence();
  void ReportEvidence(CrashEvidence evidence);
  /// Reports what the registry confirms of the evidence from the time of a
  /// loss of links.
  void SettleDoubtfulEvidence();
  std::optional<Error> CheckPoison(const OpenRequest& request) const;

  std::optional<Duration> RetryAfter(const OpenRequest& request,
                                     ErrorKind kind);

  void Log(const char* event,
           const RequestId& request,
           std::vector<LogField> fields);

  const EntrySettings settings;
  TimePoint now{};
  TimePoint first_event_at{};
  TimePoint ticked_at{};
  Duration tick_gap{};  ///< Between the last two ticks.
  std::vector<EntryEffect> effects;

  ActiveConfigurationPtr configuration;
  TimePoint configured_at{};
  ConfigurationLag lag;
  bool follows_configuration = true;
  std::map<RequestId, HeldArrival> held_arrivals;
  ConfigurationAlignment alignment;
  std::set<DataCentreId> evacuated;
  FleetPtr fleet;
  std::map<TargetId, TargetView> targets;
  LapsedNotices lapsed_notices;
  std::map<ServiceId, BrittleService> brittle_services;
  std::map<ServiceId, std::vector<TargetId>> targets_by_service;
  SoleOrigins sole_origins;
  /// Up to when the fleet is complete.
  std::optional<RegistryCaughtUp> registry;
  /// Take-ups that go on once the registry has been read after they arrived.
  std::set<RequestId> waiting_for_registry;
  std::map<ServiceId, ServicePace> service_paces;
  ModelLocations model_locations;

  SharesChanged shares;
  std::map<CustomerId, CustomerShare> customer_shares;
  std::map<CustomerId, DeniedQuota> denied_quotas;
  QuotaCharges quota_charges;
  std::map<ServiceId, RetryBudget> retry_budgets;
  PoisonGuard poison_guard;
  /// Evidence that may be due to this host's links, and its time.
  std::list<std::pair<TimePoint, CrashEvidence>> doubtful_evidence;
  WarmupPermits permits;
  TargetReachability reachability;
  TargetLinks followed_links = TargetLinks::kReached;
  HelpingHosts helping_hosts;
  std::size_t detour_count = 0;  ///< Since targets were lost.

  std::map<ModelPath, ModelUsage> model_usages;  ///< Since the last report.
  std::map<ServiceId, ServiceCounts> service_counts;  ///< Also since then.
  std::map<CustomerId, Demand> demands;
  TimePoint usage_reported_at{};
  UsageByCustomer started_requests;  ///< Since the last tick.

  Requests requests;
  std::map<QueueKey, WaitQueue> queues;
  std::map<ServiceId, RankedService> ranked_services;
  std::set<std::pair<TimePoint, RequestId>> expiries;
  std::uint64_t last_sequence_number = 0;
  bool is_stopping = false;
  TimePoint stop_requested_at{};
  Duration stop_grace_period{};
  TimePoint stop_wait_deadline = TimePoint::max();  ///< For all requests.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_CORE_H_
