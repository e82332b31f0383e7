#ifndef CICADALOFT_PLACEMENT_USAGE_HISTORY_H_
#define CICADALOFT_PLACEMENT_USAGE_HISTORY_H_

#include <cstdint>
#include <map>
#include <set>

#include "cicadaloft/core/time.h"
#include "cicadaloft/placement/messages.h"

namespace cicadaloft {

/// How much each model and adapter is used, over all hosts. What an adapter is
/// used counts for its model as well. A question costs the same for any number
/// of hosts.
class UsageHistory {
 public:
  /// What is older counts half. Demand moves between models within seconds.
  static constexpr Duration kHalfLife = std::chrono::seconds(8);
  /// A host that has not reported for so long runs nothing that counts. Above
  /// the longest time between two reports of one host.
  static constexpr Duration kReportTtl = std::chrono::seconds(5);

  /// A host's report replaces what it ran by its last one.
  void Add(const ModelUsageReport& report, TimePoint now);
  /// Drops what hosts ran that have fallen silent.
  void DropExpired(TimePoint now);

  /// @return requests a second, lately.
  double RequestRate(const ModelPath& path, TimePoint now) const;
  /// @return part of the requests that are awaited at a screen, from 0 to 1.
  double UrgentFraction(const ModelPath& path) const;
  /// @return requests running now, by the hosts' last reports.
  std::uint32_t RunningCount(const ModelPath& path) const;
  /// @return when it was last asked for; the beginning of time if never.
  TimePoint LastUse(const ModelPath& path) const;
  /// @return hosts that have reported use of it within kReportTtl.
  std::set<HostId> HostsUsing(const ModelPath& path, TimePoint now) const;
  /// The path has just been asked for.
  void RecordRequest(const ModelPath& path, TimePoint now);

 private:
  struct Use {
    double weight = 0;  ///< Faded count of requests.
    double urgent = 0;
    TimePoint counted_at{};
    TimePoint last_use{};
    std::uint32_t running = 0;  ///< Over all hosts.
    std::map<HostId, TimePoint> users;
  };
  struct HostReport {
    TimePoint at{};
    std::map<ModelPath, std::uint32_t> running;
  };

  void Count(const ModelUsageReport& report,
             const ModelUsage& sum,
             TimePoint now);
  void Forget(const HostReport& report);

  std::map<ModelPath, Use> uses;
  std::map<HostId, HostReport> reports;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_USAGE_HISTORY_H_
