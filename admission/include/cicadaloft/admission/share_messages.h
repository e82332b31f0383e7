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
struct SpentLimits {
  std::vector<GrantedShare> listed;
  double others = 1;  ///< At most so much for customers that are not listed.

  /// @return the customer's part, from 0 to 1.
  double PartOf(const CustomerId& customer) const;

  friend auto operator<=>(const SpentLimits&, const SpentLimits&) = default;
  friend bool operator==(const SpentLimits&, const SpentLimits&) = default;
};

/// What a host's callers have asked for of one customer's limit.
struct CustomerDemand {
  CustomerId customer;
  double cost = 0;    ///< In the customer's unit, since the last report.
  double in_use = 0;  ///< Part of the limit that this host has spent.

  friend auto operator<=>(const CustomerDemand&,
                          const CustomerDemand&) = default;
  friend bool operator==(const CustomerDemand&,
                         const CustomerDemand&) = default;
};

/// A host tells the holder what it is asked for, and which grant it uses.
struct DemandReported {
  const HostId host;
  const std::uint64_t grant =
      0;  ///< Number of the newest grant it has; 0: none.
  const std::vector<CustomerDemand> demands;
  /// The granted shares that it uses now, or has spent in the window before.
  const std::vector<GrantedShare> held;
  const ConfigurationVersion configuration;  ///< The newest one that it knows.

  friend auto operator<=>(const DemandReported&,
                          const DemandReported&) = default;
  friend bool operator==(const DemandReported&,
                         const DemandReported&) = default;
};

/// The holder grants a host its shares. They end kGrantTerm after they were
/// sent; until then the holder counts them as used.
struct SharesGranted {
  std::uint64_t grant = 0;  ///< Higher for each further one.
  std::uint32_t hosts = 1;  ///< That take requests.
  std::vector<GrantedShare> customers;
  ConfigurationVersion configuration;  ///< The newest one the holder knows.

  friend auto operator<=>(const SharesGranted&, const SharesGranted&) = default;
  friend bool operator==(const SharesGranted&, const SharesGranted&) = default;
};

/// Part of each limit that is not granted, but divided evenly for good, so that
/// a host that reaches nobody can still serve.
inline constexpr double kReservedPart = 0.3;

/// How long a grant lasts without another one: longer than a change of the
/// holder takes, so that shares outlive it.
inline constexpr Duration kGrantTerm = std::chrono::seconds(14);

/// Hosts that a host reckons with while it has not heard how many there are.
inline constexpr std::uint32_t kUnknownHosts = 16;

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_SHARE_MESSAGES_H_
