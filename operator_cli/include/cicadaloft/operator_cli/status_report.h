#ifndef CICADALOFT_OPERATOR_CLI_STATUS_REPORT_H_
#define CICADALOFT_OPERATOR_CLI_STATUS_REPORT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

struct MemberReport {
  const HostId host;
  const DataCentreId data_centre;
  const Incarnation incarnation;
  const LogOffset applied;  ///< It acts on all records before this offset.
  const LogOffset last_renewal;
  const double share = 0;  ///< Its part of every rate.

  friend auto operator<=>(const MemberReport&, const MemberReport&) = default;
  friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

struct ReservationReport {
  const ModelId model;
  const std::string state;

  friend auto operator<=>(const ReservationReport&,
                          const ReservationReport&) = default;
  friend bool operator==(const ReservationReport&,
                         const ReservationReport&) = default;
};

struct TargetMemoryReport {
  const TargetId target;
  const TargetInstance instance;
  const std::uint64_t reserved_mib = 0;
  const std::vector<ReservationReport> models;

  friend auto operator<=>(const TargetMemoryReport&,
                          const TargetMemoryReport&) = default;
  friend bool operator==(const TargetMemoryReport&,
                         const TargetMemoryReport&) = default;
};

/// What a steward answers at /v1/status.
struct StatusReport {
  const HostId host;
  const DataCentreId data_centre;
  const bool is_member = false;
  const bool log_reachable = false;
  const bool may_use_rights = false;
  const LogOffset next;  ///< It has applied all records before this offset.
  const std::vector<HostId> peers_up;
  const std::vector<MemberReport> members;
  const std::vector<TargetMemoryReport> targets;

  friend auto operator<=>(const StatusReport&, const StatusReport&) = default;
  friend bool operator==(const StatusReport&, const StatusReport&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_STATUS_REPORT_H_
