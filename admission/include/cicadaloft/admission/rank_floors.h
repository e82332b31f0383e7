#ifndef CICADALOFT_ADMISSION_RANK_FLOORS_H_
#define CICADALOFT_ADMISSION_RANK_FLOORS_H_

#include <map>
#include <vector>

#include "cicadaloft/admission/queue_place.h"
#include "cicadaloft/admission/rank.h"

namespace cicadaloft {

/// A rank with waiting items.
struct RankContender {
  Rank rank;
  bool has_large = false;  ///< Whether an item of the largest tenth waits.

  friend auto operator<=>(const RankContender&, const RankContender&) = default;
  friend bool operator==(const RankContender&, const RankContender&) = default;
};

/// Decides which rank of a service is served next: the first one, unless
/// another has fallen behind its minimum. One for all queues of the service,
/// since a queue lasts only as long as requests wait in it.
class RankFloors {
 public:
  void OnArrival(const Rank& rank);
  /// @param contenders those that waited, in ascending order; not empty.
  Rank Pick(const std::vector<RankContender>& contenders) const;
  /// @return whether the rank serves an item of the largest tenth next.
  bool IsLargeDue(const Rank& rank) const;
  /// @param contenders those that waited before `served` was served.
  void OnServed(const std::vector<RankContender>& contenders,
                const RankedPlace& served);

 private:
  struct State {
    double arrivals = 0;  ///< Decays as requests arrive.
    /// Items that it is behind its minimum.
    double deficit = 0;
    double large_deficit = 0;
  };

  double DeficitOf(const Rank& rank) const;

  std::map<Rank, State> states;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_RANK_FLOORS_H_
