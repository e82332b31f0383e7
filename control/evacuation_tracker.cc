#include "cicadaloft/control/evacuation_tracker.h"

#include <cstddef>
#include <utility>

namespace cicadaloft {

void EvacuationTracker::OnRead(const EvacuationsRead& read, TimePoint now) {
  const std::set<DataCentreId> before =
      std::exchange(this->evacuated, read.data_centres);
  if (read.is_restored) {
    for (const DataCentreId& data_centre : before) {
      this->lost.insert_or_assign(data_centre, now + kGracePeriod);
    }
  }
  std::erase_if(this->lost, [&](const auto& entry) {
    return read.data_centres.contains(entry.first);
  });
  for (const auto& [data_centre, until] : this->lost) {
    this->evacuated.insert(data_centre);
  }
}

bool EvacuationTracker::Tick(TimePoint now) {
  const std::size_t ended = std::erase_if(this->lost, [&](const auto& entry) {
    const bool has_ended = now >= entry.second;
    if (has_ended) {
      this->evacuated.erase(entry.first);
    }
    return has_ended;
  });
  return ended > 0;
}

}  // namespace cicadaloft
