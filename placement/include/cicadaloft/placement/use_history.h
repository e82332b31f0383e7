#ifndef CICADALOFT_PLACEMENT_USE_HISTORY_H_
#define CICADALOFT_PLACEMENT_USE_HISTORY_H_

#include <map>

#include "cicadaloft/core/time.h"
#include "cicadaloft/placement/messages.h"

namespace cicadaloft {

/// How much each model and adapter is used, over all hosts. What an adapter is
/// used counts for its model as well.
class UseHistory {
 public:
  /// What is older counts half. Demand moves between models within seconds.
  static constexpr Duration kHalfLife = std::chrono::seconds(8);

  void Add(const UseReported& report, TimePoint now);

  /// @return requests a second, lately.
  double Rate(const ModelPath& path, TimePoint now) const;
  /// @return part of the requests that are awaited at a screen, from 0 to 1.
  double UrgentPart(const ModelPath& path) const;
  /// @return requests running now, by the hosts' last reports.
  std::uint32_t Running(const ModelPath& path, TimePoint now) const;
  /// @return when it was last asked for; the beginning of time if never.
  TimePoint LastUse(const ModelPath& path) const;
  /// The path has just been asked for.
  void Touch(const ModelPath& path, TimePoint now);

 private:
  struct Use {
    double weight = 0;  ///< Faded count of requests.
    double urgent = 0;
    TimePoint counted_at{};
    TimePoint last_use{};
    std::map<HostId, std::pair<TimePoint, std::uint32_t>> running;
  };

  std::map<ModelPath, Use> uses;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_USE_HISTORY_H_
