#ifndef CICADALOFT_ROUTING_TARGET_VIEW_H_
#define CICADALOFT_ROUTING_TARGET_VIEW_H_

#include <algorithm>
#include <cstdint>
#include <utility>

#include "cicadaloft/core/time.h"
#include "cicadaloft/fleet/target_record.h"
#include "cicadaloft/routing/ejection.h"
#include "cicadaloft/routing/target_load.h"

namespace cicadaloft {

/// All that one host knows of a target beyond the register.
class TargetView {
 public:
  explicit TargetView(TargetRecordPtr record) : known(std::move(record)) {}

  const TargetRecord& record() const { return *this->known; }
  const TargetRecordPtr& record_ptr() const { return this->known; }
  /// Takes a newer record over.
  void Update(TargetRecordPtr record, TimePoint now);

  void OnDispatch() { ++this->own; }
  /// A request has ended, however.
  void OnRequestEnd();
  void OnLoadReport(const TargetLoad& load, TimePoint now);

  void OnSuccess() { this->ejected.OnSuccess(); }
  void OnFailure(TimePoint now) { this->ejected.OnFailure(now); }
  void OnOverload(TimePoint now) { this->ejected.OnOverload(now); }
  const Ejection& ejection() const { return this->ejected; }

  /// @return requests there by the best estimate: the own ones, and those of
  /// others as they were told, faded with the telling's age.
  double EstimatedLoad(TimePoint now) const;
  std::uint32_t in_flight() const { return this->own; }

  /// It may have become cold: takes it to be so until its record must have
  /// told.
  void PresumeCold(TimePoint now);
  /// @return whether it tolerates little work.
  bool IsCold(TimePoint now) const { return now < this->cold_until; }
  /// @return how much longer it is taken to be cold; 0: it is not.
  Duration ColdRemaining(TimePoint now) const {
    return std::max(Duration::zero(), this->cold_until - now);
  }

 private:
  TargetRecordPtr known;
  Ejection ejected;
  std::uint32_t own = 0;
  double others = 0;  ///< Requests of other hosts, when last told.
  TimePoint told_at{};
  TimePoint cold_until{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_TARGET_VIEW_H_
