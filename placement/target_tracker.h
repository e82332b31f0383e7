#ifndef CICADALOFT_PLACEMENT_TARGET_TRACKER_H_
#define CICADALOFT_PLACEMENT_TARGET_TRACKER_H_

#include <map>
#include <optional>
#include <set>

#include "cicadaloft/placement/messages.h"

namespace cicadaloft {

/// Where a model's weights come from when a target loads it.
enum class WeightSource { kMemory, kDisk, kStore };

/// What the order-giver knows of one target. Memory is reckoned from what the
/// target holds at a known sequence; each order names that sequence, so at most
/// one of several orders that were given on the same knowledge is carried out.
class TargetBook {
 public:
  explicit TargetBook(const TargetRecordPtr& record)
      : told(record),
        known(*record),
        paths(record->loaded.begin(), record->loaded.end()) {}

  struct Loading {
    ModelPath path;
    TimePoint ready_at{};
    WeightSource source = WeightSource::kDisk;
  };

  const TargetRecord& record() const { return this->known; }
  /// @return the registry's newest record.
  const TargetRecordPtr& told_record() const { return this->told; }
  OrderSequence sequence() const { return this->orders; }
  const std::set<ModelPath>& held() const { return this->paths; }
  const std::optional<Loading>& loading() const { return this->under_way; }
  /// @return when its load was, or will be, done; the beginning of time for
  /// what was there before.
  TimePoint LoadedAt(const ModelPath& path) const;
  const std::optional<SendOrder>& pending() const { return this->unanswered; }

  /// @return whether it is known what the target holds.
  bool IsKnown() const { return this->is_known; }
  /// @return whether orders may be given: what it holds is known, and none is
  /// under way.
  bool IsFree(TimePoint now) const;
  /// @return how long until orders may be given; the longest time if that can't
  /// be told.
  Duration UntilFree(TimePoint now) const;
  /// @return whether its report has to be asked for.
  bool NeedsReport(TimePoint now) const;
  bool Holds(const ModelPath& path) const { return this->paths.contains(path); }
  /// @return what it holds, and what it has been ordered to load.
  std::set<ModelPath> HeldOrOrdered() const;
  /// @return the models of which it has a copy, in memory or on disk.
  std::set<ModelId> Copies() const;
  /// @return whether a load of the path is under way, or its order unanswered.
  bool IsComing(const ModelPath& path) const;
  WeightSource SourceOf(const ModelId& model) const;

  /// Takes the registry's newest record over.
  void OnRecord(const TargetRecordPtr& record, TimePoint now);
  void OnReportAsked(TimePoint now);
  void OnReport(const TargetReport& report, TimePoint now);
  /// Nothing is taken as known until the next report.
  void Doubt(TimePoint next_report);

  void OnOrderSent(const SendOrder& order) { this->unanswered = order; }
  /// @param ready_in until a load is expected to be done.
  void OnAccepted(WeightSource source, Duration ready_in, TimePoint now);
  void OnAlready(TimePoint now);
  /// The target refuses since an order is under way, or has come in between.
  void OnConflict(TimePoint now);
  /// Whether the order counts, or still will, is not known. What the target
  /// holds at the known sequence stays known: another order that names it is
  /// refused if the first one has counted, and keeps it from counting if not.
  void OnNoAnswer(TimePoint now);
  void OnUnclear(TimePoint now);
  /// Loads that should be done by now are taken as done.
  void Tick(TimePoint now);

 private:
  void Drop(const ModelPath& path);

  TargetRecordPtr told;
  TargetRecord known;  ///< That record, corrected by newer reports.
  OrderSequence orders;
  std::set<ModelPath> paths;
  std::map<ModelPath, TimePoint> loaded_at;
  std::optional<Loading> under_way;
  std::optional<SendOrder> unanswered;
  bool is_known = false;
  int silent_orders = 0;  ///< In a row.
  TimePoint report_due{};
  TimePoint rests_until{};     ///< No orders before.
  TimePoint unload_settles{};  ///< An unload may be waiting for its runs.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_TARGET_TRACKER_H_
