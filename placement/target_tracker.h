#ifndef CICADALOFT_PLACEMENT_TARGET_TRACKER_H_
#define CICADALOFT_PLACEMENT_TARGET_TRACKER_H_

#include <map>
#include <optional>
#include <set>

#include "cicadaloft/placement/messages.h"

namespace cicadaloft {

/// Where a model's weights come from when a target loads it.
enum class WeightSource { kMemory, kDisk, kStore };

/// State of one target as the lease holder tracks it. Memory use is computed
/// from the paths that are loaded at a known sequence. Each order contains that
/// sequence, so that the target executes at most one of several orders based on
/// the same state.
class TargetTracker {
 public:
  explicit TargetTracker(const TargetRecordPtr& record)
      : latest_record(record),
        corrected_record(*record),
        known_paths(record->loaded.begin(), record->loaded.end()) {}

  struct Loading {
    ModelPath path;
    TimePoint ready_at{};
    WeightSource source = WeightSource::kDisk;
  };

  const TargetRecord& record() const { return this->corrected_record; }
  /// @return the registry's newest record.
  const TargetRecordPtr& registry_record() const { return this->latest_record; }
  OrderSequence sequence() const { return this->known_sequence; }
  const std::set<ModelPath>& paths() const { return this->known_paths; }
  const std::optional<Loading>& loading() const { return this->current_load; }
  /// @return when its load finished or is expected to finish; TimePoint{} if it
  /// was loaded before this host sent orders.
  TimePoint LoadedAt(const ModelPath& path) const;
  const std::optional<SendOrder>& pending_order() const {
    return this->pending;
  }

  /// @return whether the loaded paths and the sequence are known, and the
  /// target did not report that it is busy.
  bool IsStateKnown() const { return this->is_state_known; }
  /// @return whether an order may be sent: the state is known, and no order is
  /// in progress.
  bool IsFree(TimePoint now) const;
  /// @return the time until an order may be sent; Duration::max() if unknown.
  Duration TimeUntilFree(TimePoint now) const;
  /// @return whether its report has to be requested.
  bool NeedsReport(TimePoint now) const;
  bool HasPath(const ModelPath& path) const {
    return this->known_paths.contains(path);
  }
  /// @return the loaded paths, and the one that it has been ordered to load.
  std::set<ModelPath> LoadedOrOrderedPaths() const;
  /// @return the models of which it has a copy, in memory or on disk.
  std::set<ModelId> ModelsWithCopy() const;
  /// @return whether the path is being loaded, or the order to load it is
  /// unanswered.
  bool IsLoadingOrOrdered(const ModelPath& path) const;
  WeightSource SourceOf(const ModelId& model) const;

  /// Replaces the record by the registry's newest one.
  void OnRecord(const TargetRecordPtr& record, TimePoint now);
  void OnReportRequested(TimePoint now);
  void OnReport(const TargetReport& report, TimePoint now);
  /// Marks the state as unknown until the next report.
  /// @param next_report when the report may be requested.
  void MarkStateUnknown(TimePoint next_report);

  void OnOrderSent(const SendOrder& order) { this->pending = order; }
  /// @param ready_in time until a load is expected to finish.
  void OnAccepted(WeightSource source, Duration ready_in, TimePoint now);
  void OnAlready(TimePoint now);
  /// The target refused the order since another one is running or was accepted
  /// in between.
  void OnConflict(TimePoint now);
  /// The target may have accepted the order, or may still do so. The tracked
  /// paths and sequence stay valid: if the order was accepted, the target
  /// refuses another one with the same sequence; otherwise, accepting the other
  /// one makes it refuse the first one.
  void OnNoAnswer(TimePoint now);
  /// The order failed or its effect is unknown: no order is sent before the
  /// next report.
  void OnOutcomeUnknown(TimePoint now);
  /// Treats a load as finished once its expected time is over.
  void Tick(TimePoint now);

 private:
  void RemovePath(const ModelPath& path);

  TargetRecordPtr latest_record;
  TargetRecord corrected_record;  ///< The latest, corrected by reports.
  OrderSequence known_sequence;
  std::set<ModelPath> known_paths;
  std::map<ModelPath, TimePoint> loaded_at;
  std::optional<Loading> current_load;
  std::optional<SendOrder> pending;
  bool is_state_known = false;
  int unanswered_order_count = 0;  ///< Consecutive ones.
  TimePoint report_due{};
  TimePoint paused_until{};       ///< No order is sent before.
  TimePoint unload_settled_by{};  ///< Until then requests may delay an unload.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_TARGET_TRACKER_H_
