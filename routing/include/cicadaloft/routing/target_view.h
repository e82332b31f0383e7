#ifndef CICADALOFT_ROUTING_TARGET_VIEW_H_
#define CICADALOFT_ROUTING_TARGET_VIEW_H_

#include <algorithm>
#include <cstdint>
#include <utility>

#include "cicadaloft/core/time.h"
#include "cicadaloft/fleet/target_record.h"
#include "cicadaloft/routing/brittle_bound.h"
#include "cicadaloft/routing/ejection.h"
#include "cicadaloft/routing/target_capacity.h"
#include "cicadaloft/routing/target_load.h"
#include "cicadaloft/routing/target_notice.h"

namespace cicadaloft {

/// What one host knows of a target: its record, and its load and failures as
/// seen from this host.
class TargetView {
 public:
  /// @param notices what the process has said earlier.
  explicit TargetView(TargetRecordPtr record, ObservedNotices notices = {})
      : current_record(std::move(record)), observed_notices(notices) {}

  const TargetRecord& record() const { return *this->current_record; }
  const TargetRecordPtr& record_ptr() const { return this->current_record; }
  /// Replaces the record by a newer one.
  void Update(TargetRecordPtr record, TimePoint now);

  void OnDispatch() { ++this->in_flight_count; }
  /// A request has ended, with whatever outcome.
  void OnRequestEnd();
  void OnLoadReport(const TargetLoad& load, TimePoint now);

  void OnSuccess() { this->ejection_state.OnSuccess(); }
  void OnFailure(TimePoint now) { this->ejection_state.OnFailure(now); }
  void OnOverload(TimePoint now) { this->ejection_state.OnOverload(now); }
  /// Its failures since then were not its own.
  void LiftEjection(TimePoint since) { this->ejection_state.LiftSince(since); }
  const Ejection& ejection() const { return this->ejection_state; }

  /// @return whether the target leaves by this notice and did not before.
  bool OnNotice(const TargetNotice& notice, TimePoint now) {
    return this->observed_notices.Add(notice, now);
  }
  /// The process has answered. @return whether it has become brittle, or has
  /// ceased to be.
  bool OnAnswer(const TargetNotice& notice, TimePoint now) {
    return this->observed_notices.OnAnswer(notice, now);
  }
  const ObservedNotices& notices() const { return this->observed_notices; }

  /// Used while the target is brittle.
  BrittleBound& brittle_bound() { return this->observed_brittle_bound; }
  const BrittleBound& brittle_bound() const {
    return this->observed_brittle_bound;
  }
  /// @return the last load report, without this host's requests.
  BrittleBound::Report LoadReport() const {
    return {.other_hosts_load = this->other_hosts_load,
            .reported_at = this->load_reported_at};
  }

  /// @return the estimated number of requests at the target: those of this
  /// host, plus those of other hosts by its last load report, which decays with
  /// age.
  double EstimatedLoad(TimePoint now) const;
  std::uint32_t in_flight() const { return this->in_flight_count; }

  /// Used where targets state their work time.
  TargetCapacity& capacity() { return this->observed_capacity; }
  const TargetCapacity& capacity() const { return this->observed_capacity; }

  /// The target may have become cold: treats it as cold until its record must
  /// show that.
  void PresumeCold(TimePoint now);
  /// @return whether the target is taken to be cold, and so tolerates little
  /// work.
  bool IsCold(TimePoint now) const { return now < this->cold_until; }
  /// @return how much longer the target is taken to be cold; 0 if it is not.
  Duration ColdRemaining(TimePoint now) const {
    return std::max(Duration::zero(), this->cold_until - now);
  }

 private:
  TargetRecordPtr current_record;
  Ejection ejection_state;
  ObservedNotices observed_notices;
  TargetCapacity observed_capacity;
  BrittleBound observed_brittle_bound;
  std::uint32_t in_flight_count = 0;
  /// Requests of other hosts, by the last load report.
  double other_hosts_load = 0;
  TimePoint load_reported_at{};
  TimePoint cold_until{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_VIEW_H_
