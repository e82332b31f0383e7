#ifndef CICADALOFT_MEMBERSHIP_MEMBERSHIP_JSON_H_
#define CICADALOFT_MEMBERSHIP_MEMBERSHIP_JSON_H_

#include <array>
#include <string_view>
#include <tuple>

#include "cicadaloft/codec/json_containers.h"
#include "cicadaloft/membership/member_table.h"
#include "cicadaloft/membership/messages.h"
#include "cicadaloft/membership/share_table.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonTokens<DutyKind> =
    std::to_array<std::string_view>({"placement", "claims"});

template <>
inline constexpr auto kJsonFields<Member> =
    std::tuple(Required("host", &Member::host),
               Required("incarnation", &Member::incarnation));

template <>
inline constexpr auto kJsonFields<JoinRecord> =
    std::tuple(Required("member", &JoinRecord::member),
               Required("data_centre", &JoinRecord::data_centre),
               Required("peer_address", &JoinRecord::peer_address));

template <>
inline constexpr auto kJsonFields<Renewal> =
    std::tuple(Required("member", &Renewal::member),
               Required("applied", &Renewal::applied));

template <>
inline constexpr auto kJsonFields<RenewRecord> =
    std::tuple(Required("renewals", &RenewRecord::renewals));

template <>
inline constexpr auto kJsonFields<LeaveRecord> =
    std::tuple(Required("member", &LeaveRecord::member));

template <>
inline constexpr auto kJsonFields<EvictRecord> =
    std::tuple(Required("member", &EvictRecord::member),
               Required("last_renewal", &EvictRecord::last_renewal));

template <>
inline constexpr auto kJsonFields<DutyId> =
    std::tuple(Required("kind", &DutyId::kind),
               Required("data_centre", &DutyId::data_centre),
               Required("bucket", &DutyId::bucket));

template <>
inline constexpr auto kJsonFields<HandoverRecord> =
    std::tuple(Required("duty", &HandoverRecord::duty),
               Required("to", &HandoverRecord::to));

template <>
inline constexpr auto kJsonFields<MemberInfo> =
    std::tuple(Required("member", &MemberInfo::member),
               Required("data_centre", &MemberInfo::data_centre),
               Required("peer_address", &MemberInfo::peer_address),
               Required("joined", &MemberInfo::joined),
               Required("last_renewal", &MemberInfo::last_renewal),
               Required("applied", &MemberInfo::applied));

template <>
inline constexpr auto kJsonFields<DutyHolder> =
    std::tuple(Required("owner", &DutyHolder::owner),
               Required("token", &DutyHolder::token));

template <>
inline constexpr auto kJsonFields<Allocation> =
    std::tuple(Required("since", &Allocation::since),
               Required("fractions", &Allocation::fractions));

}  // namespace cicadaloft

#endif  // CICADALOFT_MEMBERSHIP_MEMBERSHIP_JSON_H_
