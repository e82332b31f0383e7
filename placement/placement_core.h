#ifndef CICADALOFT_PLACEMENT_PLACEMENT_CORE_H_
#define CICADALOFT_PLACEMENT_PLACEMENT_CORE_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cicadaloft/placement/messages.h"
#include "cicadaloft/placement/store_load_budget.h"
#include "cicadaloft/placement/usage_history.h"
#include "store_load_monitor.h"
#include "target_index.h"
#include "target_tracker.h"

namespace cicadaloft {

/// Placement decisions of the lease holder; handles one event at a time.
class PlacementCore {
 public:
  void Handle(const PlacementStarted& started);
  void Handle(const PlacementStopped& stopped);
  void Handle(const ConfigurationChanged& change);
  void Handle(const EvacuationsChanged& change);
  void Handle(const FleetChanged& change);
  void Handle(const HostModelLoadRequest& host_request);
  void Handle(const ModelUsageReport& report);
  void Handle(const OrderEnded& ended);
  void Handle(const TargetReportReceived& received);
  void Handle(const TargetReportFailed& failed);
  void Handle(const PlacementTick& tick);

  void SetNow(TimePoint time) { this->now = time; }
  std::vector<PlacementEffect> TakeEffects() {
    return std::exchange(this->effects, {});
  }

 private:
  /// What hosts request. Requests for a version and those for any version are
  /// served apart, so that neither wait for targets that only the others need.
  struct DemandKey {
    ModelPath path;
    std::optional<SoftwareVersion> software;  ///< None: any version serves.

    friend auto operator<=>(const DemandKey&, const DemandKey&) = default;
    friend bool operator==(const DemandKey&, const DemandKey&) = default;
  };
  /// A model or adapter that hosts request and that is not placed yet.
  struct Demand {
    ServiceId service;
    std::optional<SoftwareVersion> software;  ///< None: any version serves.
    Duration latency_objective{};
    TimePoint last_requested_at{};
    TimePoint first_requested_at{};
    std::set<HostId> requested_by;
    std::set<TargetId> denied_by;  ///< They deny it, though tracked as loaded.
    std::optional<TargetId> reserved_target;  ///< Frees memory for it.
    std::optional<TargetId> ordered_target;   ///< Of its last order.
  };
  /// A target that could load a model.
  struct Candidate {
    TargetTracker* tracker = nullptr;
    WeightSource source = WeightSource::kStore;
    std::vector<ModelPath> victims;  ///< To be unloaded first.
    double cost = 0;  ///< In seconds of waiting; includes the victims.
  };

  // Queries.
  const Model* FindModel(const ServiceId& service, const ModelId& model) const;
  const Engine* FindEngine(const ServiceId& service) const;
  bool IsUsable(const TargetTracker& tracker) const;
  /// @return whether the target could serve those who wait for the demand.
  bool MayServe(const TargetTracker& tracker, const Demand& demand) const;
  std::uint32_t LoadedTargetCount(const ServiceId& service,
                                  const ModelPath& path) const;
  double UsedMb(const TargetTracker& tracker) const;
  std::uint32_t AdapterCountOn(const TargetTracker& tracker) const;
  static Duration LoadTime(const Model& model, WeightSource source);
  std::uint32_t StoreLoadCount() const;
  /// Ends the measurement of a load from the weight store.
  void RecordStoreLoad(const TargetId& target);
  /// Checks which loads from the weight store the registry shows to have ended.
  void CheckStoreLoads();
  void PublishStoreLoadLimit();

  // Must be called after each change of a tracker.
  void UpdateIndexes(const TargetTracker& tracker);

  // Decisions.
  void Plan();
  void RequestReports();
  void DropExpiredDemands();
  void ServeByDeadline(const std::vector<DemandKey>& keys);
  void ServeDemandsOrderedOn(const TargetId& target);
  void ReleaseReservations(const TargetId& target);
  void RecordOutcome(TargetTracker& tracker,
                     const SendOrder& order,
                     OrderOutcome outcome);
  bool Serve(const ModelPath& path, Demand& demand);
  bool IsLoadOrderPending(const ModelPath& path, const Demand& demand) const;
  /// Ends the demands that a load of the path on the target serves.
  void EndDemands(const ModelPath& path, const TargetTracker& tracker);
  bool AnnounceLoaded(const ModelPath& path, const Demand& demand);
  bool PlaceModel(const ModelPath& path, Demand& demand);
  bool IsReserved(const TargetId& target, const Demand& demand) const;
  bool PlaceAdapter(const ModelPath& path, Demand& demand);
  std::optional<Candidate> FindCandidate(const ModelPath& path,
                                         const Demand& demand);
  template <typename Targets>
  std::optional<Candidate> BestCandidate(const Targets& targets,
                                         const Model& model,
                                         const Demand& demand);
  bool CanLoadFromStore(const Engine& engine);
  std::optional<Candidate> CandidateOn(TargetTracker& tracker,
                                       const Model& model,
                                       const Engine& engine);
  double UnloadCost(const ModelPath& path, const TargetTracker& tracker) const;
  std::uint32_t ReservationCount() const;
  std::uint32_t UsableTargetCount(const ServiceId& service) const;
  bool IsOnlyReplicaInDataCentre(const ModelPath& path,
                                 const TargetTracker& tracker) const;
  void LogWaiting();
  void FillFreeMemory();
  bool HasMemoryFor(const TargetTracker& tracker,
                    const Model& model,
                    const Engine& engine) const;
  void FillTarget(TargetTracker& tracker, const Engine& engine);
  void IssueOrder(TargetTracker& tracker,
                  OrderKind kind,
                  const ModelPath& path,
                  const char* event);
  /// @return hosts that request the path or use it.
  std::set<HostId> InterestedHosts(const ModelPath& path) const;
  void NotifyHosts(const TargetTracker& tracker,
                   const ModelPath& path,
                   bool is_load,
                   Duration ready_in,
                   std::set<HostId> hosts);
  void LogDecision(const char* event, std::vector<LogField> fields);

  TimePoint now{};
  std::vector<PlacementEffect> effects;
  FencingToken token;  ///< 0: this host sends no orders.
  ActiveConfigurationPtr configuration;
  std::set<DataCentreId> evacuated;
  FleetPtr fleet;
  std::map<TargetId, TargetTracker> trackers;
  TargetIndex<ModelPath> loaded_targets;   ///< Loaded, or ordered.
  TargetIndex<ModelId> targets_with_copy;  ///< In memory or on disk.
  std::map<DemandKey, Demand> demands;
  UsageHistory history;
  StoreLoadBudget store_load_budget;
  StoreLoadMonitor store_loads;
  std::optional<std::uint32_t> published_limit;
  TimePoint last_fill_at{};
  TimePoint last_waiting_log_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_PLACEMENT_CORE_H_
