#include "cicadaloft/routing/target_view.h"

#include <algorithm>
#include <chrono>

#include "cicadaloft/core/half_life.h"

namespace cicadaloft {
namespace {

/// Half-life of the other hosts' requests in a target's load report: about the
/// duration of a short response.
constexpr Duration kLoadHalfLife = std::chrono::milliseconds(500);

/// A record of a cold target may be this old, since a heartbeat may be late by
/// as much.
constexpr Duration kColdRecordDelay = std::chrono::milliseconds(500);

/// How long it takes until a record shows that a target has become cold. The
/// target's next heartbeat comes up to about 1.2 s later, and hosts read the
/// registry up to 1.05 s after that.
constexpr Duration kColdReportDelay = std::chrono::milliseconds(2500);

}  // namespace

void TargetView::Update(TargetRecordPtr record, TimePoint now) {
  const bool is_new_process =
      record->instance != this->current_record->instance;
  if (is_new_process) {
    this->ejection_state = Ejection();
    this->observed_notices = ObservedNotices();
    this->observed_capacity = TargetCapacity();
    this->observed_brittle_bound = BrittleBound();
    this->other_hosts_load = 0;
  }
  if (record->cold_remaining > Duration::zero()) {
    this->cold_until = std::max(
        this->cold_until, now + record->cold_remaining + kColdRecordDelay);
  }
  this->current_record = std::move(record);
}

void TargetView::PresumeCold(TimePoint now) {
  this->cold_until = std::max(this->cold_until, now + kColdReportDelay);
}

void TargetView::OnRequestEnd() {
  this->in_flight_count -= this->in_flight_count > 0 ? 1 : 0;
}

void TargetView::OnLoadReport(const TargetLoad& load, TimePoint now) {
  const double all = static_cast<double>(load.running) + load.waiting;
  this->other_hosts_load = std::max(0.0, all - this->in_flight_count);
  this->load_reported_at = now;
}

double TargetView::EstimatedLoad(TimePoint now) const {
  return this->in_flight_count +
         this->other_hosts_load *
             DecayFactor(now - this->load_reported_at, kLoadHalfLife);
}

}  // namespace cicadaloft
