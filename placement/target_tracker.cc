#include "target_tracker.h"

#include <algorithm>
#include <chrono>

namespace cicadaloft {
namespace {

/// Reports are a few hundred ms old; one requested sooner after an order with
/// an unknown outcome could predate it.
constexpr Duration kReportDelay = std::chrono::milliseconds(350);
/// A report that has not arrived by then is requested again.
constexpr Duration kReportRetryInterval = std::chrono::milliseconds(1500);
/// Between two report requests while a target reports that it is busy.
constexpr Duration kBusyReportInterval = std::chrono::milliseconds(400);

/// Consecutive unanswered orders after which a report is requested.
constexpr int kMaxUnansweredOrders = 3;
/// An unload takes effect when the running requests have ended.
constexpr Duration kPauseAfterUnload = std::chrono::milliseconds(10);
constexpr Duration kPauseAfterConflict = std::chrono::milliseconds(100);
/// Within which a live target usually answers an order.
constexpr Duration kTypicalAnswerTime = std::chrono::milliseconds(50);
/// A conflict within this time after an unload may be due to it: longer than
/// most requests run.
constexpr Duration kUnloadConflictWindow = std::chrono::seconds(4);

}  // namespace

bool TargetTracker::IsFree(TimePoint now) const {
  return this->is_state_known && !this->pending && !this->current_load &&
         now >= this->paused_until;
}

Duration TargetTracker::TimeUntilFree(TimePoint now) const {
  // A target that has just left an order unanswered may have crashed.
  if (!this->is_state_known || this->unanswered_order_count > 0) {
    return this->IsFree(now) ? Duration::zero() : Duration::max();
  }
  Duration wait = std::max(Duration::zero(), this->paused_until - now);
  if (this->current_load) {
    wait = std::max(wait, this->current_load->ready_at - now);
  }
  return this->pending ? std::max(wait, kTypicalAnswerTime) : wait;
}

bool TargetTracker::NeedsReport(TimePoint now) const {
  return !this->is_state_known && !this->pending && now >= this->report_due;
}

bool TargetTracker::IsLoadingOrOrdered(const ModelPath& path) const {
  const bool is_ordered = this->pending &&
                          this->pending->kind == OrderKind::kLoad &&
                          this->pending->path == path;
  return is_ordered || (this->current_load && this->current_load->path == path);
}

TimePoint TargetTracker::LoadedAt(const ModelPath& path) const {
  const auto found = this->loaded_at.find(path);
  return found == this->loaded_at.end() ? TimePoint{} : found->second;
}

WeightSource TargetTracker::SourceOf(const ModelId& model) const {
  if (std::ranges::binary_search(this->corrected_record.in_memory, model)) {
    return WeightSource::kMemory;
  }
  return std::ranges::binary_search(this->corrected_record.on_disk, model)
             ? WeightSource::kDisk
             : WeightSource::kStore;
}

std::set<ModelPath> TargetTracker::LoadedOrOrderedPaths() const {
  std::set<ModelPath> result = this->known_paths;
  if (this->pending && this->pending->kind == OrderKind::kLoad) {
    result.insert(this->pending->path);
  }
  return result;
}

std::set<ModelId> TargetTracker::ModelsWithCopy() const {
  std::set<ModelId> models(this->corrected_record.in_memory.begin(),
                           this->corrected_record.in_memory.end());
  models.insert(this->corrected_record.on_disk.begin(),
                this->corrected_record.on_disk.end());
  return models;
}

void TargetTracker::OnRecord(const TargetRecordPtr& record, TimePoint now) {
  const bool is_new_instance =
      record->instance != this->corrected_record.instance;
  this->latest_record = record;
  this->corrected_record = *record;
  if (is_new_instance) {
    this->known_sequence = OrderSequence();
    this->pending.reset();
    this->known_paths = {record->loaded.begin(), record->loaded.end()};
    this->MarkStateUnknown(now);
    return;
  }
  const bool is_load_done =
      this->current_load &&
      std::ranges::binary_search(record->loaded, this->current_load->path);
  if (is_load_done) {
    this->current_load.reset();
  }
}

void TargetTracker::OnReportRequested(TimePoint now) {
  this->report_due = now + kReportRetryInterval;
}

void TargetTracker::OnReport(const TargetReport& report, TimePoint now) {
  const bool is_other_process =
      report.instance != TargetInstance() &&
      report.instance != this->corrected_record.instance;
  if (is_other_process || this->pending ||
      report.sequence < this->known_sequence) {
    this->report_due = now + kReportDelay;
    return;
  }
  this->known_sequence = report.sequence;
  this->corrected_record.in_memory = report.in_memory;
  this->corrected_record.on_disk = report.on_disk;
  this->known_paths = {report.loaded.begin(), report.loaded.end()};
  this->known_paths.insert(report.loading.begin(), report.loading.end());
  this->current_load.reset();
  this->is_state_known = !report.is_busy;
  this->report_due = now + kBusyReportInterval;
}

void TargetTracker::MarkStateUnknown(TimePoint next_report) {
  this->is_state_known = false;
  this->current_load.reset();
  this->report_due = next_report;
}

void TargetTracker::OnAccepted(WeightSource source,
                               Duration ready_in,
                               TimePoint now) {
  const SendOrder order = *this->pending;
  this->pending.reset();
  this->unanswered_order_count = 0;
  this->known_sequence = order.expected_sequence.Next();
  if (order.kind == OrderKind::kUnload) {
    this->RemovePath(order.path);
    if (!order.path.IsAdapter()) {
      this->paused_until = now + kPauseAfterUnload;
      this->unload_settled_by = now + kUnloadConflictWindow;
    }
    return;
  }
  this->known_paths.insert(order.path);
  this->loaded_at[order.path] = now + ready_in;
  if (!order.path.IsAdapter()) {
    this->current_load = Loading{
        .path = order.path, .ready_at = now + ready_in, .source = source};
  }
}

void TargetTracker::OnAlready(TimePoint now) {
  const SendOrder order = *this->pending;
  this->pending.reset();
  if (order.kind == OrderKind::kUnload) {
    this->RemovePath(order.path);
  } else {
    this->known_paths.insert(order.path);
  }
  // The next report shows whether the order counted in the sequence.
  this->MarkStateUnknown(now + kReportDelay);
}

void TargetTracker::OnConflict(TimePoint now) {
  if (now >= this->unload_settled_by) {
    this->OnOutcomeUnknown(now);
    return;
  }
  this->pending.reset();
  this->paused_until = now + kPauseAfterConflict;
}

void TargetTracker::OnNoAnswer(TimePoint now) {
  this->pending.reset();
  this->unload_settled_by = TimePoint{};
  ++this->unanswered_order_count;
  // A target that keeps leaving orders unanswered may have crashed.
  if (this->unanswered_order_count >= kMaxUnansweredOrders) {
    this->unanswered_order_count = 0;
    this->MarkStateUnknown(now + kReportDelay);
  }
}

void TargetTracker::OnOutcomeUnknown(TimePoint now) {
  this->pending.reset();
  this->MarkStateUnknown(now + kReportDelay);
}

void TargetTracker::Tick(TimePoint now) {
  if (this->current_load && now >= this->current_load->ready_at) {
    this->current_load.reset();
  }
}

void TargetTracker::RemovePath(const ModelPath& path) {
  std::erase_if(this->loaded_at, [&](const auto& entry) {
    return path.IsAdapter() ? entry.first == path
                            : entry.first.model == path.model;
  });
  std::erase_if(this->known_paths, [&](const ModelPath& known_path) {
    return path.IsAdapter() ? known_path == path
                            : known_path.model == path.model;
  });
}

}  // namespace cicadaloft
