#ifndef CICADALOFT_ENTRY_ENTRY_CORE_H_
#define CICADALOFT_ENTRY_ENTRY_CORE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/admission/customer_share.h"
#include "cicadaloft/admission/fair_queue.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/entry/entry_settings.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/routing/model_locations.h"
#include "cicadaloft/routing/poison_request_detector.h"
#include "cicadaloft/routing/retry_budget.h"
#include "cicadaloft/routing/target_choice.h"
#include "cicadaloft/routing/target_view.h"
#include "cicadaloft/warmup/warmup_permits.h"
#include "open_request.h"

namespace cicadaloft {

/// The decisions of one entry, an event at a time.
class EntryCore {
 public:
  explicit EntryCore(const EntrySettings& settings);

  /// Takes one event and leaves the effects in `effects`.
  void Take(const RequestArrived& arrived);
  void Take(const ResponseStarted& started);
  void Take(const AttemptEnded& ended);
  void Take(const CallerDisconnected& gone);
  void Take(const ConfigurationChanged& change);
  void Take(const EvacuationsChanged& change);
  void Take(const FleetChanged& change);
  void Take(const PlacementChange& change);
  void Take(const SharesChanged& change);
  void Take(const QuotaReply& drawn);
  void Take(const WarmupGrant& granted);
  void Take(const TargetCrashReport& notice);
  void Take(const EntryTick& tick);
  void Take(const EntryStopRequested& stop);

  void SetNow(TimePoint time) {
    this->now = time;
    this->began = this->began == TimePoint{} ? time : this->began;
  }
  std::vector<EntryEffect> TakeEffects() {
    return std::exchange(this->effects, {});
  }

  bool IsReady() const { return this->configuration && !this->is_stopping; }
  std::size_t open_requests() const { return this->requests.size(); }
  std::size_t WaitingRequestCount() const;

 private:
  using Requests = std::map<RequestId, OpenRequest>;
  /// Targets that could serve a line, by what they hold.
  using Candidates = std::vector<TargetView*>;
  struct Line {
    FairQueue<RequestId> queue;
    std::optional<TimePoint> asked_at;  ///< For the model.
  };

  /// Why a request is not admitted.
  struct Refusal {
    Error error;
    Duration come_back_in{};  ///< When it could be; 0: not known.
  };
  using Admission = std::variant<OpenRequest, Refusal>;

  struct WithinLimit {};
  /// It does not fit this host's share; the holder may have more.
  struct NeedsDraw {};
  using LimitCheck = std::variant<WithinLimit, NeedsDraw, Refusal>;
  /// What the holder would not give.
  struct RefusedDraw {
    double cost = 0;
    TimePoint until{};  ///< It is not asked for as much before.
    TimePoint come_back_at{};
  };
  struct Demand {
    double cost = 0;
    std::uint32_t requests = 0;
  };

  // Admission.
  Admission Admit(const RequestArrived& arrived);
  void RefuseArrival(const RequestArrived& arrived, const Refusal& refusal);
  Result<const Route*> FindRoute(const RequestArrived& arrived) const;
  std::optional<Error> CheckCustomer(OpenRequest& request);
  void Accept(OpenRequest& request);
  RetryBudget& BudgetOf(const ServiceId& service);
  void SetBudget(RetryBudget& budget) const;

  // Customers' limits.
  LimitCheck CheckLimit(const OpenRequest& request);
  /// @param why this host got no more than its own share.
  Refusal OverLimit(const OpenRequest& request,
                    Duration come_back_in,
                    const std::string& why);
  void AskForDraw(OpenRequest& request);
  void EndDraw(const OpenRequest& request,
               Duration come_back_in,
               const std::string& why);
  void GiveQuotaBack(const OpenRequest& request);
  bool IsAlone() const;
  CustomerShare& ShareOf(const Customer& customer);
  void SetShare(const Customer& customer, CustomerShare& share) const;
  void SetAllShares();

  // Lines and dispatch.
  void Enqueue(const OpenRequest& request);
  void LeaveLine(const OpenRequest& request);
  void Pump(const LineKey& key);
  void PumpAll();
  bool HasRoom(const Candidates& candidates) const;
  bool TryDispatch(OpenRequest& request, const Candidates& candidates);
  TargetPreference WishOf(const OpenRequest& request) const;
  Candidates CandidatesFor(const LineKey& key);
  bool MayTake(const TargetView& target, const OpenRequest& request) const;
  std::vector<TargetId> UselessHolders(const LineKey& key,
                                       const Candidates& candidates) const;
  bool IsUsable(const TargetView& target) const;
  bool IsFull(const TargetView& target) const;
  void AskForModel(const LineKey& key,
                   Line& line,
                   const Candidates& candidates);
  void LogWait(const OpenRequest& request);

  // Cold targets.
  bool NeedsPermit(const TargetView& target) const;
  void AskForWarmup(const LineKey& key,
                    const Line& line,
                    const Candidates& candidates);
  void PresumeCold(const std::set<DataCentreId>& data_centres);

  void CountUse(const OpenRequest& request);
  void ReportUsage();

  // Ends.
  void TakeFailure(OpenRequest& request, const AttemptEnded& ended);
  void TrySendAgain(OpenRequest& request,
                    const AttemptEnded& ended,
                    bool needs_budget);
  void Note(const OpenRequest& request, const AttemptEnded& ended);
  void TellDeaths(const std::vector<TargetCrash>& deaths);
  void NoteShed(const OpenRequest& request,
                const AttemptEnded& ended,
                TargetView& target);
  bool MayRunAgain(const OpenRequest& request) const;
  void RefuseOpen(const OpenRequest& request, const Error& error);
  void EndExpired();
  void Close(const OpenRequest& request);
  std::optional<Duration> RetryAfter(const OpenRequest& request,
                                     ErrorKind kind);

  void Log(const char* reason,
           const RequestId& request,
           std::vector<LogField> fields);

  const EntrySettings settings;
  TimePoint now{};
  TimePoint began{};  ///< When the first event came.
  std::vector<EntryEffect> effects;

  ActiveConfigurationPtr configuration;
  TimePoint configured_at{};
  std::set<DataCentreId> evacuated;
  FleetPtr fleet;
  std::map<TargetId, TargetView> targets;
  std::map<ServiceId, std::vector<TargetId>> targets_of;
  ModelLocations whereabouts;

  SharesChanged shares;
  std::map<CustomerId, CustomerShare> customer_shares;
  std::map<CustomerId, RefusedDraw> refused_draws;
  std::map<ServiceId, RetryBudget> budgets;
  PoisonRequestDetector suspects;
  WarmupPermits permits;

  std::map<ModelPath, ModelUsage> uses;  ///< Since the last report.
  std::map<CustomerId, Demand> demands;
  TimePoint usage_reported{};

  Requests requests;
  std::map<LineKey, Line> lines;
  std::set<std::pair<TimePoint, RequestId>> expiries;
  std::uint64_t last_number = 0;
  bool is_stopping = false;
  TimePoint stopped_at{};
  TimePoint waits_end = TimePoint::max();  ///< Of all requests, at a stop.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_CORE_H_
