#ifndef CICADALOFT_PLACEMENT_USAGE_HISTORY_H_
#define CICADALOFT_PLACEMENT_USAGE_HISTORY_H_

#include <cstdint>
#include <map>
#include <set>

#include "cicadaloft/core/time.h"
#include "cicadaloft/placement/messages.h"

namespace cicadaloft {

/// Usage of each model and adapter, summed over all hosts. The usage of an
/// adapter also counts for its model. The sums are updated with each report, so
/// that the cost of RequestRate() and RunningCount() does not depend on the
/// number of hosts.
class UsageHistory {
 public:
  /// Requests of this age count half. Demand shifts between models within
  /// seconds.
  static constexpr Duration kHalfLife = std::chrono::seconds(8);
  /// The running requests of a host without a report for this long are not
  /// counted. It is above the longest interval between two reports of one host.
  static constexpr Duration kReportTtl = std::chrono::seconds(5);

  /// Adds a host's report. Its running requests replace those of its last
  /// report.
  void Add(const ModelUsageReport& report, TimePoint now);
  /// Drops the running requests of hosts whose last report has expired.
  void DropExpired(TimePoint now);

  /// @return requests per second, weighted by age.
  double RequestRate(const ModelPath& path, TimePoint now) const;
  /// @return fraction of the requests that a user waits for, from 0 to 1.
  double InteractiveFraction(const ModelPath& path) const;
  /// @return requests running now, according to the hosts' last reports.
  std::uint32_t RunningCount(const ModelPath& path) const;
  /// @return when it was last requested or reported as running; TimePoint{} if
  /// never.
  TimePoint LastUse(const ModelPath& path) const;
  /// @return hosts that have reported its usage within kReportTtl.
  std::set<HostId> HostsUsing(const ModelPath& path, TimePoint now) const;
  /// Records that the path was requested now.
  void RecordRequest(const ModelPath& path, TimePoint now);

 private:
  struct Usage {
    double request_weight = 0;  ///< Decayed number of requests.
    double interactive_weight = 0;
    TimePoint updated_at{};
    TimePoint last_use{};
    std::uint32_t running = 0;          ///< Over all hosts.
    std::map<HostId, TimePoint> hosts;  ///< With the last report of usage.
  };
  struct HostReport {
    TimePoint received_at{};
    std::map<ModelPath, std::uint32_t> running;
  };

  void AddUsage(const ModelUsageReport& report,
                const ModelUsage& total,
                TimePoint now);
  void SubtractRunning(const HostReport& report);

  std::map<ModelPath, Usage> usages;
  std::map<HostId, HostReport> reports;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_USAGE_HISTORY_H_
