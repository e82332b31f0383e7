#ifndef CICADALOFT_MEMBERSHIP_MEMBER_TABLE_H_
#define CICADALOFT_MEMBERSHIP_MEMBER_TABLE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/membership/messages.h"

namespace cicadaloft {

/// A member in force.
struct MemberInfo {
  const Member member;
  const DataCentreId data_centre;
  const std::string peer_address;
  const LogOffset joined;
  const LogOffset last_renewal;  ///< The join counts as the first renewal.
  const LogOffset applied;       ///< See Renewal.

  friend auto operator<=>(const MemberInfo&, const MemberInfo&) = default;
  friend bool operator==(const MemberInfo&, const MemberInfo&) = default;
};

/// Who owns a duty, and since which record.
struct DutyHolder {
  const Member owner;
  const FencingToken token;

  friend auto operator<=>(const DutyHolder&, const DutyHolder&) = default;
  friend bool operator==(const DutyHolder&, const DutyHolder&) = default;
};

/// Why the fold did not take a record; none if it did.
using Rejection = std::optional<std::string>;

/// The members in force and their duties: a fold of the log.
class MemberTable {
 public:
  MemberTable() = default;
  MemberTable(std::map<HostId, MemberInfo> members,
              std::map<DutyId, DutyHolder> duties,
              std::map<DataCentreId, LogOffset> claim_homes);

  const std::map<HostId, MemberInfo>& members() const {
    return this->member_infos;
  }
  const std::map<DutyId, DutyHolder>& duties() const {
    return this->duty_holders;
  }
  /// Data centres that hold claims duties, with the offset at which they
  /// began to. A home counts once every member has applied that offset.
  const std::map<DataCentreId, LogOffset>& claim_homes() const {
    return this->homes;
  }

  /// @return the member on `host`, or null.
  const MemberInfo* Find(const HostId& host) const;
  /// @return whether this very incarnation is in force.
  bool IsInForce(const Member& member) const;
  /// @return the members of one data centre, by host.
  std::vector<MemberInfo> MembersOf(const DataCentreId& data_centre) const;
  const DutyHolder* FindDuty(const DutyId& duty) const;
  /// @return whether `member` owns `duty`.
  bool Owns(const Member& member, const DutyId& duty) const;
  /// @return the member that the duty would go to if it were free; null while
  /// its data centre has none.
  const MemberInfo* PreferredOwnerOf(const DutyId& duty) const;
  /// @return the duty that serializes the claims of a key, or none while no
  /// data centre can. The text is the key's customer and its own text.
  std::optional<DutyId> ClaimsDutyOf(const std::string& claim_text) const;

  /// Each changes the table unless the record does not count.
  /// @param writer the record's writer.
  /// @param may_evict_from_outside whether the member's data centre is out of
  /// service by ticket, so that members of others may evict it.
  Rejection Take(const JoinRecord& record, const Member& writer, LogOffset at);
  Rejection Take(const RenewRecord& record, const Member& writer, LogOffset at);
  Rejection Take(const LeaveRecord& record, const Member& writer, LogOffset at);
  Rejection Take(const EvictRecord& record,
                 const Member& writer,
                 LogOffset at,
                 bool may_evict_from_outside);
  Rejection Take(const HandoverRecord& record,
                 const Member& writer,
                 LogOffset at);

  friend bool operator==(const MemberTable&, const MemberTable&) = default;

 private:
  void Depart(const HostId& host, LogOffset at);
  void AssignFreeDuties(const DataCentreId& data_centre, LogOffset at);

  std::map<HostId, MemberInfo> member_infos;
  std::map<DutyId, DutyHolder> duty_holders;
  std::map<DataCentreId, LogOffset> homes;
};

/// @return every duty of a data centre.
std::vector<DutyId> DutiesOf(const DataCentreId& data_centre);

/// Buckets of request ids in each data centre.
inline constexpr std::uint32_t kClaimBuckets = 4;

}  // namespace cicadaloft

#endif  // CICADALOFT_MEMBERSHIP_MEMBER_TABLE_H_
