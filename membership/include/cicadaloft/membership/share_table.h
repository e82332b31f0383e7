#ifndef CICADALOFT_MEMBERSHIP_SHARE_TABLE_H_
#define CICADALOFT_MEMBERSHIP_SHARE_TABLE_H_

#include <compare>
#include <deque>
#include <map>

#include "cicadaloft/core/id.h"
#include "cicadaloft/membership/member_table.h"

namespace cicadaloft {

/// Which part of every customer's rate and burst each host has.
struct Allocation {
  const LogOffset since;
  const std::map<HostId, double> fractions;  ///< They add up to at most 1.

  friend auto operator<=>(const Allocation&, const Allocation&) = default;
  friend bool operator==(const Allocation&, const Allocation&) = default;
};

/// Splits 1 over the data centres by weight, and each part evenly over the
/// data centre's members.
/// @param weights weight of each data centre in service.
Allocation SplitEvenly(const MemberTable& members,
                       const std::map<DataCentreId, std::uint32_t>& weights,
                       LogOffset since);

/// The allocations that may still be in use somewhere: a fold of the log.
///
/// Hosts read the log at different speeds, so a new allocation is not in force
/// everywhere at once. A host may use the smallest of its parts in all
/// allocations from the last confirmed one on. An allocation is confirmed when
/// each member whose part it made smaller has applied it or has departed.
/// Whatever each host has read, their parts then add up to at most 1.
class ShareTable {
 public:
  ShareTable() = default;
  explicit ShareTable(std::deque<Allocation> allocations);

  /// Takes a new allocation if it differs, and confirms what can be confirmed.
  void Update(const MemberTable& members, const Allocation& latest);

  /// @return the part of every rate that `host` may use; 0 for strangers.
  double FractionOf(const HostId& host) const;

  /// From the last confirmed one to the latest; empty before the first member.
  const std::deque<Allocation>& allocations() const { return this->in_use; }

  friend bool operator==(const ShareTable&, const ShareTable&) = default;

 private:
  std::deque<Allocation> in_use;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_MEMBERSHIP_SHARE_TABLE_H_
