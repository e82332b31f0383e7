#include "target_tracker.h"

#include <algorithm>
#include <chrono>

namespace cicadaloft {
namespace {

/// Reports are a few hundred ms old; one that is asked for sooner after an
/// unclear order could be from before it.
constexpr Duration kReportDelay = std::chrono::milliseconds(350);
/// A report that has not come by then is asked for again.
constexpr Duration kReportAgain = std::chrono::milliseconds(1500);
/// While a target says that it is busy.
constexpr Duration kBusyReport = std::chrono::milliseconds(400);

/// Orders in a row without an answer after which a report is asked for.
constexpr int kMostSilentOrders = 3;
/// After an unload, which takes effect when the runs have ended.
constexpr Duration kUnloadRest = std::chrono::milliseconds(10);
constexpr Duration kConflictRest = std::chrono::milliseconds(100);
/// Within which an order is answered by a target that lives, as a rule.
constexpr Duration kAnswerTime = std::chrono::milliseconds(50);
/// Longer than most runs last.
constexpr Duration kUnloadTerm = std::chrono::seconds(4);

}  // namespace

bool TargetBook::IsFree(TimePoint now) const {
  return this->is_known && !this->unanswered && !this->under_way &&
         now >= this->rests_until;
}

Duration TargetBook::UntilFree(TimePoint now) const {
  // One that has just left an order without an answer may be dead.
  if (!this->is_known || this->silent_orders > 0) {
    return this->IsFree(now) ? Duration::zero() : Duration::max();
  }
  Duration until = std::max(Duration::zero(), this->rests_until - now);
  if (this->under_way) {
    until = std::max(until, this->under_way->ready_at - now);
  }
  return this->unanswered ? std::max(until, kAnswerTime) : until;
}

bool TargetBook::NeedsReport(TimePoint now) const {
  return !this->is_known && !this->unanswered && now >= this->report_due;
}

bool TargetBook::IsComing(const ModelPath& path) const {
  const bool is_ordered = this->unanswered &&
                          this->unanswered->kind == OrderKind::kLoad &&
                          this->unanswered->path == path;
  return is_ordered || (this->under_way && this->under_way->path == path);
}

TimePoint TargetBook::LoadedAt(const ModelPath& path) const {
  const auto found = this->loaded_at.find(path);
  return found == this->loaded_at.end() ? TimePoint{} : found->second;
}

WeightSource TargetBook::SourceOf(const ModelId& model) const {
  if (std::ranges::binary_search(this->known.in_memory, model)) {
    return WeightSource::kMemory;
  }
  return std::ranges::binary_search(this->known.on_disk, model)
             ? WeightSource::kDisk
             : WeightSource::kStore;
}

std::set<ModelPath> TargetBook::HeldOrOrdered() const {
  std::set<ModelPath> all = this->paths;
  if (this->unanswered && this->unanswered->kind == OrderKind::kLoad) {
    all.insert(this->unanswered->path);
  }
  return all;
}

std::set<ModelId> TargetBook::Copies() const {
  std::set<ModelId> copies(this->known.in_memory.begin(),
                           this->known.in_memory.end());
  copies.insert(this->known.on_disk.begin(), this->known.on_disk.end());
  return copies;
}

void TargetBook::OnRecord(const TargetRecordPtr& record, TimePoint now) {
  const bool is_new_process = record->instance != this->known.instance;
  this->told = record;
  this->known = *record;
  if (is_new_process) {
    this->orders = OrderSequence();
    this->unanswered.reset();
    this->paths = {record->loaded.begin(), record->loaded.end()};
    this->Doubt(now);
    return;
  }
  const bool is_done =
      this->under_way &&
      std::ranges::binary_search(record->loaded, this->under_way->path);
  if (is_done) {
    this->under_way.reset();
  }
}

void TargetBook::OnReportAsked(TimePoint now) {
  this->report_due = now + kReportAgain;
}

void TargetBook::OnReport(const TargetReport& report, TimePoint now) {
  const bool is_other = report.instance != TargetInstance() &&
                        report.instance != this->known.instance;
  if (is_other || this->unanswered || report.sequence < this->orders) {
    this->report_due = now + kReportDelay;
    return;
  }
  this->orders = report.sequence;
  this->known.in_memory = report.in_memory;
  this->known.on_disk = report.on_disk;
  this->paths = {report.loaded.begin(), report.loaded.end()};
  this->paths.insert(report.loading.begin(), report.loading.end());
  this->under_way.reset();
  this->is_known = !report.is_busy;
  this->report_due = now + kBusyReport;
}

void TargetBook::Doubt(TimePoint next_report) {
  this->is_known = false;
  this->under_way.reset();
  this->report_due = next_report;
}

void TargetBook::OnAccepted(WeightSource source,
                            Duration ready_in,
                            TimePoint now) {
  const SendOrder order = *this->unanswered;
  this->unanswered.reset();
  this->silent_orders = 0;
  this->orders = order.expected_sequence.Next();
  if (order.kind == OrderKind::kUnload) {
    this->Drop(order.path);
    if (!order.path.IsAdapter()) {
      this->rests_until = now + kUnloadRest;
      this->unload_settles = now + kUnloadTerm;
    }
    return;
  }
  this->paths.insert(order.path);
  this->loaded_at[order.path] = now + ready_in;
  if (!order.path.IsAdapter()) {
    this->under_way = Loading{
        .path = order.path, .ready_at = now + ready_in, .source = source};
  }
}

void TargetBook::OnAlready(TimePoint now) {
  const SendOrder order = *this->unanswered;
  this->unanswered.reset();
  if (order.kind == OrderKind::kUnload) {
    this->Drop(order.path);
  } else {
    this->paths.insert(order.path);
  }
  // Whether the order counted in the sequence shows in the next report.
  this->Doubt(now + kReportDelay);
}

void TargetBook::OnConflict(TimePoint now) {
  if (now >= this->unload_settles) {
    this->OnUnclear(now);
    return;
  }
  this->unanswered.reset();
  this->rests_until = now + kConflictRest;
}

void TargetBook::OnNoAnswer(TimePoint now) {
  this->unanswered.reset();
  this->unload_settles = TimePoint{};
  ++this->silent_orders;
  // A target that goes on saying nothing may be dead.
  if (this->silent_orders >= kMostSilentOrders) {
    this->silent_orders = 0;
    this->Doubt(now + kReportDelay);
  }
}

void TargetBook::OnUnclear(TimePoint now) {
  this->unanswered.reset();
  this->Doubt(now + kReportDelay);
}

void TargetBook::Tick(TimePoint now) {
  if (this->under_way && now >= this->under_way->ready_at) {
    this->under_way.reset();
  }
}

void TargetBook::Drop(const ModelPath& path) {
  std::erase_if(this->loaded_at, [&](const auto& entry) {
    return path.IsAdapter() ? entry.first == path
                            : entry.first.model == path.model;
  });
  std::erase_if(this->paths, [&](const ModelPath& held) {
    return path.IsAdapter() ? held == path : held.model == path.model;
  });
}

}  // namespace cicadaloft
