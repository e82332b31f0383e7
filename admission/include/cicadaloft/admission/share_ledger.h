#ifndef CICADALOFT_ADMISSION_SHARE_LEDGER_H_
#define CICADALOFT_ADMISSION_SHARE_LEDGER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/admission/share_messages.h"

namespace cicadaloft {

/// The holder's account of customers' shares. A host's share grows only by what
/// others have confirmed to have given up, or have let lapse, so that the sum
/// over hosts never exceeds 1, whatever messages are lost.
class ShareLedger {
 public:
  /// A host that has not reported for so long takes no requests.
  static constexpr Duration kHostTerm = std::chrono::seconds(5);
  /// Demand that is older counts half.
  static constexpr Duration kHalfLife = std::chrono::seconds(2);

  /// A host that has been silent for so long no longer counts for what is
  /// divided evenly: it may be cut off, and use its part.
  static constexpr Duration kMemberTerm = std::chrono::seconds(60);

  /// @param limit_window in which customers' limits are kept.
  explicit ShareLedger(Duration limit_window) : limit_window(limit_window) {}

  /// Begins a tenure. What an earlier holder has granted may be in use until it
  /// lapses; hosts tell of it in their reports, and a host that has not is
  /// taken to use its even part.
  /// @param hosts_before hosts that the earlier holder knew; 0: there was none.
  /// @param silent_for how long that holder can't have granted anything.
  /// @param spent what that holder told to be spent.
  void Begin(std::uint32_t hosts_before,
             Duration silent_for,
             SpentLimits spent,
             TimePoint now);
  void OnReport(const DemandReported& report, TimePoint now);

  /// Divides the customers' limits anew.
  /// @return a grant for each host that takes requests.
  std::map<HostId, SharesGranted> Divide(
      const std::vector<CustomerId>& customers,
      TimePoint now);

  /// @return what hosts have spent of customers' limits in the window.
  SpentLimits Spent(TimePoint now) const;

  /// @return hosts that may take requests; at least 1.
  std::uint32_t HostCount(TimePoint now) const;

 private:
  struct Grant {
    std::uint64_t number = 0;
    TimePoint sent_at{};
    std::map<CustomerId, double> shares;
  };
  struct Host {
    TimePoint heard_at{};
    std::map<CustomerId, double> demand;  ///< Faded.
    /// The newest confirmed grant first, then those that may be in use.
    std::deque<Grant> grants;
    /// What it uses, or has spent in the window, by its last report.
    std::map<CustomerId, double> held;
    std::map<CustomerId, double> spent;  ///< By its last report.
  };

  double ToldPart(TimePoint now) const;
  double InWindow(TimePoint ended, TimePoint now) const;
  double Outstanding(const Host& host,
                     const CustomerId& customer,
                     TimePoint now) const;
  std::map<CustomerId, double> Wanted(const HostId& id,
                                      const std::vector<CustomerId>& customers,
                                      TimePoint now) const;

  Duration limit_window;
  std::map<HostId, Host> hosts;
  std::uint64_t last_number = 0;
  std::uint32_t expected_hosts = 0;
  TimePoint began{};
  SpentLimits spent_before;
  TimePoint lapsed_at{};  ///< When what an earlier holder granted has lapsed.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_SHARE_LEDGER_H_
