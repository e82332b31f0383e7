#include "cicadaloft/routing/target_view.h"

#include <algorithm>
#include <chrono>

#include "cicadaloft/core/half_life.h"

namespace cicadaloft {
namespace {

/// What a target has told of others' work is half as sure after this time:
/// about the length of a short answer.
constexpr Duration kLoadHalfLife = std::chrono::milliseconds(500);

/// Records of coldness are as old as a beat may be late.
constexpr Duration kColdMargin = std::chrono::milliseconds(500);

/// A target that has become cold says so with its next beat, some 1.2 s later,
/// and hosts read the registry up to 1.05 s after that.
constexpr Duration kColdNewsTerm = std::chrono::milliseconds(2500);

}  // namespace

void TargetView::Update(TargetRecordPtr record, TimePoint now) {
  const bool is_new_process = record->instance != this->known->instance;
  if (is_new_process) {
    this->ejected = Ejection();
    this->others = 0;
  }
  if (record->cold_remaining > Duration::zero()) {
    this->cold_until =
        std::max(this->cold_until, now + record->cold_remaining + kColdMargin);
  }
  this->known = std::move(record);
}

void TargetView::PresumeCold(TimePoint now) {
  this->cold_until = std::max(this->cold_until, now + kColdNewsTerm);
}

void TargetView::OnRequestEnd() {
  this->own -= this->own > 0 ? 1 : 0;
}

void TargetView::OnLoadReport(const TargetLoad& load, TimePoint now) {
  const double all = static_cast<double>(load.running) + load.waiting;
  this->others = std::max(0.0, all - this->own);
  this->told_at = now;
}

double TargetView::EstimatedLoad(TimePoint now) const {
  return this->own +
         this->others * DecayFactor(now - this->told_at, kLoadHalfLife);
}

}  // namespace cicadaloft
