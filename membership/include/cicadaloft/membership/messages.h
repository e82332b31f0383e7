#ifndef CICADALOFT_MEMBERSHIP_MESSAGES_H_
#define CICADALOFT_MEMBERSHIP_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// One process of the system on one host.
struct Member {
  const HostId host;
  const Incarnation incarnation;

  friend auto operator<=>(const Member&, const Member&) = default;
  friend bool operator==(const Member&, const Member&) = default;
};

/// A member takes its place. It replaces an older incarnation of its host.
struct JoinRecord {
  const Member member;
  const DataCentreId data_centre;
  const std::string peer_address;  ///< "IP:port" of its steward's links.

  friend auto operator<=>(const JoinRecord&, const JoinRecord&) = default;
  friend bool operator==(const JoinRecord&, const JoinRecord&) = default;
};

struct Renewal {
  const Member member;
  /// The member, its entry included, acts on all records before this offset.
  const LogOffset applied;

  friend auto operator<=>(const Renewal&, const Renewal&) = default;
  friend bool operator==(const Renewal&, const Renewal&) = default;
};

/// Renews leases; one record carries those of many members of a data centre.
struct RenewRecord {
  const std::vector<Renewal> renewals;

  friend auto operator<=>(const RenewRecord&, const RenewRecord&) = default;
  friend bool operator==(const RenewRecord&, const RenewRecord&) = default;
};

/// A member gives its place back after it has stopped using its rights.
struct LeaveRecord {
  const Member member;

  friend auto operator<=>(const LeaveRecord&, const LeaveRecord&) = default;
  friend bool operator==(const LeaveRecord&, const LeaveRecord&) = default;
};

/// A mate takes a member's place away. It counts only if the writer is of the
/// same data centre and no renewal of the member stands at or after
/// `last_renewal` + 1.
struct EvictRecord {
  const Member member;
  const LogOffset last_renewal;

  friend auto operator<=>(const EvictRecord&, const EvictRecord&) = default;
  friend bool operator==(const EvictRecord&, const EvictRecord&) = default;
};

enum class DutyKind {
  kPlacement,  ///< Decides the loads and unloads of a data centre's targets.
  kClaims,     ///< Serializes the claims of one bucket of request ids.
};

/// Work with one owner. Owners stay until they leave, hand over or are
/// evicted; joins alone move no duty.
struct DutyId {
  const DutyKind kind;
  const DataCentreId data_centre;
  const std::uint32_t bucket = 0;  ///< Claims only.

  friend auto operator<=>(const DutyId&, const DutyId&) = default;
  friend bool operator==(const DutyId&, const DutyId&) = default;
};

/// The owner of a duty gives it to another member of its data centre.
struct HandoverRecord {
  const DutyId duty;
  const HostId to;

  friend auto operator<=>(const HandoverRecord&,
                          const HandoverRecord&) = default;
  friend bool operator==(const HandoverRecord&,
                         const HandoverRecord&) = default;
};

/// One row of the platform's host list.
struct HostListEntry {
  const HostId host;
  const DataCentreId data_centre;
  const std::string peer_address;
  const bool leaving = false;

  friend auto operator<=>(const HostListEntry&, const HostListEntry&) = default;
  friend bool operator==(const HostListEntry&, const HostListEntry&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_MEMBERSHIP_MESSAGES_H_
