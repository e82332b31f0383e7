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

/// The holder's account of customers' limits. Each host is granted a share of
/// what it will most likely use. What is granted to nobody is a pool from which
/// hosts draw for single requests, so that a customer gets its limit wherever
/// its requests arrive. A share grows only by what others have confirmed to
/// have given up, or have let lapse, and by what the pool has not spent, so
/// that the sum never exceeds 1, whatever messages are lost.
class ShareLedger {
 public:
  /// A host that has not reported for so long takes no requests.
  static constexpr Duration kHostTimeout = std::chrono::seconds(5);
  /// Demand that is older counts half.
  static constexpr Duration kDemandHalfLife = std::chrono::seconds(2);

  /// A host that has been silent for so long no longer counts for what is
  /// divided evenly: it may be cut off, and use its part.
  static constexpr Duration kMembershipTimeout = std::chrono::seconds(60);

  /// @param limit_window in which customers' limits are kept.
  explicit ShareLedger(Duration limit_window) : limit_window(limit_window) {}

  /// Begins a tenure. What an earlier holder has granted may be in use until it
  /// lapses; hosts tell of it in their reports, and a host that has not is
  /// taken to use its even part.
  /// @param hosts_before hosts that the earlier holder knew; 0: there was none.
  /// @param spent what that holder told to be spent.
  void BeginTerm(std::uint32_t hosts_before, LimitUsage spent, TimePoint now);
  void OnReport(const DemandReport& report, TimePoint now);
  /// The link to the host is down: it may turn to another holder.
  void OnLinkDown(const HostId& host);

  /// Divides the customers' limits anew.
  /// @param is_lease_valid whether nobody else can be the holder. Without, only
  /// the part of the hosts that still have a link is given out: the others may
  /// have another holder.
  /// @return a grant for each host that takes requests.
  std::map<HostId, ShareGrant> Divide(
      const std::vector<LimitedCustomer>& customers,
      bool is_lease_valid,
      TimePoint now);

  /// Takes the cost of a request from the pool if there is as much. Customers
  /// are known from the last division.
  QuotaReply HandleQuotaRequest(const QuotaRequest& asked, TimePoint now);

  /// @return what hosts have spent of customers' limits in the window.
  LimitUsage Usage(TimePoint now);

  /// @return hosts that may take requests; at least 1.
  std::uint32_t HostCount(TimePoint now) const;

  /// @return the most cores that a host has told to have; 0: none has.
  double MaxCores() const;

 private:
  /// Both faded.
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
    TimePoint heard_at{};
    bool is_linked = true;
    double cores = 0;
    std::map<CustomerId, Demand> demand;
    /// The newest confirmed grant first, then those that may be in use.
    std::deque<Grant> grants;
    /// What it uses, or has spent in the window, by its last report.
    std::map<CustomerId, double> held;
    std::map<CustomerId, double> spent;  ///< By its last report.
  };

  bool TakesRequests(const Host& host, TimePoint now) const;
  double ToldPart(TimePoint now) const;
  double LinkedPart(TimePoint now) const;
  double InWindow(TimePoint ended, TimePoint now) const;
  double Outstanding(const Host& host,
                     const CustomerId& customer,
                     TimePoint now) const;
  double AllOutstanding(const CustomerId& customer, TimePoint now) const;
  static double LikelyUse(const Host& host, const LimitedCustomer& customer);
  static double MeanCost(const Host& host, const LimitedCustomer& customer);
  void DivideOne(const LimitedCustomer& customer,
                 std::map<HostId, Grant>& grants,
                 double part,
                 TimePoint now);
  CustomerShare& PoolOf(const CustomerId& customer);

  Duration limit_window;
  std::map<HostId, Host> hosts;
  std::uint64_t last_number = 0;
  std::uint32_t expected_hosts = 0;
  TimePoint began{};
  LimitUsage spent_before;
  std::map<CustomerId, CustomerShare> pools;
  TimePoint lapsed_at{};  ///< When what an earlier holder granted has lapsed.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_SHARE_LEDGER_H_
