#ifndef CICADALOFT_USAGE_USAGE_LEDGER_H_
#define CICADALOFT_USAGE_USAGE_LEDGER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/usage/messages.h"
#include "cicadaloft/usage/usage_settings.h"

namespace cicadaloft {

/// The sums of a window over all hosts, and how complete they are.
struct WindowSum {
  UsageByCustomer counts;
  std::uint64_t total = 0;
  std::size_t host_count = 0;
  /// Processes whose counts of the window may still come.
  std::size_t awaited_processes = 0;
  /// Estimated fraction of the true total that is missing.
  double missing_fraction = 0;
  /// Since the last message of the process that has been silent for longest.
  Duration input_age{};

  friend auto operator<=>(const WindowSum&, const WindowSum&) = default;
  friend bool operator==(const WindowSum&, const WindowSum&) = default;
};

/// Counts of all hosts, by process and window.
class UsageLedger {
 public:
  explicit UsageLedger(UsageSettings settings);

  void OnCounts(const UsageCountsReceived& received, TimePoint now);
  void OnLinkChanged(const UsageLinkChanged& change, TimePoint now);

  /// This host holds the lease.
  void OnTermBegan();
  /// This host no longer holds the lease: hosts close their links to it in
  /// order to connect to a successor.
  void OnTermEnded();
  /// The lease has another holder. Links to the last one are closed after this.
  void OnHolderChanged();

  /// Sums a window that has ended.
  /// @param unknown_hosts hosts that take requests and have sent nothing.
  WindowSum Sum(UsageWindow window,
                std::size_t unknown_hosts,
                TimePoint now) const;

  /// Deletes the customers' counts up to a window that is in the store. Later
  /// counts for these windows are ignored.
  void Forget(UsageWindow last_window);
  /// Deletes processes that have been silent for long, and windows that can no
  /// longer be reported.
  void ForgetOld(UsageWindow oldest_window, TimePoint now);

  /// @return the first window that any process has counted.
  std::optional<UsageWindow> FirstWindow() const;
  std::size_t HostCount() const;
  /// @return hosts with a link that have sent counts.
  std::set<HostId> LinkedHosts() const;
  /// @return the newest counts of each process but this host's own, for a new
  /// lease holder.
  std::vector<UsageCounts> CountsOfOthers(TimePoint now) const;
  /// @return the wall time by the median of the hosts' own clocks, or none
  /// without enough hosts to tell which clocks are off.
  std::optional<Duration> MedianTime(TimePoint now) const;

 private:
  struct ProcessKey {
    HostId host;
    std::uint64_t process = 0;

    friend auto operator<=>(const ProcessKey&, const ProcessKey&) = default;
  };
  struct Process {
    UsageCounts counts;  ///< Of the newest message; windows of all messages.
    /// Of windows whose customers' counts may be deleted.
    std::map<UsageWindow, std::uint64_t> totals;
    TimePoint heard_at{};    ///< From itself, or first from another host.
    bool is_direct = false;  ///< Heard from itself.
    bool has_link = false;
    /// A closed link doesn't show that the process has ended.
    bool is_closing_expected = false;
    /// Wall time by its own clock minus the time of events, from the message
    /// that was on its way for the shortest time.
    Duration clock_offset{};
    TimePoint clock_offset_at{};
    /// When its link went down, if not by silence.
    std::optional<TimePoint> closed_at;
  };

  void OnHeardFrom(const UsageCountsReceived& received,
                   Process& process,
                   TimePoint now);
  bool IsNewest(const ProcessKey& key) const;
  /// @return whether a newer process of the host has sent counts, or the
  /// process has closed its link and not connected again.
  bool HasClosed(const ProcessKey& key,
                 const Process& process,
                 TimePoint now) const;
  /// @return whether processes that are silent for long are taken for ended:
  /// not if this host may itself be cut off from the others.
  bool DoesSilenceCount(TimePoint now) const;
  Duration UncountedTime(UsageWindow window, const Process& process) const;
  /// @return requests per second; none if it has not counted for long enough.
  std::optional<double> Rate(const Process& process) const;

  UsageSettings settings;
  std::map<ProcessKey, Process> processes;
  bool is_in_term = false;
  UsageWindow first_kept;  ///< Counts of earlier windows are ignored.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_USAGE_LEDGER_H_
