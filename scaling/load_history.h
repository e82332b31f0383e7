#ifndef CICADALOFT_SCALING_LOAD_HISTORY_H_
#define CICADALOFT_SCALING_LOAD_HISTORY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"

namespace cicadaloft {

/// Load of one service over all hosts, in requests that run at once, and its
/// peak over the last waves of demand.
class LoadHistory {
 public:
  /// Covers three waves of 13 s, the longest period of the deployments.
  static constexpr Duration kPeakWindow = std::chrono::seconds(40);
  /// Above the longest interval between two reports of one host.
  static constexpr Duration kReportTtl = std::chrono::seconds(5);

  /// Replaces the host's last report.
  void Add(const HostId& host, const ServiceLoad& load, TimePoint now);
  /// Drops expired reports, and records the load at this time.
  void Sample(TimePoint now);

  /// @return the mean of the three seconds with the highest load within
  /// kPeakWindow.
  double Peak() const;
  /// @return the same for what runs on the targets of one data centre.
  double PeakIn(const DataCentreId& data_centre) const;

 private:
  struct HostLoad {
    TimePoint received_at{};
    double waiting = 0;
    std::map<DataCentreId, double> running;
  };
  /// Sums over the samples of one second.
  struct Second {
    TimePoint began_at{};
    std::uint32_t samples = 0;
    double load = 0;
    std::map<DataCentreId, double> running;
  };

  double Load() const;
  template <typename Value>
  double MeanOfHighest(Value value) const;

  std::map<HostId, HostLoad> hosts;
  std::deque<Second> seconds;  ///< Oldest first.
  double arrival_weight = 0;   ///< Decayed number of requests.
  double start_weight = 0;     ///< Decayed number of attempts.
  TimePoint weights_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_SCALING_LOAD_HISTORY_H_
