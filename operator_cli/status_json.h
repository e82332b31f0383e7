#ifndef CICADALOFT_OPERATOR_CLI_STATUS_JSON_H_
#define CICADALOFT_OPERATOR_CLI_STATUS_JSON_H_

#include <tuple>

#include "cicadaloft/codec/json_containers.h"
#include "cicadaloft/operator_cli/status_report.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonFields<MemberReport> =
    std::tuple(Required("host", &MemberReport::host),
               Required("data_centre", &MemberReport::data_centre),
               Required("incarnation", &MemberReport::incarnation),
               Required("applied", &MemberReport::applied),
               Defaulted("last_renewal", &MemberReport::last_renewal),
               Defaulted("share", &MemberReport::share));

template <>
inline constexpr auto kJsonFields<ReservationReport> =
    std::tuple(Required("model", &ReservationReport::model),
               Required("state", &ReservationReport::state));

template <>
inline constexpr auto kJsonFields<TargetMemoryReport> =
    std::tuple(Required("target", &TargetMemoryReport::target),
               Defaulted("instance", &TargetMemoryReport::instance),
               Defaulted("reserved_mib", &TargetMemoryReport::reserved_mib),
               Defaulted("models", &TargetMemoryReport::models));

template <>
inline constexpr auto kJsonFields<StatusReport> =
    std::tuple(Required("host", &StatusReport::host),
               Required("data_centre", &StatusReport::data_centre),
               Defaulted("is_member", &StatusReport::is_member),
               Defaulted("log_reachable", &StatusReport::log_reachable),
               Defaulted("may_use_rights", &StatusReport::may_use_rights),
               Required("next", &StatusReport::next),
               Defaulted("peers_up", &StatusReport::peers_up),
               Required("members", &StatusReport::members),
               Defaulted("targets", &StatusReport::targets));

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_STATUS_JSON_H_
