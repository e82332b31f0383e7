#ifndef CICADALOFT_CONTROL_EVACUATION_TRACKER_H_
#define CICADALOFT_CONTROL_EVACUATION_TRACKER_H_

#include <chrono>
#include <map>
#include <set>

#include "cicadaloft/control/messages.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// The data centres that are to be evacuated. A request that was lost when the
/// store came back from an older copy stays in force for kGracePeriod, so that
/// the operator can write it again. One that was withdrawn and has come back is
/// in force until its deletion is written again: nothing tells them apart.
class EvacuationTracker {
 public:
  /// By the platform's contract, what was acknowledged and lost is written
  /// again within this time after the store has come back.
  static constexpr Duration kGracePeriod = std::chrono::seconds(2);

  void Add(const DataCentreId& data_centre) {
    this->evacuated.insert(data_centre);
    this->lost.erase(data_centre);
  }
  void Remove(const DataCentreId& data_centre) {
    this->evacuated.erase(data_centre);
    this->lost.erase(data_centre);
  }
  /// Replaces the requests by those that were read.
  void OnRead(const EvacuationsRead& read, TimePoint now);
  /// Drops the lost requests whose grace period has ended.
  /// @return whether there were any.
  bool Tick(TimePoint now);

  const std::set<DataCentreId>& data_centres() const { return this->evacuated; }

 private:
  std::set<DataCentreId> evacuated;
  /// Those in `evacuated` that the store lacks, and when they end.
  std::map<DataCentreId, TimePoint> lost;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_EVACUATION_TRACKER_H_
