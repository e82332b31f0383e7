#include "cicadaloft/routing/target_view.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cicadaloft {
namespace {

/// A report may be older than the target's own denial by this much.
constexpr Duration kReportLag = std::chrono::seconds(1);

/// Weight of the newest answer in the mean time of an answer.
constexpr double kNewestWeight = 0.1;

}  // namespace

void TargetView::Configure(std::shared_ptr<const Target> item,
                           const RampBounds& bounds) {
  this->target_item = std::move(item);
  this->ramp.SetBounds(bounds);
}

void TargetView::OnInstance(TargetInstance instance) {
  if (instance <= this->last_instance) {
    return;
  }
  this->last_instance = instance;
  this->ramp.Restart();
  this->ejected.Forget();
  this->hints.clear();
  this->denials.clear();
  this->reported_load = 0;
  this->sent_since_report = 0;
}

bool TargetView::OnReport(const TargetReport& report, TimePoint now) {
  if (report.instance < this->last_instance) {
    return false;
  }
  this->OnInstance(report.instance);
  this->reported_load = report.running + report.queued;
  this->sent_since_report = 0;
  std::erase_if(this->denials, [&](const auto& denial) {
    return now - denial.second >= kReportLag;
  });
  return true;
}

bool TargetView::SetHint(const ModelId& model, LoadHint hint) {
  if (this->denials.contains(model) || this->HintOf(model) == hint) {
    return false;
  }
  this->hints.insert_or_assign(model, hint);
  return true;
}

void TargetView::DropHint(const ModelId& model) {
  this->hints.erase(model);
  this->denials.erase(model);
}

void TargetView::DropHints() {
  this->hints.clear();
  this->denials.clear();
}

std::optional<LoadHint> TargetView::HintOf(const ModelId& model) const {
  const auto found = this->hints.find(model);
  if (found == this->hints.end()) {
    return std::nullopt;
  }
  return found->second;
}

void TargetView::OnNotLoaded(const ModelId& model, TimePoint now) {
  this->hints.insert_or_assign(model, LoadHint::kNotLoaded);
  this->denials.insert_or_assign(model, now);
}

void TargetView::OnDispatch() {
  ++this->running;
  ++this->sent_since_report;
}

void TargetView::OnEnd() {
  --this->running;
  --this->sent_since_report;
}

void TargetView::OnGoodAnswer(Duration took) {
  const double seconds = std::chrono::duration<double>(took).count();
  this->seconds_per_answer +=
      kNewestWeight * (seconds - this->seconds_per_answer);
  this->ramp.OnGoodAnswer();
  this->ejected.OnGoodAnswer();
}

void TargetView::OnFailure(TimePoint now) {
  this->ejected.OnFailure(now);
  if (this->ejected.IsEjected(now)) {
    this->ramp.Restart();
  }
}

void TargetView::OnOverload(TimePoint now) {
  this->ejected.OnOverload(now);
  this->ramp.OnOverload();
}

std::uint32_t TargetView::OwnRoom() const {
  return this->HasOwnRoom() ? this->ramp.limit() - this->used : 0;
}

void TargetView::FreeRoom() {
  this->used -= std::min<std::uint32_t>(this->used, 1);
}

double TargetView::ExpectedCompletion() const {
  const std::int64_t corrected = this->reported_load + this->sent_since_report;
  const auto load = std::max<std::int64_t>(corrected, this->running);
  const double slots =
      this->target_item == nullptr
          ? 1
          : std::max<std::uint32_t>(this->target_item->max_concurrency, 1);
  return (static_cast<double>(load) + 1) / slots * this->seconds_per_answer;
}

}  // namespace cicadaloft
