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
#include "target_tracker.h"
#include "target_index.h"

namespace cicadaloft {

/// The decisions of the order-giver, an event at a time.
class PlacementCore {
 public:
  void Take(const PlacementStarted& begins);
  void Take(const PlacementStopped& ends);
  void Take(const ConfigurationChanged& change);
  void Take(const EvacuationsChanged& change);
  void Take(const FleetChanged& change);
  void Take(const HostModelLoadRequest& asked);
  void Take(const ModelUsageReport& report);
  void Take(const OrderEnded& ended);
  void Take(const TargetReportReceived& read);
  void Take(const TargetReportFailed& failed);
  void Take(const PlacementTick& tick);

  void SetNow(TimePoint time) { this->now = time; }
  std::vector<PlacementEffect> TakeEffects() {
    return std::exchange(this->effects, {});
  }

 private:
  struct Want {
    ServiceId service;
    Duration latency_objective{};
    TimePoint asked_at{};
    TimePoint first_asked{};
    std::set<HostId> asked_by;
    std::set<TargetId> denied_by;  ///< Targets that hold it by the books only.
    std::optional<TargetId> chosen;      ///< Where room is being made for it.
    std::optional<TargetId> ordered_on;  ///< Where the last order for it went.
  };
  /// A target on which a model could be loaded.
  struct Site {
    TargetBook* book = nullptr;
    WeightSource source = WeightSource::kStore;
    std::vector<ModelPath> victims;  ///< To be unloaded first.
    double cost = 0;  ///< In seconds of waiting, of this and of the victims.
  };

  // Knowledge.
  const Model* FindModel(const ServiceId& service, const ModelId& model) const;
  const Engine* FindEngine(const ServiceId& service) const;
  bool IsUsable(const TargetBook& book) const;
  std::uint32_t LoadedTargets(const ServiceId& service,
                              const ModelPath& path) const;
  double UsedMb(const TargetBook& book) const;
  std::uint32_t AdaptersOn(const TargetBook& book) const;
  static Duration LoadTime(const Model& model, WeightSource source);
  std::uint32_t StoreLoads() const;

  // Keeps the indexes in step with a book that has changed.
  void Index(const TargetBook& book);

  // Decisions.
  void Plan();
  void AskReports();
  void DropOldWants();
  void ServeInOrder(const std::vector<ModelPath>& paths);
  void ServeAfterOrder(const TargetId& target);
  void LeaveSite(const TargetId& target);
  void NoteOutcome(TargetBook& book,
                   const SendOrder& order,
                   OrderOutcome outcome);
  bool Serve(const ModelPath& path, Want& want);
  bool IsOrdered(const ModelPath& path) const;
  bool ServeHeld(const ModelPath& path, const Want& want);
  bool ServeModel(const ModelPath& path, Want& want);
  bool IsClaimed(const TargetId& target, const Want& by) const;
  bool ServeAdapter(const ModelPath& path, Want& want);
  std::optional<Site> FindSite(const ModelPath& path, const Want& want);
  template <typename Targets>
  std::optional<Site> BestSite(const Targets& targets,
                               const Model& model,
                               const Want& want);
  bool MayLoadFromStore(const Engine& engine);
  std::optional<Site> SiteOn(TargetBook& book,
                             const Model& model,
                             const Engine& engine);
  double ValueOf(const ModelPath& path, const TargetBook& book) const;
  std::uint32_t Swaps() const;
  std::uint32_t TargetsOf(const ServiceId& service) const;
  bool IsFarCopy(const ModelPath& path, const TargetBook& book) const;
  void LogWaiting();
  void FillFreeRoom();
  bool HasRoomFor(const TargetBook& book,
                  const Model& model,
                  const Engine& engine) const;
  void FillOne(TargetBook& book, const Engine& engine);
  void Order(TargetBook& book,
             OrderKind kind,
             const ModelPath& path,
             const char* reason);
  /// Hosts that ask for the path or use it.
  std::set<HostId> ConcernedBy(const ModelPath& path) const;
  void Tell(const TargetBook& book,
            const ModelPath& path,
            bool is_load,
            Duration ready_in,
            std::set<HostId> hosts);
  void Log(const char* reason, std::vector<LogField> fields);

  TimePoint now{};
  std::vector<PlacementEffect> effects;
  FencingToken token;  ///< 0: this host gives no orders.
  ActiveConfigurationPtr configuration;
  std::set<DataCentreId> evacuated;
  FleetPtr fleet;
  std::map<TargetId, TargetBook> books;
  TargetIndex<ModelPath> holders;  ///< Targets that hold it or will.
  TargetIndex<ModelId> copies;     ///< Targets that can load it at once.
  std::map<ModelPath, Want> wants;
  UsageHistory history;
  StoreLoadBudget budget;
  TimePoint filled_at{};
  TimePoint waiting_logged{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_PLACEMENT_CORE_H_
