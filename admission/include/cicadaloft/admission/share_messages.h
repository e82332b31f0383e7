#ifndef CICADALOFT_ADMISSION_SHARE_MESSAGES_H_
#define CICADALOFT_ADMISSION_SHARE_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// One host's share of a customer's limit.
struct GrantedShare {
  CustomerId customer;
  double share = 0;  ///< From 0 to 1; adds up to at most 1 over all hosts.

  friend auto operator<=>(const GrantedShare&, const GrantedShare&) = default;
  friend bool operator==(const GrantedShare&, const GrantedShare&) = default;
};

/// The fraction of customers' limits that all hosts together have used in the
/// window.
struct LimitUsage {
  std::vector<GrantedShare> listed;
  double max_unlisted = 1;  ///< Upper bound for customers not in `listed`.

  /// @return the used fraction of the customer's limit, from 0 to 1.
  double UsedFraction(const CustomerId& customer) const;

  friend auto operator<=>(const LimitUsage&, const LimitUsage&) = default;
  friend bool operator==(const LimitUsage&, const LimitUsage&) = default;
};

/// Demand of one host's callers on one customer's limit.
struct CustomerDemand {
  CustomerId customer;
  double cost = 0;  ///< In the customer's unit, since the last report.
  std::uint32_t requests = 0;  ///< With that cost in total.
  double used_fraction = 0;  ///< Fraction of the limit that this host has used.

  friend auto operator<=>(const CustomerDemand&,
                          const CustomerDemand&) = default;
  friend bool operator==(const CustomerDemand&,
                         const CustomerDemand&) = default;
};

/// A host reports its demand, and which grant it uses, to the lease holder.
struct DemandReport {
  const HostId host;
  /// Number of the newest grant that the host has; 0: none.
  const std::uint64_t grant_number = 0;
  const std::vector<CustomerDemand> demands;
  /// The granted shares that it uses now, or has used in the preceding window.
  const std::vector<GrantedShare> shares_in_use;
  const ConfigurationVersion configuration;  ///< Newest version that it knows.
  const double cores = 0;  ///< CPU cores that the host may use.

  friend auto operator<=>(const DemandReport&, const DemandReport&) = default;
  friend bool operator==(const DemandReport&, const DemandReport&) = default;
};

/// The lease holder grants a host its shares. They expire kShareGrantTtl after
/// they were sent; until then the lease holder counts them as used.
struct ShareGrant {
  std::uint64_t grant_number = 0;  ///< Increases with each grant.
  std::uint32_t host_count = 1;    ///< Hosts that take requests.
  std::vector<GrantedShare> shares;
  /// Newest version that the lease holder knows.
  ConfigurationVersion configuration;
  /// Whether the lease holder could renew its lease, so that no other host can
  /// hold it.
  bool is_lease_valid = false;

  friend auto operator<=>(const ShareGrant&, const ShareGrant&) = default;
  friend bool operator==(const ShareGrant&, const ShareGrant&) = default;
};

/// A request does not fit its host's share of the limit: the host requests its
/// cost from the lease holder's pool, which holds what is granted to no host. A
/// QuotaReply follows, unless a message is lost.
struct QuotaRequest {
  const HostId host;
  const RequestId request;  ///< Assigned by the host.
  const CustomerId customer;
  const double cost = 0;  ///< In the customer's unit.

  friend auto operator<=>(const QuotaRequest&, const QuotaRequest&) = default;
  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

/// The lease holder's reply. A granted cost counts as used from now on.
struct QuotaReply {
  const RequestId request;
  const bool is_granted = false;
  const Duration retry_after{};  ///< If not granted: time until it could be.

  friend auto operator<=>(const QuotaReply&, const QuotaReply&) = default;
  friend bool operator==(const QuotaReply&, const QuotaReply&) = default;
};

/// A cost that was granted some time ago.
struct PastCharge {
  Duration age{};
  double cost = 0;  ///< In the customer's unit.

  friend auto operator<=>(const PastCharge&, const PastCharge&) = default;
  friend bool operator==(const PastCharge&, const PastCharge&) = default;
};

/// What one host was granted of a customer's pool.
struct CustomerCharges {
  CustomerId customer;
  std::vector<PastCharge> charges;  ///< Oldest first.

  friend auto operator<=>(const CustomerCharges&,
                          const CustomerCharges&) = default;
  friend bool operator==(const CustomerCharges&,
                         const CustomerCharges&) = default;
};

/// A host tells a new lease holder what earlier ones have granted it of their
/// pools, and when, as the pools' own memory ended with their holders.
struct QuotaHistory {
  HostId host;
  std::vector<CustomerCharges> customers;

  friend auto operator<=>(const QuotaHistory&, const QuotaHistory&) = default;
  friend bool operator==(const QuotaHistory&, const QuotaHistory&) = default;
};

/// Up to this number of hosts an even part of the reserved fraction is of use.
inline constexpr std::uint32_t kMaxHostsWithFullReserve = 8;

/// @param host_count hosts that take requests.
/// @return the fraction of each limit that is permanently divided evenly, so
/// that a host without links to others can still serve requests. It shrinks
/// where many hosts divide it, since the share of each would be less than a
/// request and of no use.
constexpr double ReservedFraction(std::uint32_t host_count) {
  constexpr double kMaxReservedFraction = 0.3;
  return host_count <= kMaxHostsWithFullReserve
             ? kMaxReservedFraction
             : kMaxReservedFraction * kMaxHostsWithFullReserve / host_count;
}

/// Time after which a grant expires unless another one follows. It is longer
/// than a change of the lease holder takes, so that shares outlive that.
inline constexpr Duration kShareGrantTtl = std::chrono::seconds(14);

/// Number of hosts to assume until the lease's log or its holder has told how
/// many there are: the most that a holder accepts links from. With a lower
/// number, hosts that can reach neither would together exceed the limits.
inline constexpr std::uint32_t kMaxHostCount = 1024;
/// The same while the log can be read and no holder has told yet, as in the
/// first second of a new system.
inline constexpr std::uint32_t kDefaultHostCount = 16;

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_SHARE_MESSAGES_H_
