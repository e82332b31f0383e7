#ifndef CICADALOFT_ADMISSION_SHARE_LEDGER_H_
#define CICADALOFT_ADMISSION_SHARE_LEDGER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/admission/customer_share.h"
#include "cicadaloft/admission/share_messages.h"

namespace cicadaloft {

/// A customer and its limit.
struct LimitedCustomer {
  CustomerId id;
  CustomerLimit limit;

  friend auto operator<=>(const LimitedCustomer&,
                          const LimitedCustomer&) = default;
  friend bool operator==(const LimitedCustomer&,
                         const LimitedCustomer&) = default;
};

/// Divides customers' limits among the hosts, at the lease holder. Each host is
/// granted a share that it will most likely use. What is granted to no host is
/// a pool from which hosts request quota for single requests, so that a
/// customer gets its limit wherever its requests arrive. A share grows only by
/// what other hosts have confirmed to have released, or have let expire, and by
/// what the pool has not used, so that the sum never exceeds 1, whatever
/// messages are lost.
class ShareLedger {
 public:
  /// A host without a report for this time is assumed to take no requests.
  static constexpr Duration kHostTimeout = std::chrono::seconds(5);
  /// Demand of this age counts half.
  static constexpr Duration kDemandHalfLife = std::chrono::seconds(2);
  /// The same where many hosts share a limit, so that each has few requests to
  /// predict from, and demand comes in waves of some seconds.
  static constexpr Duration kSteadyDemandHalfLife = std::chrono::seconds(8);

  /// A host without a report for this time is no longer counted when limits are
  /// divided evenly. Until then it may be disconnected and still use its equal
  /// share.
  static constexpr Duration kMembershipTimeout = std::chrono::seconds(60);

  /// @param limit_window window over which customers' limits are enforced.
  explicit ShareLedger(Duration limit_window) : limit_window(limit_window) {}

  /// Begins a term as lease holder. Shares that an earlier holder has granted
  /// may be in use until they expire. Hosts state them in their reports; a host
  /// that has not reported is assumed to use an equal share.
  /// @param previous_host_count hosts that the earlier holder knew; 0: there
  /// was none.
  /// @param usage what that holder recorded as used.
  void BeginTerm(std::uint32_t previous_host_count,
                 LimitUsage usage,
                 TimePoint now);
  void OnReport(const DemandReport& report, TimePoint now);
  /// A host tells what earlier holders have granted it of their pools. Only the
  /// first such message of a host in a term counts.
  void OnHistory(const QuotaHistory& history, TimePoint now);
  /// The link to the host is down: it may connect to another lease holder.
  void OnLinkDown(const HostId& host);

  /// Divides the customers' limits again.
  /// @param is_lease_valid whether no other host can hold the lease. If not,
  /// limits are granted only in proportion to the hosts that still have a link:
  /// the others may have another lease holder.
  /// @return a grant for each host that takes requests.
  std::map<HostId, ShareGrant> Divide(
      const std::vector<LimitedCustomer>& customers,
      bool is_lease_valid,
      TimePoint now);

  /// Charges the cost of a request to the pool if as much remains there.
  /// Only customers that were passed to Divide() are known; others are denied.
  QuotaReply HandleQuotaRequest(const QuotaRequest& request, TimePoint now);

  /// @return what hosts have used of customers' limits in the window.
  LimitUsage Usage(TimePoint now);

  /// @return the number of hosts that may take requests; at least 1.
  std::uint32_t HostCount(TimePoint now) const;

  /// @return the highest number of cores that a host has reported; 0: none has.
  double MaxCores() const;

 private:
  /// A share without headroom is what a host will use even if its requests are
  /// fewer than expected by this many standard deviations, assuming that they
  /// arrive independently.
  static constexpr double kStandardDeviations = 2;

  /// What a host is expected to use, as fractions of the limit.
  struct Prediction {
    double mean = 0;
    double deviation = 0;  ///< Standard deviation.
    double requests = 0;   ///< Their number.
  };
  struct DesiredShares {
    std::map<HostId, double> shares;
    /// Smaller shares, in requests of mean cost, aren't granted.
    double min_requests = 0;
    /// What the pool keeps, beyond what it has used, while shares grow.
    double pool_reserve = 0;
  };
  /// Both decay with a half-life.
  struct Demand {
    double cost = 0;
    double requests = 0;
  };
  struct Grant {
    std::uint64_t number = 0;
    TimePoint sent_at{};
    std::map<CustomerId, double> shares;
  };
  struct Host {
    TimePoint last_report_at{};
    bool is_linked = true;
    double cores = 0;
    std::map<CustomerId, Demand> demand;
    std::map<CustomerId, Demand> steady_demand;
    /// The newest confirmed grant first, then later ones that may be in use.
    std::deque<Grant> grants;
    /// Shares that it uses, or has used in the window, as last reported.
    std::map<CustomerId, double> shares_in_use;
    /// Fraction of each limit that it has used, as last reported.
    std::map<CustomerId, double> used_fractions;
  };

  bool TakesRequests(const Host& host, TimePoint now) const;
  double ReportedFraction(TimePoint now) const;
  double LinkedFraction(TimePoint now) const;
  double FractionInWindow(TimePoint ended, TimePoint now) const;
  double Outstanding(const Host& host,
                     const CustomerId& customer,
                     TimePoint now) const;
  double TotalOutstanding(const CustomerId& customer, TimePoint now) const;
  static void Decay(std::map<CustomerId, Demand>& demands, double factor);
  static double PredictedUsage(const Host& host,
                               const LimitedCustomer& customer);
  static double MeanCost(const Host& host, const LimitedCustomer& customer);
  static Prediction Predict(const Host& host, const LimitedCustomer& customer);
  DesiredShares ChooseShares(const LimitedCustomer& customer,
                             const std::map<HostId, Grant>& grants,
                             double grantable,
                             TimePoint now) const;
  DesiredShares SharesWithHeadroom(const LimitedCustomer& customer,
                                   const std::map<HostId, Grant>& grants,
                                   double grantable) const;
  DesiredShares SharesSurelyUsed(const LimitedCustomer& customer,
                                 const std::map<HostId, Grant>& grants,
                                 double grantable) const;
  void DivideLimit(const LimitedCustomer& customer,
                   std::map<HostId, Grant>& grants,
                   double usable_fraction,
                   TimePoint now);
  CustomerShare& PoolOf(const CustomerId& customer);
  double UnexplainedUsage(const LimitedCustomer& customer) const;

  Duration limit_window;
  std::map<HostId, Host> hosts;
  std::uint64_t last_grant_number = 0;
  std::uint32_t expected_host_count = 0;
  TimePoint term_began_at{};
  LimitUsage usage_before_term;
  std::map<CustomerId, CustomerShare> pools;
  /// Hosts whose history is known in this term.
  std::set<HostId> hosts_with_history;
  /// Costs granted before this term, by the hosts' histories, in the window
  /// that ended when the term began.
  std::map<CustomerId, double> charged_before_term;
  /// When all grants of an earlier lease holder have expired.
  TimePoint previous_grants_expire_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_SHARE_LEDGER_H_
