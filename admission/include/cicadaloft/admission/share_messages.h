#ifndef CICADALOFT_ADMISSION_SHARE_MESSAGES_H_
#define CICADALOFT_ADMISSION_SHARE_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// One host's part of a customer's limit.
struct GrantedShare {
  CustomerId customer;
  double share = 0;  ///< From 0 to 1; adds up to at most 1 over all hosts.

  friend auto operator<=>(const GrantedShare&, const GrantedShare&) = default;
  friend bool operator==(const GrantedShare&, const GrantedShare&) = default;
};

/// How much of customers' limits all hosts have spent in the window.
struct LimitUsage {
  std::vector<GrantedShare> listed;
  double max_unlisted =
      1;  ///< At most so much for customers that are not listed.

  /// @return the customer's part, from 0 to 1.
  double UsedFraction(const CustomerId& customer) const;

  friend auto operator<=>(const LimitUsage&, const LimitUsage&) = default;
  friend bool operator==(const LimitUsage&, const LimitUsage&) = default;
};

/// What a host's callers have asked for of one customer's limit.
struct CustomerDemand {
  CustomerId customer;
  double cost = 0;  ///< In the customer's unit, since the last report.
  std::uint32_t requests = 0;  ///< Of that cost.
  double used_fraction = 0;    ///< Part of the limit that this host has spent.

  friend auto operator<=>(const CustomerDemand&,
                          const CustomerDemand&) = default;
  friend bool operator==(const CustomerDemand&,
                         const CustomerDemand&) = default;
};

/// A host tells the holder what it is asked for, and which grant it uses.
struct DemandReport {
  const HostId host;
  const std::uint64_t grant_number =
      0;  ///< Number of the newest grant it has; 0: none.
  const std::vector<CustomerDemand> demands;
  /// The granted shares that it uses now, or has spent in the window before.
  const std::vector<GrantedShare> shares_in_use;
  const ConfigurationVersion configuration;  ///< The newest one that it knows.
  const double cores = 0;                    ///< That the host may use.

  friend auto operator<=>(const DemandReport&, const DemandReport&) = default;
  friend bool operator==(const DemandReport&, const DemandReport&) = default;
};

/// The holder grants a host its shares. They end kShareGrantTtl after they were
/// sent; until then the holder counts them as used.
struct ShareGrant {
  std::uint64_t grant_number = 0;  ///< Higher for each further one.
  std::uint32_t host_count = 1;    ///< That take requests.
  std::vector<GrantedShare> customers;
  ConfigurationVersion configuration;  ///< The newest one the holder knows.
  bool is_lease_valid = false;         ///< The holder could renew its lease.

  friend auto operator<=>(const ShareGrant&, const ShareGrant&) = default;
  friend bool operator==(const ShareGrant&, const ShareGrant&) = default;
};

/// A request does not fit its host's share of the limit: the holder is asked
/// for its cost from what is shared out to nobody. A QuotaReply follows, unless
/// a message is lost.
struct QuotaRequest {
  const HostId host;
  const RequestId request;  ///< The host's own id.
  const CustomerId customer;
  const double cost = 0;  ///< In the customer's unit.

  friend auto operator<=>(const QuotaRequest&, const QuotaRequest&) = default;
  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

/// The holder's answer. A cost that is granted counts as spent from now on.
struct QuotaReply {
  const RequestId request;
  const bool is_granted = false;
  const Duration retry_after{};  ///< When it could be, if it is not.

  friend auto operator<=>(const QuotaReply&, const QuotaReply&) = default;
  friend bool operator==(const QuotaReply&, const QuotaReply&) = default;
};

/// @param hosts that take requests.
/// @return the part of each limit that is divided evenly for good, so that a
/// host that reaches nobody can still serve. Where many hosts divide it, each
/// one's part would be less than a request and of use to nobody.
constexpr double ReservedFraction(std::uint32_t hosts) {
  constexpr double kMostReserved = 0.3;
  constexpr std::uint32_t kHostsThatUseIt = 8;
  return hosts <= kHostsThatUseIt ? kMostReserved
                                  : kMostReserved * kHostsThatUseIt / hosts;
}

/// How long a grant lasts without another one: longer than a change of the
/// holder takes, so that shares outlive it.
inline constexpr Duration kShareGrantTtl = std::chrono::seconds(14);

/// Hosts that a host reckons with while it has not heard how many there are.
inline constexpr std::uint32_t kDefaultHostCount = 16;

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_SHARE_MESSAGES_H_
